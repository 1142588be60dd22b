"""Callers, an operator and stand-in backend servers around the fleet. All run
on one asyncio loop and note what they see in a History."""

import asyncio
import hashlib
import json
import random
import socket
import struct
import time

import wire
from promises import Order, Read, Request, Run

HEARTBEAT_S = 0.8
CALL_TIMEOUT_S = 1.0
WORK_S = 0.015
READY_POLL_S = 0.5
# What call() raises when there is no whole answer.
CALL_FAILURES = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                 ValueError)


def records_of(service, request):
    seed = hashlib.sha256(f"{service} {request}".encode()).digest() * 4
    return seed[:16 * 7]


def reset(writer):
    """Ends a connection by a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                       struct.pack("ii", 1, 0))
    writer.transport.abort()


async def call(address, method, path, body=b"", headers=None,
               timeout=CALL_TIMEOUT_S, host="soak"):
    """One exchange on a connection of its own; returns status, headers, body."""
    host_part, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host_part, int(port))
        try:
            writer.write(wire.message(f"{method} {path} HTTP/1.1",
                                      {"Host": host, **(headers or {})}, body))
            line, answered, text = await wire.read_message(reader)
            return int(line.split(" ")[1]), answered, text
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Proxy:
    """A loopback proxy before a server or an instance; its mode is a fault."""

    def __init__(self, target):
        self.target, self.mode, self.address = target, "pass", None
        self.delay_s = 0.0
        self.listener = None
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            reset(writer)
            return
        pair = (writer, other_writer)
        self.writers.add(pair)
        try:
            await asyncio.gather(self.pump(reader, other_writer, "to"),
                                 self.pump(other_reader, writer, "from"))
        except asyncio.CancelledError:
            pass  # the whole run is over
        self.writers.discard(pair)

    async def pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                # What is under way in a silent proxy is lost.
                if self.mode == "silent" or self.mode == "one way " + way:
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # the connection or the whole run is over
        writer.close()

    def reset_all(self):
        for pair in list(self.writers):
            for writer in pair:
                reset(writer)

    def stop(self):
        self.listener.close()
        self.reset_all()


class Server:
    """A backend server: announces itself, answers, and does what a fault says."""

    def __init__(self, world, service, zone, identity):
        self.world, self.service, self.zone, self.id = (world, service, zone,
                                                        identity)
        self.born_ms = int(time.time() * 1000)
        self.mode, self.slow, self.paused_until = "well", 1.0, 0.0
        self.state, self.sequence = "ready", 0
        self.writers = set()
        self.proxy = None
        self.task = None

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1",
                                                   port)
        own = self.listener.sockets[0].getsockname()[1]
        self.proxy = Proxy(f"127.0.0.1:{own}")
        await self.proxy.start()
        self.announced = self.proxy.address
        self.task = asyncio.ensure_future(self.announce())

    async def announce(self):
        while self.state in ("ready", "draining"):
            await self.tell("Heartbeat")
            await asyncio.sleep(HEARTBEAT_S)

    async def tell(self, what, first=None):
        """Sends an announcement or a deregistration to one control instance
        after the other, until one acknowledges it."""
        self.sequence += 1
        body = wire.announcement_text(self, self.state, self.sequence).encode()
        machines = random.sample(self.world.fleet.controls,
                                 len(self.world.fleet.controls))
        for machine in ([first] if first else []) + machines:
            try:
                status, _, _ = await call(
                    f"{machine.address}:{wire.CONTROL_PORT}", "POST",
                    f"/Instances.{what}/{self.id}", body,
                    {"Content-Type": "application/json"})
                if status == 200:
                    return True
            except CALL_FAILURES:
                pass
        return False

    async def leave(self):
        """Drains, serves on for a while, says goodbye and ends."""
        if self.world.plant != "drain_ignored":
            self.state = "draining"
        acked = await self.tell("Heartbeat")
        if acked:
            self.world.history.drains[self.id] = self.world.now()
        await asyncio.sleep(wire.DRAIN_S + self.world.random.uniform(0.5, 6))
        await self.tell("Deregister")
        self.end()

    async def deregister(self, first=None):
        """Deregisters, and sends no more announcements."""
        await self.tell("Heartbeat", first)
        self.state = "left"
        if await self.tell("Deregister", first):
            self.world.history.drains[self.id] = self.world.now()

    async def serve_on(self):
        """What a server does after its departure."""
        await asyncio.sleep(wire.DRAIN_S + self.world.random.uniform(0.5, 6))
        self.end()

    def end(self):
        self.state = "gone"
        self.listener.close()
        self.proxy.stop()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError,
                asyncio.LimitOverrunError):
            pass  # the connection or the whole run is over
        self.writers.discard(writer)
        writer.close()

    async def serve_one(self, reader, writer):
        _, headers, _ = await wire.read_message(reader)
        world = self.world
        request = headers.get(wire.REQUEST_ID, "")
        is_other = headers.get(wire.EXPECTED, self.id) != self.id
        is_refused = is_other or (self.mode == "shed" and
                                  random.random() < 0.4)
        world.stamps += 1
        stamp = f"{self.id}.{world.stamps:x}"
        body = records_of(self.service, request)
        world.history.runs.append(Run(world.now(), request, self.service,
                                      self.id, stamp, body, is_refused))
        echo = {"Foxtailthread-Request-Id": request}
        if is_refused:
            line = "HTTP/1.1 421 Other" if is_other else "HTTP/1.1 503 Full"
            writer.write(wire.message(
                line, {**echo, "Foxtailthread-Not-Executed": "1"}))
            return True
        await asyncio.sleep(WORK_S * self.slow * (0.5 + random.random()))
        while world.now() < self.paused_until:
            await asyncio.sleep(0.01)
        answer = wire.message("HTTP/1.1 200 OK",
                              {**echo, "Foxtailthread-Server-Stamp": stamp},
                              body)
        if self.mode == "lost" and random.random() < 0.2:
            reset(writer)
            return False
        if self.mode == "garble" and random.random() < 0.2:
            kind = random.choice(["cut", "head", "noise", "more"])
            head = answer.index(b"\r\n\r\n") + 4
            answer = {"cut": answer[:-9],
                      "head": answer[:random.randrange(head)],
                      "noise": b"\x01\x02nonsense\r\n\r\n",
                      "more": answer + b"bytes of no request"}[kind]
            writer.write(answer)
            await writer.drain()
            return kind == "more"
        writer.write(answer)
        await writer.drain()
        return True


# Mistakes that may be planted, each with the check that has to find it. They are
# made where the world meets the programs, as a faulty program would make them.
PLANTS = {
    "foreign_answer": "whole_answers", "run_twice": "at_most_once",
    "false_not_run": "not_run_is_true", "extra_attempts": "budgets_kept",
    "late_answer": "answers_in_time", "cut_by_stop": "stops_cut_nothing",
    "order_lost": "orders_kept", "order_not_in_force": "orders_in_force",
    "drain_ignored": "drained_left_alone", "no_recovery": "service_is_back",
}
PLANT_SHARE = 0.03


class World:
    def __init__(self, fleet, history, seed, plant=None):
        self.fleet, self.history, self.plant = fleet, history, plant
        self.random = random.Random(seed)
        self.begin = time.monotonic()
        self.stamps = 0
        self.ids = 0
        self.servers = []
        self.misses = {machine.name: 9 for machine in fleet.entries}
        self.is_over = False
        self.version = 0
        self.extra_routes = 0

    def now(self):
        return time.monotonic() - self.begin

    async def add_server(self, service, zone, port=0):
        self.ids += 1
        server = Server(self, service, zone, f"i-{self.ids:04x}")
        await server.start(port)
        self.servers.append(server)
        return server

    async def watch_ready(self):
        """Callers reach the entry instances that say that they are ready."""
        while not self.is_over:
            for machine in self.fleet.entries:
                try:
                    status, _, _ = await call(
                        f"{machine.address}:{wire.READY_PORT}", "GET", "/ready",
                        timeout=0.4)
                except CALL_FAILURES:
                    status = 0
                missed = self.misses[machine.name]
                self.misses[machine.name] = 0 if status == 200 else missed + 1
            await asyncio.sleep(READY_POLL_S)

    def pick_entry(self):
        ready = [machine for machine in self.fleet.entries
                 if self.misses[machine.name] < 2]
        return self.random.choice(ready or self.fleet.entries)

    async def caller(self):
        """One connection after the other, each kept for many requests."""
        while not self.is_over:
            machine = self.pick_entry()
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(machine.address, wire.FRONT_PORT),
                    CALL_TIMEOUT_S)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            keep = True
            for _ in range(self.random.randint(1, 60)):
                if not keep or self.is_over:
                    break
                keep = await self.ask(machine, reader, writer)
                await asyncio.sleep(self.random.expovariate(12))
            writer.close()

    async def ask(self, machine, reader, writer):
        route = self.random.choice(["all", "all", "one", "once", "which"])
        self.ids += 1
        request = Request(f"{self.ids:016x}", route, machine.name, self.now())
        self.history.requests.append(request)
        method = "POST" if route == "once" else "GET"
        headers = {"Host": wire.HOST, "Foxtailthread-Request-Id": request.id,
                   "Foxtailthread-Deadline-Ms": "6000"}
        keep = False
        leaves = self.random.random() < 0.01
        try:
            writer.write(wire.message(f"{method} /{route}/x HTTP/1.1", headers,
                                      b"act" if route == "once" else b""))
            line, answered, body = await asyncio.wait_for(
                wire.read_message(reader), 0.004 if leaves else 6)
            request.status = int(line.split(" ")[1])
            names = (wire.PART_STAMPS if route == "all" else wire.STAMP)
            request.stamps = [stamp.strip() for stamp in
                              answered.get(names, "").split(",") if stamp]
            request.missing = int(answered.get(wire.MISSING_PARTS, "0"))
            request.body = body
            keep = answered.get("connection", "").lower() != "close"
        except asyncio.TimeoutError:
            request.gave_up = leaves
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.LimitOverrunError):
            pass
        if self.plant is not None:
            await self.make_mistake(machine, request)
        request.ended_at = self.now()
        return keep

    async def make_mistake(self, machine, request):
        is_chosen = self.random.random() < PLANT_SHARE
        is_calm = self.history.calm_from > 0
        again = (self.plant == "run_twice" and request.route == "once" and
                 is_chosen) or (self.plant == "extra_attempts" and
                                request.route == "one")
        for _ in range(2 if again else 0):
            try:
                await call(f"{machine.address}:{wire.FRONT_PORT}", "POST",
                           f"/{request.route}/x", b"act",
                           {"Foxtailthread-Request-Id": request.id},
                           host=wire.HOST)
            except CALL_FAILURES:
                pass  # the mistake failed this time
        if self.plant == "foreign_answer" and is_chosen:
            request.stamps = ["i-0000.0"]
        elif self.plant == "false_not_run" and is_chosen:
            request.status = 503
        elif self.plant == "late_answer" and is_chosen:
            await asyncio.sleep(wire.TIMEOUT_S + 0.6)
        elif self.plant == "cut_by_stop" and machine.is_stopping:
            request.status = None
        elif self.plant == "no_recovery" and is_calm:
            request.status = 503

    async def order(self, version=None):
        """Sends an order until it is answered, to instances at random."""
        if version is None:
            self.version += self.random.randint(1, 4)
            version = self.version
            self.history.orders.append(Order(version, self.now()))
        row = next(order for order in self.history.orders
                   if order.version == version)
        body = wire.order_text(version, self.extra_routes).encode()
        is_kept = self.plant in ("order_lost", "order_not_in_force")
        if is_kept and len(self.history.orders) > 1:
            row.acked_at = self.now()  # and it never reaches the programs
            return
        while not self.is_over:
            status, _ = await self.ask_control("POST", "/Config.Replace", body)
            if status == 200:
                row.acked_at = row.acked_at or self.now()
                return
            if 400 <= status < 500:
                row.refused = status
                return
            await asyncio.sleep(0.1)

    async def ask_control(self, method, path, body=b""):
        address = (f"{self.random.choice(self.fleet.controls).address}:"
                   f"{wire.CONTROL_PORT}")
        for _ in range(3):
            try:
                status, headers, text = await call(
                    address, method, path, body,
                    {"Content-Type": "application/json"})
            except CALL_FAILURES:
                return 0, b""
            if status != 307:
                return status, text
            address = headers["location"].split("/")[2]
        return 0, b""

    async def read(self, is_last=False):
        sent_at = self.now()
        status, text = await self.ask_control("GET", "/Config.Read")
        if status == 200:
            version = json.loads(text)["version"]
            self.history.reads.append(Read(sent_at, version, is_last))
        return status == 200

    async def operator(self):
        while not self.is_over:
            await asyncio.sleep(self.random.uniform(0.3, 2.5))
            kind = self.random.random()
            if kind < 0.5:
                await self.order()
            elif kind < 0.6:
                newest = [order.version for order in self.history.orders
                          if order.acked_at is not None]
                if newest:
                    await self.order(max(newest))
            else:
                await self.read()

    async def tend(self):
        while not self.is_over:
            for machine in self.fleet.machines:
                machine.tend(self.now())
            await asyncio.sleep(0.05)
