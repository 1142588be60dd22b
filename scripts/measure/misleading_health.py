"""Endpoints say well while servers hang, err or crawl, and ill while well."""

from common import Fleet, Result, covered_percent, progress

RATE = 150
WARM_UP_S = 2.0

ILL = (("hang", {}, "packets-0-a"),
       ("error", {}, "packets-1-a"),
       ("straggle", {"factor": 40}, "packets-2-a"),
       ("bad_json", {}, "packets-3-a"),
       ("cut_body", {}, "packets-4-a"))
WELL = ("packets-5-a", "packets-6-b", "packets-7-c")


def plant(fleet):
    for fault, members, name in ILL:
        fleet.fault("lie_health", {"state": "ready"}, name=name)
        fleet.fault("lie_load", {"in_flight": 0}, name=name)
        fleet.fault(fault, members, name=name)
    for name in WELL:
        fleet.fault("lie_health", {"state": "draining"}, name=name)
        fleet.fault("lie_load", {"in_flight": 1000}, name=name)


def well_share(stats):
    """Requests that the slandered servers got, relative to the others of
    their shards; the smallest ratio."""
    received = {row["name"]: row["received"] for row in stats}
    ratios = []
    for name in WELL:
        prefix = name[:-1]
        others = [received[prefix + letter] for letter in "abc"
                  if prefix + letter != name]
        ratios.append(received[name] * len(others) / max(1, sum(others)))
    return min(ratios)


def run(options):
    result = Result()
    with Fleet(options, median_ms=5.0) as fleet:
        plant(fleet)
        progress("5 servers fail under good reports, 3 serve under bad ones")
        fleet.run_load(f"{RATE}:{WARM_UP_S}")
        fleet.backend_process.reset()
        report = fleet.run_load(f"{RATE}:{options.seconds}")
        share = well_share(fleet.stats())
    total = report["total"]
    result.figure("coverage_percent", covered_percent(total), "percent", 99.9,
                  "higher")
    result.figure("well_server_share_ratio", share, "ratio", 0.5, "higher")
    result.figure("extra_load_percent", report["extra_load_percent"],
                  "percent")
    result.figure("p99_ms", total["latency_ms"]["p99"], "ms")
    result.figure("wrong_answers", total["wrong_answers"], "count", 0)
    if total["missing"]:
        result.note(f"missing shards: {total['missing']}")
    return result
