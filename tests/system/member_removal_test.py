#!/usr/bin/env python3
"""Removal of a member of the control group, with real processes.

    member_removal_test.py --build DIR [--seed N]
"""

import sys
import time

from control_group import TOKEN, ControlGroup
from control_test import expect, main
from deployment import http_request


def test_removal_of_one_incarnation(deployment):
    """A removal that is read late does not remove a later incarnation."""
    group = ControlGroup(deployment, 3)
    voters = group.wait_voters(3)
    lost = group["control-3"]
    lost.kill()

    def remove(**body):
        return http_request(group.wait_leader().admin, "POST", "/v1/members",
                            body, {"Authorization": "Bearer " + TOKEN},
                            5.0).status

    name, incarnation = "control-3", voters["control-3"]
    expect(remove(remove=name) == 400, "the incarnation is required")
    expect(remove(remove=name, incarnation=incarnation - 1) == 404,
           "an earlier incarnation is no member")
    expect(name in group.voters(), "the member is there")
    expect(remove(remove=name, incarnation=incarnation) == 200,
           "the member is removed")
    expect(remove(remove=name, incarnation=incarnation) == 404,
           "it is removed once")
    # Its last request to join, of before the removal, is kept for 3 s.
    time.sleep(1)
    members = group.wait_leader().status()["members"]
    expect(all(member["instance"] != name for member in members),
           "it is not added again")


if __name__ == "__main__":
    sys.exit(main({"test_removal_of_one_incarnation":
                   test_removal_of_one_incarnation}))
