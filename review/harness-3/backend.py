"""A sound backend as the users' pages describe it."""
import asyncio
import json
import random
import time

from deployment import CannotRun, call, control_call

ANSWER = ("HTTP/1.1 %d X\r\nFoxtailthread-Request-Id: %s\r\n"
          "%sContent-Length: %d\r\n\r\n")


class Backend:
    def __init__(self, site, service, number, name=None, work_s=0.02,
                 slots=6):
        self.site, self.service, self.work_s = site, service, work_s
        self.slots = slots
        self.free = asyncio.Semaphore(slots)
        self.id = name or "i-%08x" % random.getrandbits(32)
        self.ip = "%s.%d" % (site.net, 100 + number)
        self.port = site.port + 20
        self.zone = "zone-" + "abc"[number % 3]
        self.state = "ready"
        self.sequence = 0
        self.born = None
        self.acked = {}
        self.runs = []
        self.tenants = {}
        self.server = None
        self.tasks = []
        self.writers = set()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self, born=None):
        """A new process: it knows nothing of before."""
        self.born = int(time.time() * 1000) if born is None else born
        self.sequence = 0
        self.state = "ready"
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, reuse_address=True)
        self.site.record(self.id, "starts at", self.address, "born", self.born)
        self.tasks = [asyncio.create_task(self.announce())]

    async def crash(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await self.server.wait_closed()
        self.server = None
        self.site.record(self.id, "crashes")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {k.strip().lower(): v.strip() for k, v in
                          (line.split(":", 1) for line in lines[1:] if ":" in line)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                request = fields.get("foxtailthread-request-id", "")
                if fields.get("foxtailthread-expect-instance", self.id) != self.id:
                    self.site.record(self.id, "answers 421 to", request)
                    writer.write((ANSWER % (421, request, "", 0)).encode())
                    continue
                async with self.free:
                    self.runs.append((time.monotonic(), request))
                    self.tenants[request] = fields.get("foxtailthread-tenant")
                    self.site.record(self.id, "of", self.service, "runs", request)
                    await asyncio.sleep(self.work_s)
                stamp = "Foxtailthread-Server-Stamp: %s.%s\r\n" % (self.id, request)
                body = ("done by " + self.service).encode()
                writer.write((ANSWER % (200, request, stamp, len(body))).encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "warmup_left_ms": 0, "seq": self.sequence, "born": self.born}

    async def beat(self):
        beat = self.heartbeat()
        status, _ = await control_call(
            self.site, "POST", "/Instances.Heartbeat/" + self.id, beat)
        if status == 200 and beat["state"] not in self.acked:
            self.acked[beat["state"]] = time.monotonic()
        self.site.record(self.id, "heartbeat", json.dumps(beat), "gets", status)
        return status

    async def announce(self):
        # A cancellation may be swallowed below; a process that has ended says nothing.
        server = self.server
        while self.server is server:
            await self.beat()
            await asyncio.sleep(1.2)


class Client:
    """Sends requests and keeps what came back."""

    def __init__(self, site, path, host, method="POST", key=None):
        self.site, self.path, self.host, self.method = site, path, host, method
        self.headers = [("Authorization", "Token " + key)] if key else []
        self.sent, self.answers = {}, {}

    async def send(self, entry=0):
        request = "%016x" % random.getrandbits(64)
        self.sent[request] = time.monotonic()
        body = b"x" * 200 if self.method == "POST" else b""
        self.site.record("client sends", self.method, self.path, "to", self.host,
                         "as", request)
        try:
            status, fields, answer = await call(
                self.site.front(entry), self.method, self.path, body,
                [("Foxtailthread-Request-Id", request),
                 ("Foxtailthread-Deadline-Ms", "3000")] + self.headers,
                timeout=3.5, host=self.host)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, fields, answer = type(error).__name__, {}, b""
        self.answers[request] = (status, fields, answer)
        self.site.record("client gets", status, answer[:40], "for", request)
        return status

    async def keep_sending(self, per_s):
        tasks = []
        try:
            while True:
                tasks.append(asyncio.create_task(self.send()))
                await asyncio.sleep(1 / per_s)
        finally:
            await asyncio.gather(*tasks, return_exceptions=True)


def config(services, routes, version=3):
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/health", "max_conns": 96,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


def route(name, prefix, service, kind="unsafe"):
    return {"name": name, "host": "print.example", "path_prefix": prefix,
            "kind": kind, "timeout_ms": 6000, "objective_ms": 600, "priority": 1,
            "service": service, "max_attempts": 2}


async def replace_config(site, value):
    status, answer = await control_call(site, "POST", "/Config.Replace", value, 20)
    site.record("configuration", value["version"], "gets", status, answer[:60])
    if status != 200:
        raise CannotRun("the configuration is refused")
