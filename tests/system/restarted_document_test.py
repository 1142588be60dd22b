"""Requests are handled by no version older than the newest acknowledged one
after all processes were killed, also while control has no quorum."""

import argparse
import asyncio
import json
import os
import secrets
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import departure_test  # noqa: E402
from departure_test import CALL_FAILURES, Deployment  # noqa: E402
from departure_test import call, wire  # noqa: E402

# Enough bytes that are not compressed for control to replace its log by a
# snapshot.
LARGE_VERSIONS = 42
EXTRA_ROUTES = 400
EXTRA_PREFIX_BYTES = 285
DOWN_S = 0.5
ALONE_S = 4.0


class Callers:
    """Send requests whose route goes to another service in each version."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.statuses = []

    async def send(self, entry):
        self.deployment.world.ids += 1
        headers = {"Foxtailthread-Request-Id":
                   f"{self.deployment.world.ids:016x}",
                   "Foxtailthread-Deadline-Ms": "1500"}
        try:
            status, _, _ = await call(
                f"{entry.address}:{wire.FRONT_PORT}", "GET", "/which/x",
                headers=headers, host=wire.HOST)
        except CALL_FAILURES:
            status = 0
        self.statuses.append((self.deployment.world.now(), status))

    async def run(self):
        tasks = []
        try:
            while True:
                tasks = [task for task in tasks if not task.done()]
                tasks += [asyncio.ensure_future(self.send(entry))
                          for entry in self.deployment.fleet.entries]
                await asyncio.sleep(0.01)
        finally:
            await asyncio.gather(*tasks, return_exceptions=True)

    def statuses_between(self, begin, end):
        return {status for at, status in self.statuses if begin < at < end}


class RestartedDocumentTest(unittest.TestCase):
    # Requests ran by the kinds of routes and the keys of earlier versions, so
    # that some ran twice and some as the team that had held their key.
    def test_a_restart_of_all_processes(self):
        departure_test.play_with_fleet(self.play)

    async def play(self, fleet):
        deployment = Deployment(fleet)
        await deployment.start()
        callers = Callers(deployment)
        sending = asyncio.ensure_future(callers.run())
        try:
            servers = {parity: await deployment.world.add_server(name, "a")
                       for parity, name in wire.MARKERS.items()}
            await self.change(deployment, 0, LARGE_VERSIONS, EXTRA_ROUTES)
            await self.change(deployment, 1, 2, 0)
            await deployment.wait_until(
                lambda: deployment.runs_at(servers[1]), "no request runs")
            await asyncio.sleep(wire.APPLY_S)
            since = deployment.world.now()
            for machine in fleet.machines:
                machine.kill()
            await asyncio.sleep(DOWN_S)
            for machine in fleet.entries + fleet.controls[:1]:
                machine.start()
            await asyncio.sleep(ALONE_S)
            alone = (deployment.world.now() - ALONE_S / 2,
                     deployment.world.now())
            for machine in fleet.controls[1:]:
                machine.start()
            await deployment.wait_until(
                lambda: deployment.runs_at(servers[1], alone[1]),
                "no request runs after the restart")
            await asyncio.sleep(1.0)
            with self.subTest("one control instance is back"):
                self.assertEqual(callers.statuses_between(*alone), {503})
            with self.subTest("runs by an older version"):
                self.assertEqual(len(deployment.runs_at(servers[0], since)), 0)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            await deployment.stop()

    async def change(self, deployment, parity, count, extra_routes):
        """Orders so many versions of one parity."""
        world = deployment.world
        for _ in range(count):
            world.version += 2 if world.version % 2 == parity else 1
            document = json.loads(wire.order_text(world.version))
            example = document["routes"][0]
            document["routes"] += [
                {**example, "name": f"more-{i}", "path_prefix":
                 f"/{secrets.token_urlsafe(EXTRA_PREFIX_BYTES)}/"}
                for i in range(extra_routes)]
            status = 0
            while status != 200:
                status, _ = await world.ask_control(
                    "POST", "/Config.Replace", json.dumps(document).encode())


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options, rest = parser.parse_known_args()
    departure_test.BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
