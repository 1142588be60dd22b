"""1% of replies 20 times slower and one replica always slow: the tail."""

from common import Fleet, Result, desk_service, progress

STRAGGLER_FACTOR = 20
RATE = 150
WARM_UP_S = 3.0
# A delay that someone would set by hand, well above the usual service time.
FIXED_DELAY_MS = 50


def plant_stragglers(fleet):
    """1% of all replies, and every reply of one server."""
    fleet.fault("straggle", {"factor": STRAGGLER_FACTOR, "percent": 1})
    fleet.fault("straggle", {"factor": STRAGGLER_FACTOR}, name="packets-7-b")


def measure(options, has_stragglers=True, hedge=None, **service):
    """hedge: settings of the entry instances' hedging, for a baseline."""
    members = {"policy": {"hedge": hedge}} if hedge else {}
    with Fleet(options, services=[desk_service(**service)],
               entry_members=members) as fleet:
        if has_stragglers:
            plant_stragglers(fleet)
        return fleet.run_load(f"{RATE}:{WARM_UP_S + options.seconds}",
                              warm_up=WARM_UP_S)


def figures_of(report, clean_p99):
    total = report["total"]
    return {"p99_ratio": total["latency_ms"]["p99"] / clean_p99,
            "extra_load_percent": report["extra_load_percent"],
            "coverage_percent": total["coverage_percent"]}


def run(options):
    result = Result()
    progress("without stragglers")
    clean = measure(options, has_stragglers=False)
    clean_p99 = clean["total"]["latency_ms"]["p99"]
    progress(f"p99 without stragglers {clean_p99:.1f} ms; with them")
    report = measure(options)
    values = figures_of(report, clean_p99)
    progress("with stragglers, not hedged")
    naive = measure(options, hedge_budget_percent=0)
    progress(f"with stragglers, hedged after {FIXED_DELAY_MS} ms")
    fixed = measure(options, hedge={"min_delay_ms": FIXED_DELAY_MS},
                    hedge_quantile=0.5)
    result.figure("p99_ratio", values["p99_ratio"], "ratio", 1.5)
    result.figure("extra_load_percent", values["extra_load_percent"],
                  "percent", 5)
    result.figure("coverage_percent", values["coverage_percent"], "percent",
                  100, "higher")
    result.figure("p99_ms", report["total"]["latency_ms"]["p99"], "ms")
    result.figure("p99_without_stragglers_ms", clean_p99, "ms")
    result.baseline("no_hedge", **figures_of(naive, clean_p99))
    result.baseline("fixed_delay", **figures_of(fixed, clean_p99))
    return result
