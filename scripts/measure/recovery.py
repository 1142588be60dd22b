"""All control instances restart after 1,000 changes; time to serving."""

import time

from common import Deployment, Result, progress, wait_until
from control_group import ControlGroup, services_document

CHANGES = 1000


def run(options):
    result = Result()
    with Deployment(options.build, seed=options.seed) as deployment:
        group = ControlGroup(deployment, 3)
        group.wait_voters(3)
        progress(f"{CHANGES} changes")
        leader = group.wait_leader()
        for version in range(CHANGES):
            answer = group.post(leader, services_document([f"d{version}"]),
                                version)
            assert answer.status == 200, answer.body
        times = []
        for _ in range(5):
            for control in group:
                control.kill()
            begin = time.monotonic()
            for control in group:
                control.start()

            def is_serving():
                one = group.leader()
                value = group.read(one, timeout=1) if one else None
                return value and value[0] == CHANGES

            wait_until(is_serving, 30, "serving", step_s=0.002)
            times.append(time.monotonic() - begin)
            progress(f"serving after {times[-1]:.3f} s")
    times.sort()
    result.figure("serving_after_1000_changes_s", times[-1], "s", 1)
    result.figure("serving_after_1000_changes_median_s", times[2], "s")
    return result
