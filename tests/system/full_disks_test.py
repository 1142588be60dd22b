"""Disks of control instances are full for some seconds, one after another. Once
all have room again, every change is accepted within a few seconds.

    full_disks_test.py --build DIR [--seed N]
"""

import argparse
import asyncio
import os
import random
import resource
import shutil
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import departure_test  # noqa: E402
from departure_test import CALL_FAILURES, Deployment, Fleet  # noqa: E402
from departure_test import call, claim_number, wire  # noqa: E402

SEED = 3
CONTROLS = 3
FULL_DISKS = 8
FULL_S = (0.5, 3.0)
PAUSES_S = (0.1, 0.6, 2.0)
# Time in which a change is acknowledged while all instances run.
ACK_S = 5.0
CATCH_UP_S = 4.0
CHANGES_AFTER = 10
EXTRA_ROUTES = 40


class FullDisksTest(unittest.TestCase):
    def test_changes_are_accepted_after_full_disks(self):
        folder = tempfile.mkdtemp(prefix="foxtail-full-")
        number, holder = claim_number()
        fleet = Fleet(departure_test.BUILD, folder, entries=2, number=number)
        try:
            asyncio.run(self.play(fleet))
        finally:
            fleet.stop()
            holder.close()
            if os.environ.get("KEEP_LOGS"):
                print("logs kept in", folder)
            else:
                shutil.rmtree(folder)

    async def play(self, fleet):
        deployment = Deployment(fleet)
        await deployment.start()
        world = deployment.world
        world.extra_routes = EXTRA_ROUTES
        tending = asyncio.ensure_future(self.tend(fleet, world))
        changes = asyncio.ensure_future(self.change(world))
        try:
            draw = random.Random(SEED)
            for _ in range(FULL_DISKS):
                await self.fill(deployment, draw)
                await asyncio.sleep(draw.choice(PAUSES_S))
            await asyncio.sleep(CATCH_UP_S)
            changes.cancel()
            for machine in fleet.controls:
                self.assertTrue(machine.is_alive(), machine.name)
            for number in range(CHANGES_AFTER):
                begin = world.now()
                await asyncio.wait_for(world.order(), 2 * ACK_S)
                self.assertLess(world.now() - begin, ACK_S,
                                f"change {number} after the last full disk")
            # Each instance has the newest change, or names the one that has.
            for machine in fleet.controls:
                status = (await call(f"{machine.address}:{wire.CONTROL_PORT}",
                                     "GET", "/Config.Read"))[0]
                self.assertIn(status, (200, 307), machine.name)
        finally:
            tending.cancel()
            changes.cancel()
            await deployment.stop()

    async def fill(self, deployment, draw):
        """One disk takes no more bytes for a while, over restarts as well."""
        fleet = deployment.fleet
        machine = draw.choice(fleet.controls)
        if draw.random() < 0.4:
            try:
                machine = await asyncio.wait_for(deployment.find_leader(), 5)
            except (asyncio.TimeoutError, AssertionError):
                pass
        # Files of this size may be read and not extended.
        size = max((os.path.getsize(os.path.join(machine.data, name))
                    for name in os.listdir(machine.data)), default=0)
        limit = max(1, draw.choice([size, size // 2, size + 100]))
        machine.disk_limit = limit
        self.set_limit(machine, limit)
        await asyncio.sleep(draw.uniform(*FULL_S))
        machine.disk_limit = None
        self.set_limit(machine, resource.RLIM_INFINITY)

    @staticmethod
    def set_limit(machine, limit):
        if machine.is_alive():
            try:
                resource.prlimit(machine.process.pid, resource.RLIMIT_FSIZE,
                                 (limit, resource.RLIM_INFINITY))
            except ProcessLookupError:
                pass  # it has just ended

    @staticmethod
    async def tend(fleet, world):
        """Starts ended processes again, as the platform does."""
        while True:
            for machine in fleet.machines:
                machine.tend(world.now())
            await asyncio.sleep(0.05)

    @staticmethod
    async def change(world):
        """Changes all the while; the outcome of each is not looked at."""
        while True:
            try:
                await asyncio.wait_for(world.order(), 1.0)
            except (asyncio.TimeoutError, *CALL_FAILURES):
                pass
            await asyncio.sleep(0.1)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=SEED)
    options, rest = parser.parse_known_args()
    departure_test.BUILD, SEED = options.build, options.seed
    unittest.main(argv=[sys.argv[0], *rest])
