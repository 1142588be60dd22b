"""The leader is killed; time to the next accepted change."""

import time

from common import Deployment, Result, progress
from control_group import ControlGroup, services_document

RUNS = 7


def run(options):
    result = Result()
    times = []
    with Deployment(options.build, seed=options.seed) as deployment:
        group = ControlGroup(deployment, 3)
        group.wait_voters(3)
        group.apply(services_document(["desk"]), 0)
        for number in range(RUNS):
            leader = group.wait_leader()
            leader.kill()
            begin = time.monotonic()
            answer = group.apply(services_document([f"d{number}"]), number + 1)
            times.append(time.monotonic() - begin)
            assert answer.status == 200, answer.body
            progress(f"accepted after {times[-1]:.3f} s")
            leader.start()
            group.wait_voters(3)
    times.sort()
    result.figure("next_accept_s", times[-1], "s", 2)
    result.figure("next_accept_median_s", times[RUNS // 2], "s")
    return result
