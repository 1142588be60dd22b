"""One replica of every shard killed at once, under load."""

import time

from common import (Fleet, Result, at, covered_percent, desk_service,
                    load_report, progress, whole_again_s)

RATE = 150
KILL_AT_S = 2.0


def measure(options, **service_members):
    with Fleet(options, services=[desk_service(**service_members)]) as fleet:
        load = fleet.start_load_at(f"{RATE}:{KILL_AT_S + options.seconds / 2}")
        start = time.monotonic()
        at(KILL_AT_S, start)
        killed_ms = 1000 * (time.monotonic() - start)
        fleet.fault("kill", replica="a")
        return load_report(load), killed_ms


def run(options):
    result = Result()
    progress("killing 25 of 75 servers under load")
    report, killed_ms = measure(options)
    progress("the same without retries and hedges")
    naive, naive_ms = measure(options, retry_budget_percent=0,
                              hedge_budget_percent=0)
    total = report["total"]
    again_s = whole_again_s(report, killed_ms)
    result.figure("coverage_percent", covered_percent(total), "percent", 99.9,
                  "higher")
    result.figure("whole_again_s", again_s, "s", 1)
    result.figure("mixed_answers", total["mixed_answers"], "count", 0)
    result.figure("wrong_answers", total["wrong_answers"], "count", 0)
    result.figure("false_coverage", total["false_coverage"], "count", 0)
    result.figure("extra_load_percent", report["extra_load_percent"],
                  "percent")
    result.figure("p99_ms", total["latency_ms"]["p99"], "ms")
    result.baseline("no_retry", coverage_percent=covered_percent(
        naive["total"]), whole_again_s=whole_again_s(naive, naive_ms),
        p99_ms=naive["total"]["latency_ms"]["p99"])
    if total["missing"]:
        result.note(f"missing shards: {total['missing']}")
    return result
