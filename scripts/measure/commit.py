"""A change of the document, from being sent to being in force on 9 instances."""

import time

from common import Deployment, Result, progress, wait_until
from control_group import KEY, ControlGroup, services_document

INSTANCES = 9
CHANGES = 60


def run(options):
    result = Result()
    with Deployment(options.build, seed=options.seed) as deployment:
        group = ControlGroup(deployment, 3)
        group.wait_voters(3)
        entries = [deployment.entry(
            f"entry-{number}", "abc"[number % 3], control=group.peers(),
            instances={"port": deployment.free_ports(), "deployment_key": KEY})
            for number in range(INSTANCES)]
        group.apply(services_document(["desk"]), 0)
        deployment.wait_ready()
        for entry in entries:
            wait_until(lambda one=entry: one.status()["document_version"] == 1,
                       10, "first document")
        progress(f"{CHANGES} changes")
        leader = group.wait_leader()
        accepted, in_force = [], []
        for version in range(1, CHANGES + 1):
            begin = time.monotonic()
            answer = group.post(leader, services_document([f"d{version}"]),
                                version)
            accepted.append(1000 * (time.monotonic() - begin))
            assert answer.status == 200, answer.body
            for entry in entries:
                wait_until(lambda one=entry: one.status()["document_version"]
                           == version + 1, 15, "in force", step_s=0.001)
            in_force.append(1000 * (time.monotonic() - begin))
    accepted.sort()
    in_force.sort()
    result.figure("in_force_p99_ms", in_force[int(0.99 * CHANGES)], "ms", 500)
    result.figure("in_force_p50_ms", in_force[CHANGES // 2], "ms")
    result.figure("accepted_p50_ms", accepted[CHANGES // 2], "ms")
    result.note(f"{CHANGES} changes, so that the p99 is the largest but one at "
                "best; seen by polling 9 status pages in turn")
    return result
