"""Entry instances join, leave and die; no server goes over its limit."""

import time

from common import Fleet, Result, at, covered_percent, load_report, progress

RATE = 150
ENTRIES = 6
JOINING = 3


def disturb(fleet, start):
    """Three join, one leaves, one dies and returns."""
    at(2.0, start)
    progress("three entry instances join")
    for index in range(ENTRIES, ENTRIES + JOINING):
        fleet.add_entry(index)
    at(6.0, start)
    progress("one leaves, one dies")
    fleet.entries[1].terminate()
    fleet.entries[2].kill()
    at(8.0, start)
    progress("the dead one returns")
    fleet.entries[2].start()


def run(options):
    result = Result()
    length = max(12.0, options.seconds)
    with Fleet(options, entries=ENTRIES, spare_entries=JOINING) as fleet:
        load = fleet.start_load_at(f"{RATE}:{length}")
        disturb(fleet, time.monotonic())
        report = load_report(load)
        stats = fleet.stats()
    received = sum(row["received"] for row in stats)
    connects = sum(row["request_path_connects"] for row in stats)
    total = report["total"]
    result.figure("over_limit", sum(row["over_limit"] for row in stats),
                  "connections", 0)
    result.figure("request_path_connects_percent", 100 * connects / received,
                  "percent", 1)
    result.figure("connections_peak",
                  max(row["connections_peak"] for row in stats), "connections")
    result.figure("connections_opened",
                  sum(row["connections_opened"] for row in stats),
                  "connections")
    result.figure("coverage_percent", covered_percent(total), "percent")
    if not fleet.is_shared:
        result.note("this build's entry instances do not know each other: "
                    "each has a fixed part of the connections")
    return result
