"""Departures of backend servers that a control instance has acknowledged hold
after the loss of that instance, of all control instances and of all processes."""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import unittest
from dataclasses import dataclass

SOAK = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                    "platform", "soak")
sys.path.insert(0, SOAK)

import wire  # noqa: E402
from machines import Fleet  # noqa: E402
from promises import History  # noqa: E402
from soak import claim_number  # noqa: E402
from world import CALL_FAILURES, World, call  # noqa: E402

BUILD = "build"
SERVICE = "one"
CALLERS = 4
SLOWNESS = 8.0
RESTART_S = 0.5
OBSERVED_S = 2.0


@dataclass
class Departure:
    """A server says that it leaves, and processes are lost after so long."""
    name: str
    message: str  # "Deregister", or "Heartbeat" in state draining
    loss: str
    after_s: float = 0.0


DEPARTURES = [
    Departure("killed at once", "Deregister", "kill"),
    Departure("killed before the feed sends it", "Deregister", "kill", 0.05),
    Departure("stopped at once", "Deregister", "stop"),
    Departure("stopped before the feed sends it", "Deregister", "stop", 0.03),
    Departure("leader killed", "Deregister", "kill_leader"),
    Departure("draining, killed at once", "Heartbeat", "kill"),
    Departure("draining, all control instances killed", "Heartbeat",
              "kill_controls"),
    Departure("killed with its disk", "Deregister", "wipe"),
]
# Apart from the others, as a loss of all processes also loses the knowledge of
# servers that are used though they have left.
DEPARTURE_BEFORE_LOSS_OF_ALL = Departure(
    "all killed, and an announcement is late", "Deregister", "kill_all", 1.0)


class Deployment:
    """Three control and two entry instances with callers. Servers that stay are
    slow and in a zone without entry instances, so that others are preferred."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.history = History()
        self.world = World(fleet, self.history, seed=1)
        self.answers = []  # (time, status)

    async def start(self):
        self.fleet.start()
        for _ in range(3):
            server = await self.world.add_server(SERVICE, "c")
            server.slow = SLOWNESS
        await asyncio.wait_for(self.world.order(), 30)
        self.tasks = [asyncio.ensure_future(self.send_requests(i))
                      for i in range(CALLERS)]

    async def stop(self):
        self.world.is_over = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.world.servers:
            server.task.cancel()
            server.end()

    async def send_requests(self, number):
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        while not self.world.is_over:
            self.world.ids += 1
            try:
                status, _, _ = await call(
                    f"{entry.address}:{wire.FRONT_PORT}", "GET", "/one/x",
                    headers={"Foxtailthread-Request-Id":
                             f"{self.world.ids:016x}",
                             "Foxtailthread-Deadline-Ms": "2000"},
                    host=wire.HOST)
            except CALL_FAILURES:
                status = 0
            self.answers.append((self.world.now(), status))
            await asyncio.sleep(0.05)

    def runs_at(self, server, since=0.0):
        return [run for run in self.history.runs
                if run.server == server.id and run.at > since and
                not run.is_refused]

    async def wait_until(self, condition, what):
        for _ in range(200):
            if condition():
                return
            await asyncio.sleep(0.05)
        raise AssertionError(what)

    async def find_leader(self):
        for _ in range(100):
            for machine in self.fleet.controls:
                try:
                    status, _, _ = await call(
                        f"{machine.address}:{wire.CONTROL_PORT}", "GET",
                        "/Config.Read")
                except CALL_FAILURES:
                    continue
                if status == 200:
                    return machine
            await asyncio.sleep(0.05)
        raise AssertionError("no control instance leads")

    async def play(self, departure, number):
        """Returns the server that left."""
        server = await self.world.add_server(SERVICE, "ab"[number % 2])
        await self.wait_until(lambda: self.runs_at(server),
                              f"{departure.name}: the server is not used")
        server.task.cancel()
        leader = await self.find_leader()
        followers = [machine for machine in self.fleet.controls
                     if machine is not leader]
        receiver = (leader if departure.loss == "kill_leader"
                    else followers[number % 2])
        late = wire.announcement_text(server, "ready", server.sequence)
        state = "draining" if departure.message == "Heartbeat" else "ready"
        body = wire.announcement_text(server, state, server.sequence + 1)
        status, _, _ = await call(
            f"{receiver.address}:{wire.CONTROL_PORT}", "POST",
            f"/Instances.{departure.message}/{server.id}", body.encode())
        if status != 200:
            raise AssertionError(f"{departure.name}: answered with {status}")
        # The next server that leaves is to be preferred while it is in use.
        server.slow = SLOWNESS
        await asyncio.sleep(departure.after_s)
        await self.lose(departure.loss, receiver)
        if departure.loss == "kill_all":
            await asyncio.sleep(2.0)
            await call(f"{receiver.address}:{wire.CONTROL_PORT}", "POST",
                       f"/Instances.Heartbeat/{server.id}", late.encode())
        return server

    async def lose(self, loss, receiver):
        lost = {"kill_controls": self.fleet.controls,
                "kill_all": self.fleet.machines}.get(loss, [receiver])
        for machine in lost:
            if loss == "stop":
                machine.send(signal.SIGTERM)
                machine.process.wait()
            else:
                machine.kill()
        if loss == "wipe":
            receiver.wipe()
        await asyncio.sleep(RESTART_S)
        for machine in lost:
            machine.start()
        # A group bears the next loss when this one has caught up.
        await asyncio.sleep(wire.CATCH_UP_S if loss == "wipe" else 1.0)


def play_with_fleet(play):
    """Runs play(fleet) with three control and two entry instances, which are
    not started, and a folder for their files."""
    folder = tempfile.mkdtemp(prefix="foxtail-fleet-")
    number, holder = claim_number()
    fleet = Fleet(BUILD, folder, entries=2, number=number)
    try:
        asyncio.run(play(fleet))
    finally:
        fleet.stop()
        holder.close()
        shutil.rmtree(folder)


class DepartureTest(unittest.TestCase):
    def test_acknowledged_departures_outlive_losses(self):
        # A server that had left stayed in use until its address was gone: the
        # control instance that acknowledged kept the departure in memory.
        play_with_fleet(self.play_all)

    async def play_all(self, fleet):
        random.seed(1)
        deployment = Deployment(fleet)
        await deployment.start()
        try:
            await self.check_all(deployment)
        finally:
            await deployment.stop()

    async def check_all(self, deployment):
        await self.check(deployment, DEPARTURES)
        await self.check(deployment, [DEPARTURE_BEFORE_LOSS_OF_ALL])

    async def check(self, deployment, departures):
        servers = [(departure, await deployment.play(departure, i))
                   for i, departure in enumerate(departures)]
        for _, server in servers:
            server.slow = 1.0
        await asyncio.sleep(wire.DRAIN_S + wire.CONTACT_S)
        since = deployment.world.now()
        await asyncio.sleep(OBSERVED_S)
        for departure, server in servers:
            with self.subTest(departure.name):
                self.assertEqual(len(deployment.runs_at(server, since)), 0)
        statuses = [status for at, status in deployment.answers if at > since]
        self.assertGreater(len(statuses), 20)
        self.assertEqual(set(statuses), {200})


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options, rest = parser.parse_known_args()
    BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
