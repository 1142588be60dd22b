"""Evacuations of a zone that a control instance has acknowledged hold after the
loss of that instance, of all control instances and of all processes."""

import argparse
import asyncio
import os
import signal
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import departure_test  # noqa: E402
from departure_test import CALL_FAILURES, SERVICE, Deployment  # noqa: E402
from departure_test import call, wire  # noqa: E402

EVACUATE_S = 5.0
OBSERVED_S = 2.0
RESTART_S = 3.0
ZONE = "b"
LOSSES = ["none", "leader", "controls", "all"]
MAX_REDIRECTS = 2
PAUSE_S = 3.0


class EvacuationTest(unittest.TestCase):
    def test_acknowledged_evacuations_outlive_losses(self):
        # A restarted process that lacks the evacuation would use the zone.
        departure_test.play_with_fleet(self.play)

    async def play(self, fleet):
        deployment = Deployment(fleet)
        await deployment.start()
        try:
            server = await deployment.world.add_server(SERVICE, ZONE)
            await self.check_unknown_zone(deployment)
            for loss in LOSSES:
                with self.subTest(loss):
                    await self.check(deployment, server, loss)
            with self.subTest("paused"):
                await self.check_late_order(deployment, server)
        finally:
            await deployment.stop()

    async def send(self, machine, name):
        """Sends an order once and follows redirects. Returns the status, 0 when
        there is no reply within the second that operators wait."""
        address = f"{machine.address}:{wire.CONTROL_PORT}"
        target = f"/Evacuation.{name}/{ZONE}"
        for _ in range(MAX_REDIRECTS + 1):
            try:
                status, headers, _ = await call(address, "POST", target)
            except CALL_FAILURES:
                return 0
            if status != 307:
                break
            address, _, path = headers["location"].removeprefix(
                "http://").partition("/")
            target = "/" + path
        return status

    async def order(self, deployment, name, first):
        """Sends an order by turns to the control instances, as operators do."""
        controls = deployment.fleet.controls
        for attempt in range(40):
            machine = controls[(first + attempt) % len(controls)]
            if await self.send(machine, name) == 200:
                return machine
            await asyncio.sleep(0.25)
        raise AssertionError(f"{name}: no control instance acknowledged")

    async def check_late_order(self, deployment, server):
        """An instance that was paused reads an order that the operator has
        given up, sent to another instance and taken back since."""
        controls = deployment.fleet.controls
        await self.order(deployment, "Start", 0)
        leader = await deployment.find_leader()
        paused = next(machine for machine in controls if machine is not leader)
        paused.send(signal.SIGSTOP)
        await asyncio.sleep(0.3)
        first = controls.index(paused)
        self.assertEqual(await self.send(paused, "Finish"), 0)
        await self.order(deployment, "Finish", first + 1)
        await self.order(deployment, "Start", first + 1)
        acknowledged = deployment.world.now()
        await asyncio.sleep(PAUSE_S)
        paused.send(signal.SIGCONT)
        await asyncio.sleep(EVACUATE_S + OBSERVED_S)
        late = [run.at - acknowledged for run in deployment.runs_at(
            server, acknowledged + EVACUATE_S)]
        self.assertEqual(late, [], f"{paused.name} was paused")

    async def check_unknown_zone(self, deployment):
        machine = deployment.fleet.controls[0]
        status, _, body = await call(
            f"{machine.address}:{wire.CONTROL_PORT}", "POST",
            "/Evacuation.Start/nowhere")
        self.assertEqual(status, 404)
        self.assertIn(b"a, b, c", body)

    async def check(self, deployment, server, loss):
        at = deployment.world.now()
        await deployment.wait_until(lambda: deployment.runs_at(server, at),
                                    f"{loss}: the server is not used")
        receiver = await self.order(deployment, "Start", LOSSES.index(loss))
        acknowledged = deployment.world.now()
        lost = {"none": [], "leader": [await deployment.find_leader()],
                "controls": deployment.fleet.controls,
                "all": deployment.fleet.machines}[loss]
        for machine in lost:
            machine.kill()
        for machine in lost:
            machine.start()
        await asyncio.sleep(EVACUATE_S)
        if lost:
            await asyncio.sleep(RESTART_S)
        since = deployment.world.now()
        await asyncio.sleep(OBSERVED_S)
        late = [run.at - acknowledged for run in deployment.runs_at(
            server, acknowledged + EVACUATE_S)]
        self.assertEqual(late, [], f"acknowledged by {receiver.name}")
        statuses = [status for when, status in deployment.answers
                    if when > since]
        self.assertGreater(len(statuses), 20)
        self.assertEqual(set(statuses), {200})
        await self.order(deployment, "Finish", LOSSES.index(loss) + 1)
        ended = deployment.world.now()
        await deployment.wait_until(lambda: deployment.runs_at(server, ended),
                                    f"{loss}: the server is not used again")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options, rest = parser.parse_known_args()
    departure_test.BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
