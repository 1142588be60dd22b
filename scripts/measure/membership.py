"""64 instances: time to notice a death, bytes, false removals under faults."""

import os
import re
import subprocess

from common import Result, progress
from standin_fleet import run_fleets

DEATHS = 12
BASE = {"zones": 1, "warm_up_ms": 3000, "time_ms": 5000, "workers": 2}


def false_removals(build):
    """Removals of living instances under 5% loss and 200 ms pauses, in the
    virtual time of the test program, which injects them by a seed."""
    done = subprocess.run(
        [os.path.join(build, "test_instance"),
         "-tc=loss*do not remove running instances*"],
        capture_output=True, check=False, timeout=120, text=True)
    match = re.search(r"test cases:\s+1 \|\s+(\d) passed", done.stdout)
    return 0 if match and match.group(1) == "1" else 1


def run(options):
    result = Result()
    rows = [{**BASE, "instances_per_zone": 8},
            {**BASE, "instances_per_zone": 32},
            {**BASE, "instances_per_zone": 64, "deaths": DEATHS},
            {**BASE, "instances_per_zone": 64, "deaths": DEATHS}]
    progress(f"{len(rows)} fleets of 8 to 64 instances")
    reports = run_fleets(options.build, rows, at_once=4)
    notices = sorted(time for report in reports for time in report["notice_s"])
    result.figure("notice_p99_s", notices[-1], "s", 3)
    result.figure("notice_p50_s", notices[len(notices) // 2], "s")
    result.figure("deaths", len(notices), "deaths")
    result.figure("false_removals", false_removals(options.build), "removals",
                  0)
    result.figure("control_bytes_per_s", reports[2]["sent_bytes_per_s"],
                  "bytes/s")
    result.figure(
        "bytes_slope_per_instance",
        (reports[2]["sent_bytes_per_s"] - reports[0]["sent_bytes_per_s"]) / 56,
        "bytes/s")
    result.note("notice_p99_s is the largest of the deaths; the fleets run in "
                "real time without faults, false removals in virtual time")
    return result
