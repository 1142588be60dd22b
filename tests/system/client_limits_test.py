"""Crowds of clients outside the limits: no process ends, exceeds the memory and
the descriptors of its machine, or stays unable to serve an ordinary request.

Memory and descriptors are those of small machines, given in the settings of the
processes, so that a small crowd exceeds them. Times and the share of served
requests are not checked."""

import argparse
import asyncio
import json
import os
import resource
import shutil
import socket
import sys
import tempfile
import time
import unittest

SOAK = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                    "platform", "soak")
sys.path.insert(0, SOAK)

import wire  # noqa: E402
from deployment import Deployment, query_service  # noqa: E402
from machines import Fleet  # noqa: E402
from promises import History  # noqa: E402
from soak import claim_number  # noqa: E402
from world import Server, World  # noqa: E402

BUILD = "build"
MEMORY_MB = 64
MAX_DESCRIPTORS = 600
CROWD = 400
BODY_LIMIT = 262144
HOLD_S = 2.0
# Resident memory after the crowd has gone.
RETURNED_MB = 40
RETURN_S = 10
ANSWER_S = 10
EARLY_END = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError)


def figure(pid, name):
    """A line of /proc/PID/status, in kB; 0 if the process has ended."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next((int(line.split()[1]) for line in file
                     if line.startswith(name + ":")), 0)


class Machine:
    """The settings of a small machine, added to those of the fleet."""

    def __init__(self, machine):
        self.machine, self.write = machine, machine.write_settings

    def write_settings(self, seeds, is_first):
        """Replaces the file at once, as a process may read it meanwhile and
        would run without limits."""
        folder = self.machine.folder
        path = os.path.join(folder, "boot.json")
        self.machine.folder = tempfile.mkdtemp(dir=folder)
        draft = os.path.join(self.machine.folder, "boot.json")
        try:
            self.write(seeds, is_first)
        finally:
            self.machine.folder = folder
        with open(draft, encoding="utf-8") as file:
            settings = json.load(file)
        settings["limits"] = {"memory_mb": MEMORY_MB,
                              "max_fds": MAX_DESCRIPTORS}
        with open(draft, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.replace(draft, path)


def head(method, path, *lines):
    return "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {wire.HOST}",
                        *lines, "", ""]).encode()


class Clients:
    """What one client of a crowd sends; each ends when its connection does."""

    def __init__(self, method, path):
        self.method, self.path = method, path

    def sized(self, size):
        return head(self.method, self.path, f"Content-Length: {size}")

    async def whole(self, writer):
        writer.write(self.sized(BODY_LIMIT) + b"x" * (BODY_LIMIT - 1))
        await writer.drain()

    async def pieces(self, writer):
        writer.write(self.sized(BODY_LIMIT))
        for at in range(0, BODY_LIMIT - 1, 8192):
            writer.write(b"x" * min(8192, BODY_LIMIT - 1 - at))
            await writer.drain()

    async def chunks(self, writer):
        writer.write(head(self.method, self.path,
                          "Transfer-Encoding: chunked"))
        for _ in range(BODY_LIMIT // 1024 - 1):
            writer.write(b"400\r\n" + b"x" * 1024 + b"\r\n")
            await writer.drain()
        writer.write(b"400\r\n" + b"x" * 1023)
        await writer.drain()

    async def oversized(self, writer):
        writer.write(self.sized(64 << 20))
        for _ in range(32):
            writer.write(b"x" * (1 << 16))
            await writer.drain()

    async def endless_chunks(self, writer):
        writer.write(head(self.method, self.path,
                          "Transfer-Encoding: chunked"))
        for _ in range(32):
            writer.write(b"10000\r\n" + b"x" * (1 << 16) + b"\r\n")
            await writer.drain()

    async def fields(self, writer):
        text = head(self.method, self.path, "Content-Length: 9",
                    *["a:"] * 4000)
        writer.write(text + b"x" * 8)
        await writer.drain()

    async def pipelined(self, writer):
        one = head("GET", self.path, "X-Filler: " + "x" * 200)
        for _ in range(64):
            writer.write(one * 32)
            await writer.drain()

    async def slow(self, writer):
        text = self.sized(BODY_LIMIT) + b"x" * 200
        for at in range(0, len(text), 16):
            writer.write(text[at:at + 16])
            await writer.drain()
            await asyncio.sleep(0.1)

    async def half(self, writer):
        writer.write(head(self.method, self.path)[:-20])
        await writer.drain()


KINDS = [name for name in vars(Clients) if not name.startswith("_")
         and name != "sized"]


async def one_client(address, port, kind, clients):
    """Never reads, and stays open until the end of the crowd."""
    plug = socket.socket()
    plug.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    plug.setblocking(False)
    writer = None
    try:
        await asyncio.get_running_loop().sock_connect(plug, (address, port))
        _, writer = await asyncio.open_connection(sock=plug, limit=4096)
        await getattr(clients, kind)(writer)
        await asyncio.sleep(3600)
    except EARLY_END:
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
        plug.close()


async def crowd(pid, address, port, kind, clients):
    """@return the largest resident memory in kB and number of descriptors."""
    tasks = [asyncio.ensure_future(one_client(address, port, kind, clients))
             for _ in range(CROWD)]
    memory, descriptors = 0, 0
    end = time.monotonic() + HOLD_S
    while time.monotonic() < end:
        await asyncio.sleep(0.02)
        memory = max(memory, figure(pid, "VmRSS"))
        descriptors = max(descriptors, len(os.listdir(f"/proc/{pid}/fd")))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return memory, descriptors


async def status_of(address, port, text):
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(text)
        line, _, _ = await asyncio.wait_for(wire.read_message(reader), 3)
        return int(line.split(" ")[1])
    finally:
        writer.close()


async def is_answered(address, port, text, statuses):
    """One ordinary request gets an answer; it is sent again when refused."""
    deadline = time.monotonic() + ANSWER_S
    status = None
    while time.monotonic() < deadline:
        try:
            status = await status_of(address, port, text)
            if status in statuses:
                return True
        except EARLY_END:
            pass
        await asyncio.sleep(0.1)
    return False


def check_limits(case, loop, process, address, port, kind, clients, text,
                 statuses):
    """Runs a crowd against a process and checks what must hold.

    @param process the subprocess.Popen of the program."""
    pid = process.pid
    memory, descriptors = loop.run_until_complete(
        crowd(pid, address, port, kind, clients))
    seen = f"{memory} kB, {descriptors} descriptors"
    case.assertIsNone(process.poll(), "the process ended")
    case.assertLess(memory, MEMORY_MB * 1024, seen)
    case.assertLess(descriptors, MAX_DESCRIPTORS, seen)
    case.assertTrue(loop.run_until_complete(
        is_answered(address, port, text, statuses)),
        "an ordinary request is not answered after the crowd")
    deadline = time.monotonic() + RETURN_S
    while (figure(pid, "VmRSS") >= RETURNED_MB * 1024
           and time.monotonic() < deadline):
        loop.run_until_complete(asyncio.sleep(0.1))
    left = figure(pid, "VmRSS")
    print(f"{case.id().split('.')[-1]}: {memory} kB, {descriptors} "
          f"descriptors, {left} kB after it", flush=True)
    case.assertLess(left, RETURNED_MB * 1024, "memory is not returned")


class OwnEntryLimitsTest(unittest.TestCase):
    """The product's own entry instance, with the budget in its settings."""

    @classmethod
    def setUpClass(cls):
        cls.loop = asyncio.new_event_loop()
        cls.deployment = Deployment(build=BUILD)
        cls.deployment.__enter__()
        document = cls.deployment.document(
            services=[query_service("desk", ["packets"])])
        cls.entry = cls.deployment.entry(
            "entry-1", "hanoi", document,
            callers={"port": cls.deployment.free_ports(),
                     "max_peer_bytes": MEMORY_MB * 1024 * 1024 // 4})
        if not cls.loop.run_until_complete(is_answered(
                "127.0.0.1", cls.port_of(cls.entry.callers),
                wire.message("GET /nothing HTTP/1.1", {"Host": "a"}), [404])):
            raise AssertionError("the entry instance does not serve")

    @staticmethod
    def port_of(address):
        return int(address.rsplit(":", 1)[1])

    @classmethod
    def tearDownClass(cls):
        cls.deployment.__exit__(None, None, None)

    def check(self, address, kind):
        text = wire.message("GET /nothing HTTP/1.1", {"Host": "a"})
        check_limits(self, self.loop, self.entry.popen, "127.0.0.1",
                     self.port_of(address), kind,
                     Clients("POST", "/v1/query/desk"), text, [404])


class ClientLimitsTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.mkdtemp(prefix="foxtail-limits-")
        number, cls.holder = claim_number()
        cls.fleet = Fleet(BUILD, cls.folder, entries=1, number=number)
        for machine in cls.fleet.machines:
            machine.write_settings = Machine(machine).write_settings
        cls.loop = asyncio.new_event_loop()
        # The descriptors of the test itself are those of a crowd and more.
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(most, 4096), most))
        cls.world = World(cls.fleet, History(), seed=1)
        cls.loop.run_until_complete(cls.begin())

    @classmethod
    async def begin(cls):
        cls.fleet.start()
        for service in ("one", "once"):
            server = Server(cls.world, service, "a", f"i-{service}")
            await server.start()
            cls.world.servers.append(server)
        await asyncio.wait_for(cls.world.order(), 30)
        if not await is_answered(cls.fleet.entries[0].address,
                                 wire.FRONT_PORT, cls.ordinary(), [200]):
            raise AssertionError("the entry instance does not serve")

    @classmethod
    def ordinary(cls):
        cls.world.ids += 1
        return wire.message("GET /one/1 HTTP/1.1",
                            {"Host": wire.HOST, wire.REQUEST_ID:
                             f"{cls.world.ids:016x}", wire.DEADLINE: "2000"})

    @classmethod
    def tearDownClass(cls):
        cls.world.is_over = True
        for server in cls.world.servers:
            server.task.cancel()
            server.end()
        cls.loop.run_until_complete(asyncio.gather(
            *(server.task for server in cls.world.servers),
            return_exceptions=True))
        cls.fleet.stop()
        cls.holder.close()
        shutil.rmtree(cls.folder)

    def check(self, machine, port, kind, clients, text, statuses):
        check_limits(self, self.loop, machine.process, machine.address, port,
                     kind, clients, text, statuses)


def add_case(name, kind, place):
    def case(self):
        if place == "control":
            machine = self.fleet.controls[0]
            port, method, path = (wire.CONTROL_PORT, "POST",
                                  "/Instances.Heartbeat/i-odd")
            text, statuses = wire.message("GET /nothing HTTP/1.1",
                                          {"Host": wire.HOST}), [404]
        else:
            machine = self.fleet.entries[0]
            is_ready = place == "ready"
            port = wire.READY_PORT if is_ready else wire.FRONT_PORT
            method, path = {"ready": ("POST", "/ready"),
                            "lost": ("POST", "/nowhere/1"),
                            "once": ("POST", "/once/1"),
                            "one": ("GET", "/one/1")}[place]
            text = (wire.message("GET /ready HTTP/1.1", {"Host": wire.HOST})
                    if is_ready else self.ordinary())
            statuses = [200, 404] if is_ready else [200]
        self.check(machine, port, kind, Clients(method, path), text, statuses)

    setattr(ClientLimitsTest, name, case)


def add_own_case(place, kind):
    def case(self):
        self.check(getattr(self.entry, place), kind)

    setattr(OwnEntryLimitsTest, f"test_own_{place}_{kind}", case)


for place_of_case in ("lost", "once", "one", "ready", "control"):
    for kind_of_case in KINDS:
        add_case(f"test_{place_of_case}_{kind_of_case}", kind_of_case,
                 place_of_case)
for place_of_case in ("callers", "platform"):
    for kind_of_case in KINDS:
        add_own_case(place_of_case, kind_of_case)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options, rest = parser.parse_known_args()
    BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
