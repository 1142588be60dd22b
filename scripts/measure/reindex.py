"""Rolling change of version, and repartition from 16 to 24 shards, under load."""

import time

from common import Fleet, Result, at, covered_percent, load_report, progress

RATE = 150
OLD_SHARDS = 16
NEW_SHARDS = 24
REPLICAS = "abc"


def roll_version(fleet, start):
    """Server by server, replica by replica, to version 2."""
    progress("version 1 to 2, server by server")
    step = 0
    for letter in REPLICAS:
        for shard in range(OLD_SHARDS):
            at(1.0 + 0.05 * step, start)
            fleet.fault("version", {"version": 2},
                        name=f"packets-{shard}-{letter}")
            step += 1


def repartition(fleet, start):
    """Replica by replica, to version 3 in 24 shards."""
    progress("16 to 24 shards, replica by replica")
    for index, letter in enumerate(REPLICAS):
        at(5.0 + 1.5 * index, start)
        fleet.fault("repartition", {"version": 3, "shards": NEW_SHARDS},
                    replica=letter)


def run(options):
    result = Result()
    length = max(10.0, options.seconds)
    with Fleet(options, shards=OLD_SHARDS) as fleet:
        load = fleet.start_load_at(f"{RATE}:{length}")
        start = time.monotonic()
        roll_version(fleet, start)
        repartition(fleet, start)
        report = load_report(load)
        last = fleet.entries[0].query("desk", {"token": "t"}).json()
    total = report["total"]
    result.figure("mixed_answers", total["mixed_answers"], "count", 0)
    result.figure("coverage_percent", covered_percent(total), "percent", 99.9,
                  "higher")
    result.figure("wrong_answers", total["wrong_answers"], "count", 0)
    result.figure("false_coverage", total["false_coverage"], "count", 0)
    result.figure("partial_answers", total["outcomes"]["partial"], "count")
    result.figure("extra_load_percent", report["extra_load_percent"],
                  "percent")
    result.figure("p99_ms", total["latency_ms"]["p99"], "ms")
    result.figure("last_snapshot_shards",
                  last["snapshot"]["packets"]["shards"], "shards", NEW_SHARDS,
                  "higher")
    if total["missing"]:
        result.note(f"missing shards: {total['missing']}")
    return result
