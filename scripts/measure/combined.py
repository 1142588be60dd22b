"""Stragglers, a lost replica of every shard and a version change at once."""

import time

from common import (Fleet, Result, at, covered_percent, desk_service,
                    load_report, progress)

RATE = 120
SHARDS = 25
STRAGGLER_FACTOR = 20
FAULTS_AT_S = 2.0


def disturb(fleet, start):
    at(FAULTS_AT_S, start)
    progress("stragglers begin, replica a is killed, the version changes")
    fleet.fault("straggle", {"factor": STRAGGLER_FACTOR, "percent": 1})
    fleet.fault("kill", replica="a")
    step = 0
    for letter in "bc":
        for shard in range(SHARDS):
            at(FAULTS_AT_S + 0.2 + 0.05 * step, start)
            fleet.fault("version", {"version": 2},
                        name=f"packets-{shard}-{letter}")
            step += 1
    progress("replica a returns")
    fleet.fault("restart", replica="a")
    fleet.fault("version", {"version": 2}, replica="a")


def measure(options, has_faults=True, **service):
    length = FAULTS_AT_S + max(6.0, options.seconds / 2)
    with Fleet(options, services=[desk_service(**service)]) as fleet:
        load = fleet.start_load_at(f"{RATE}:{length}", warm_up=FAULTS_AT_S)
        if has_faults:
            disturb(fleet, time.monotonic())
        return load_report(load)


def figures_of(report, clean_p99):
    total = report["total"]
    return {"coverage_percent": covered_percent(total),
            "p99_ratio": total["latency_ms"]["p99"] / clean_p99,
            "mixed_answers": total["mixed_answers"],
            "extra_load_percent": report["extra_load_percent"]}


def run(options):
    result = Result()
    progress("without faults")
    clean = measure(options, has_faults=False)["total"]["latency_ms"]["p99"]
    report = measure(options)
    values = figures_of(report, clean)
    progress("the same without hedges and retries")
    naive = measure(options, hedge_budget_percent=0, retry_budget_percent=0)
    result.figure("coverage_percent", values["coverage_percent"], "percent", 99,
                  "higher")
    result.figure("p99_ratio", values["p99_ratio"], "ratio", 3)
    result.figure("mixed_answers", values["mixed_answers"], "count", 0)
    result.figure("extra_load_percent", values["extra_load_percent"],
                  "percent", 10)
    result.figure("wrong_answers", report["total"]["wrong_answers"], "count", 0)
    result.figure("false_coverage", report["total"]["false_coverage"], "count",
                  0)
    result.baseline("no_hedge_no_retry", **figures_of(naive, clean))
    if report["total"]["missing"]:
        result.note(f"missing shards: {report['total']['missing']}")
    return result
