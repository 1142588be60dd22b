"""An odd announcement among those of the backend servers neither ends nor blocks
a process, nor hides a server whose announcements are sound."""

import argparse
import asyncio
import json
import os
import random
import shutil
import sys
import tempfile
import unittest

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
LARGE = 7 * 1024 * 1024
# A server that follows the others is in use within this time.
IN_USE_S = 5.0
# Backend servers and operators wait this long for a reply.
REPLY_S = 1.0
# Odd announcements between two checks that servers are in use.
GROUP = 9


def announcement(**changes):
    """A sound announcement with changed members; None leaves one out."""
    rows = {"service": "odd", "address": "127.0.0.1:9", "zone": "a",
            "version": "v1", "slots": 4, "state": "ready", "warmup_left_ms": 0,
            "seq": 1, "born": 1700000000000, **changes}
    return json.dumps({name: value for name, value in rows.items()
                       if value is not None}).encode()


def raw(member, text):
    """A sound announcement whose member has this text as its value."""
    return announcement(**{member: "@"}).replace(b'"@"', text.encode())


def odd_bodies(sound):
    """Name, id and body of each odd announcement; sound is the address of a
    server whose announcements are sound."""
    nested = "[" * 100000
    return [
        ("nothing", "i-odd", b""),
        ("no object", "i-odd", b"[1]"),
        ("deeply nested, unclosed", "i-odd", b'{"service":' + nested.encode()),
        ("deeply nested", "i-odd", raw("extra", nested + "]" * 100000)),
        ("not UTF-8", "i-odd", raw("service", '"\x00"').replace(b"\0", b"\xff")),
        ("service too long", "i-odd", announcement(service="s" * LARGE)),
        ("zone too long", "i-odd-1", announcement(zone="z" * LARGE)),
        ("another long zone", "i-odd-2", announcement(zone="z" * LARGE)),
        ("a third long zone", "i-odd-3", announcement(zone="z" * LARGE)),
        ("many members", "i-odd", announcement(
            **{f"m{i}": 0 for i in range(300000)})),
        ("id too long", "i" * 4000, announcement()),
        ("slots beyond 32 bits", "i-odd", announcement(slots=2**32)),
        ("slots beyond 64 bits", "i-odd", announcement(slots=2**64)),
        ("slots no whole number", "i-odd", announcement(slots=2.5)),
        ("slots infinite", "i-odd", raw("slots", "1e400")),
        ("no slots", "i-odd", announcement(slots=0)),
        ("warm-up beyond 63 bits", "i-odd",
         announcement(warmup_left_ms=2**64 - 1)),
        ("warm-up of years", "i-odd", announcement(warmup_left_ms=2**63 - 1)),
        ("sequence beyond 63 bits", "i-odd", announcement(seq=2**64 - 1)),
        ("port beyond 16 bits", "i-odd", announcement(address="127.0.0.1:65545")),
        ("port 0", "i-odd", announcement(address="127.0.0.1:0")),
        ("negative port", "i-odd", announcement(address="127.0.0.1:-9")),
        ("no port", "i-odd", announcement(address="127.0.0.1")),
        ("no host", "i-odd", announcement(address=":9")),
        ("start in the future, at a sound address", "i-odd",
         announcement(address=sound, born=2**63)),
        ("unknown state, at a sound address", "i-odd",
         announcement(address=sound, born=2**53, state="sleeping")),
    ]


class Deployment:
    def __init__(self, fleet):
        self.fleet = fleet
        self.history = History()
        self.world = World(fleet, self.history, seed=1)

    async def start(self):
        self.fleet.start()
        self.sound = await self.world.add_server(SERVICE, "a")
        await asyncio.wait_for(self.world.order(), 30)
        self.tasks = [asyncio.ensure_future(self.send_requests(entry))
                      for entry in self.fleet.entries]
        await self.wait_for_runs(self.sound)

    async def send_requests(self, entry):
        while not self.world.is_over:
            self.world.ids += 1
            try:
                await call(f"{entry.address}:{wire.FRONT_PORT}", "GET", "/one/x",
                           headers={"Foxtailthread-Request-Id":
                                    f"{self.world.ids:016x}",
                                    "Foxtailthread-Deadline-Ms": "2000"},
                           host=wire.HOST)
            except CALL_FAILURES:
                pass  # shows as a server that is not in use
            await asyncio.sleep(0.03)

    async def wait_for_runs(self, server, timeout=IN_USE_S):
        since = self.world.now()
        while self.world.now() < since + timeout:
            if any(run.server == server.id and run.at > since
                   for run in self.history.runs):
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"{server.id} is not in use")

    async def post(self, machine, identity, body):
        try:
            await call(f"{machine.address}:{wire.CONTROL_PORT}", "POST",
                       f"/Instances.Heartbeat/{identity}", body,
                       {"Content-Type": "application/json"}, timeout=10)
        except CALL_FAILURES:
            pass  # it may close the connection

    async def check(self, faults):
        """All processes run and reply in time."""
        for machine in self.fleet.controls:
            try:
                await call(f"{machine.address}:{wire.CONTROL_PORT}", "GET",
                           "/Config.Read", timeout=REPLY_S)
            except CALL_FAILURES as error:
                faults.append(f"{machine.name} does not reply: {error!r}")
        faults += [f"{machine.name} has ended" for machine in self.fleet.machines
                   if not machine.is_alive()]

    async def check_servers(self, faults):
        """A new server gets in use, and the sound one still is."""
        late = await self.world.add_server(SERVICE, "a")
        self.sound.slow = 20.0  # so that the new one is preferred
        try:
            await self.wait_for_runs(late)
        except AssertionError as error:
            faults.append(str(error))
        late.state = "gone"
        late.end()
        self.sound.slow = 1.0
        try:
            await self.wait_for_runs(self.sound)
        except AssertionError as error:
            faults.append(f"after that {error}")

    async def stop(self):
        self.world.is_over = True
        for server in self.world.servers:
            server.task.cancel()
            if server.state != "gone":
                server.end()


class OddAnnouncementTest(unittest.TestCase):
    maxDiff = None

    # Processes that read the list of backend servers ended, or stopped following
    # it, because of one entry that another writer had left.
    def test_odd_announcements_harm_nobody(self):
        folder = tempfile.mkdtemp(prefix="foxtail-odd-")
        number, holder = claim_number()
        fleet = Fleet(BUILD, folder, entries=2, number=number)
        try:
            faults = asyncio.run(self.play(fleet))
        finally:
            fleet.stop()
            holder.close()
            shutil.rmtree(folder)
        self.assertEqual(faults, {})

    async def play(self, fleet):
        random.seed(1)
        deployment = Deployment(fleet)
        found = {}
        try:
            await deployment.start()
            bodies = odd_bodies(deployment.sound.announced)
            for i, (name, identity, body) in enumerate(bodies):
                await deployment.post(fleet.controls[i % 3], identity, body)
                faults = []
                await deployment.check(faults)
                if i % GROUP == GROUP - 1 or i == len(bodies) - 1:
                    await deployment.check_servers(faults)
                if faults:
                    found[name] = faults
            # Processes that start read the whole list.
            for machine in (fleet.controls[1], fleet.entries[1]):
                machine.kill()
                machine.start()
            await asyncio.sleep(2.0)
            faults = []
            await deployment.check(faults)
            await deployment.check_servers(faults)
            if faults:
                found["after restarts"] = faults
        finally:
            await deployment.stop()
        return found


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options, rest = parser.parse_known_args()
    BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
