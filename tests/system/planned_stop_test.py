"""A planned stop of an entry instance answers every request that it passes on:
also one that comes late, is sent slowly, or takes longer than the stop."""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import unittest
from dataclasses import dataclass
from typing import Optional

SOAK = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                    "platform", "soak")
sys.path.insert(0, SOAK)

import wire  # noqa: E402
from machines import Fleet  # noqa: E402
from promises import NOT_RUN_STATUSES, History  # noqa: E402
from soak import claim_number  # noqa: E402
from world import Server, World  # noqa: E402

BUILD = "build"
SEED = 30
REQUESTS = 160
WORK_S = (0.02, 0.4, 1.5, 4.0)
# Callers send their whole head within header_timeout_ms.
SLOWEST_S = 2.8
# An answer that crosses the close of a connection may be lost by this time after
# its request was sent (loss_slack_ms).
SLACK_S = 0.2
LOAD_CALLERS = 30


class WorkingServer(Server):
    """Works on each request for as long as its path says."""

    async def serve_one(self, reader, writer):
        line, headers, _ = await wire.read_message(reader)
        request = headers.get(wire.REQUEST_ID, "")
        self.world.runs.append(request)
        await asyncio.sleep(float(line.split(" ")[1].split("/")[2]) / 1000)
        writer.write(wire.message(
            "HTTP/1.1 200 OK",
            {"Foxtailthread-Request-Id": request,
             "Foxtailthread-Server-Stamp": f"{self.id}.{request}"}, b"done"))
        await writer.drain()
        return True


@dataclass
class Late:
    """One request around a stop; times in seconds from the SIGTERM."""
    id: str
    route: str
    begin_s: float
    slowness_s: float
    work_s: float
    status: Optional[int] = None
    sent_s: Optional[float] = None  # its last byte
    ended_s: Optional[float] = None


def draw(source, number):
    return Late(f"{number:016x}", source.choice(["one", "once"]),
                source.uniform(-0.5, wire.GRACE_S - 0.6),
                source.choice([0.0, source.uniform(0.1, SLOWEST_S)]),
                source.choice(WORK_S))


class Stop:
    """Three control and two entry instances; the first entry instance stops."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.entry = fleet.entries[0]
        self.world = World(fleet, History(), seed=1)
        self.world.runs = []
        self.stopped_at = float("inf")

    async def start(self):
        self.fleet.start()
        for service in ("one", "once"):
            for i in range(2):
                server = WorkingServer(self.world, service, "a",
                                       f"i-{service}-{i}")
                await server.start()
                self.world.servers.append(server)
        await asyncio.wait_for(self.world.order(), 30)
        for _ in range(200):
            request = Late(f"f{self.world.ids:015x}", "one", 0, 0, 0.0)
            self.world.ids += 1
            self.stopped_at = time.monotonic()
            await self.ask(request)
            if request.status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError("the entry instance does not serve")

    def now(self):
        return time.monotonic() - self.stopped_at

    async def send(self, late, writer):
        method = "POST" if late.route == "once" else "GET"
        text = wire.message(
            f"{method} /{late.route}/{int(late.work_s * 1000)} HTTP/1.1",
            {"Host": wire.HOST, "Foxtailthread-Request-Id": late.id,
             "Foxtailthread-Deadline-Ms": "6000"},
            b"act" if late.route == "once" else b"")
        steps = 8 if late.slowness_s else 1
        size = -(-len(text) // steps)
        for at in range(0, len(text), size):
            writer.write(text[at:at + size])
            await writer.drain()
            if at + size < len(text):
                await asyncio.sleep(late.slowness_s / (steps - 1))
        late.sent_s = self.now()

    async def ask(self, late, connection=None):
        """Sends a request and notes its answer; a connection that the instance
        closes leaves the status unset."""
        reader, writer = connection or await asyncio.open_connection(
            self.entry.address, wire.FRONT_PORT)
        sending = asyncio.ensure_future(self.send(late, writer))
        try:
            line, _, _ = await asyncio.wait_for(wire.read_message(reader), 9)
            late.status = int(line.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass  # no whole answer
        late.ended_s = self.now()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()

    async def ask_at(self, late):
        """Opens the connection before the stop, so that it is a kept one."""
        connection = await asyncio.open_connection(self.entry.address,
                                                   wire.FRONT_PORT)
        await asyncio.sleep(max(0.0, late.begin_s - self.now()))
        await self.ask(late, connection)

    async def load(self):
        """Short requests to the instance, as long as it takes them."""
        while self.now() < wire.GRACE_S:
            self.world.ids += 1
            late = Late(f"e{self.world.ids:015x}", "one", 0, 0, 0.02)
            try:
                await self.ask(late)
            except OSError:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.01)

    async def play(self, seed, is_loaded):
        source = random.Random(seed)
        lates = [draw(source, seed * 1000 + i) for i in range(REQUESTS)]
        self.stopped_at = time.monotonic() + 1.0
        tasks = [asyncio.ensure_future(self.ask_at(late)) for late in lates]
        if is_loaded:
            tasks += [asyncio.ensure_future(self.load())
                      for _ in range(LOAD_CALLERS)]
        await asyncio.sleep(-self.now())
        self.entry.send(signal.SIGTERM)
        while self.now() < wire.GRACE_S and self.entry.is_alive():
            await asyncio.sleep(0.02)
        self.entry.kill()
        await asyncio.gather(*tasks)
        return lates

    async def end(self):
        self.world.is_over = True
        for server in self.world.servers:
            server.task.cancel()
            server.end()


def faults_of(lates, runs):
    """What the stop did wrong, a line each."""
    faults = []
    for late in lates:
        count = runs.count(late.id)
        if count > 0 and late.status is None:
            faults.append(f"passed on and not answered: {late}")
        if count > 0 and late.status in NOT_RUN_STATUSES:
            faults.append(f"ran, and answered as not run: {late}")
        if count > 1 and late.route == "once":
            faults.append(f"ran twice: {late}")
        is_read = late.sent_s is not None and (
            late.ended_s > late.sent_s + SLACK_S)
        if late.status is None and is_read:
            faults.append(f"read and not answered: {late}")
    return faults


class PlannedStopTest(unittest.TestCase):
    # Requests that came late in the stop were passed on, and cut with the process
    # at its end; callers could not know whether their actions had run.

    def check(self, is_loaded):
        folder = tempfile.mkdtemp(prefix="foxtail-stop-")
        number, holder = claim_number()
        fleet = Fleet(BUILD, folder, entries=2, number=number)
        try:
            lates, runs = asyncio.run(self.play(fleet, is_loaded))
        finally:
            fleet.stop()
            holder.close()
            shutil.rmtree(folder)
        self.assertEqual(faults_of(lates, runs), [])
        served = sum(1 for late in lates if late.status == 200)
        self.assertGreater(served, REQUESTS / 8)

    async def play(self, fleet, is_loaded):
        stop = Stop(fleet)
        try:
            await stop.start()
            lates = await stop.play(SEED, is_loaded)
        finally:
            await stop.end()
        return lates, stop.world.runs

    def test_in_calm(self):
        self.check(False)

    def test_under_load(self):
        self.check(True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=SEED)
    options, rest = parser.parse_known_args()
    BUILD, SEED = options.build, options.seed
    unittest.main(argv=[sys.argv[0], *rest])
