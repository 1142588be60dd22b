"""Backend servers drain, some only by silence; no new work after 2 s."""

import time

from common import Fleet, Result, at, covered_percent, load_report, progress

RATE = 150
DRAINED = tuple(f"packets-{shard}-a" for shard in range(12))
# These say nothing: they stop announcing, and end their process later.
SILENT = tuple(f"packets-{shard}-b" for shard in range(12, 18))
DRAIN_AT_S = 2.0
SILENT_END_S = 8.0


def run(options):
    result = Result()
    length = max(11.0, options.seconds)
    with Fleet(options) as fleet:
        load = fleet.start_load_at(f"{RATE}:{length}")
        start = time.monotonic()
        at(DRAIN_AT_S, start)
        progress(f"{len(DRAINED)} servers drain, {len(SILENT)} fall silent")
        for name in DRAINED:
            # They would still answer, so that all work sent is counted.
            fleet.fault("drain", {"refuse": False}, name=name)
        for name in SILENT:
            fleet.fault("silent", name=name)
        at(SILENT_END_S, start)
        rows = {row["name"]: row for row in fleet.stats()}
        for name in DRAINED + SILENT:
            fleet.fault("kill", name=name)
        report = load_report(load)
    total = report["total"]
    result.figure("work_after_2s", sum(
        rows[name]["work_after_leaving_2s"] for name in DRAINED), "requests", 0)
    result.figure("coverage_percent", covered_percent(total), "percent", 100,
                  "higher")
    result.figure("last_work_after_drain_ms", max(
        rows[name]["last_work_after_leaving_ms"] for name in DRAINED), "ms")
    result.figure("last_work_after_silence_ms", max(
        rows[name]["last_work_after_leaving_ms"] for name in SILENT), "ms")
    if total["missing"]:
        result.note(f"missing shards: {total['missing']}")
    return result
