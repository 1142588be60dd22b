"""Offered load twice the capacity, then back: goodput, refusals, recovery."""

from common import Fleet, Result, desk_service, progress

SERVICE_MS = 20.0
SLOTS = 3
REPLICAS = 3
# Each query takes one slot of each shard.
CAPACITY = SLOTS * REPLICAS * 1000 / SERVICE_MS
NORMAL = 0.5
OVERLOAD = 2.0
NORMAL_S = 2.0
DEADLINE_MS = 500


def measure(options, overload_s, **service):
    settings = {"deadline_ms": DEADLINE_MS, **service}
    with Fleet(options, services=[desk_service(**settings)], slots=SLOTS,
               replicas=REPLICAS,
               service_time={"kind": "fixed", "median_ms": SERVICE_MS}) as fleet:
        fleet.run_load(f"{CAPACITY * NORMAL}:1")
        return fleet.run_load(
            f"{CAPACITY * NORMAL}:{NORMAL_S},{CAPACITY * OVERLOAD}:{overload_s},"
            f"{CAPACITY * NORMAL}:5", timeline_ms=100)


def recovery_s(report, overload_s):
    """Seconds after the overload until p99 stays within twice the normal."""
    normal = report["steps"][0]["latency_ms"]["p99"]
    end_ms = 1000 * (NORMAL_S + overload_s)
    last = 0.0
    for row in report["timeline"]:
        is_late = row["p99_ms"] > 2 * normal or row["whole"] < row["sent"]
        if row["start_ms"] >= end_ms and is_late:
            last = row["start_ms"] + 100 - end_ms
    return last / 1000


def extra_load(report):
    """Backend requests beyond those of answered queries, in percent. A
    refused query must cost nothing, so its shards are not counted."""
    return report["extra_load_percent"]


def figures_of(report, overload_s):
    step = report["steps"][1]
    return {"goodput_ratio": step["outcomes"]["whole"] / overload_s / CAPACITY,
            "refusal_p99_ms": step["refusal_ms"]["p99"],
            "extra_load_percent": extra_load(report),
            "recovery_s": recovery_s(report, overload_s)}


def run(options):
    result = Result()
    overload_s = options.seconds / 2
    progress(f"capacity {CAPACITY:.0f} queries/s; twice that is offered")
    report = measure(options, overload_s)
    values = figures_of(report, overload_s)
    progress("the same with long queues and unbounded retries")
    naive = measure(options, overload_s, queue_length=100000,
                    retry_budget_percent=100, hedge_budget_percent=0)
    step = report["steps"][1]
    result.figure("goodput_ratio", values["goodput_ratio"], "ratio", 0.9,
                  "higher")
    result.figure("refusal_p99_ms", values["refusal_p99_ms"], "ms", 50)
    result.figure("extra_load_percent", values["extra_load_percent"],
                  "percent", 10)
    result.figure("recovery_s", values["recovery_s"], "s", 2)
    result.figure("refused_share", step["outcomes"]["not_run"] / step["sent"],
                  "ratio")
    result.figure("unknown_share", step["outcomes"]["unknown"] / step["sent"],
                  "ratio")
    result.figure("partial_share", step["outcomes"]["partial"] / step["sent"],
                  "ratio")
    result.figure("p99_ms_in_overload", step["latency_ms"]["p99"], "ms")
    result.baseline("long_queue", **figures_of(naive, overload_s))
    return result
