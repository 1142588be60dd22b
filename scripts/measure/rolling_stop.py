"""Every entry instance stopped in turn, 50 stops, under load."""

import time

from common import (Fleet, Result, failed_share_percent, load_report, progress,
                    wait_until)

RATE = 150
STOPS = 50
ENTRIES = 6
DRAIN_MS = 400
MOST_S = 52.0


def stop_and_start(entry):
    """One graceful stop; returns the exit status."""
    entry.terminate()
    status = entry.wait(15)
    entry.start()
    wait_until(entry.is_ready, 10, entry.name + " ready again")
    return status


def run(options):
    result = Result()
    with Fleet(options, entries=ENTRIES,
               entry_members={"drain_ms": DRAIN_MS}) as fleet:
        load = fleet.start_load_at(f"{RATE}:{MOST_S + 1}")
        start = time.monotonic()
        stops = 0
        unclean = 0
        while stops < STOPS and time.monotonic() - start < MOST_S - 2:
            status = stop_and_start(fleet.entries[stops % ENTRIES])
            unclean += 1 if status != 0 else 0
            stops += 1
            if stops % 10 == 0:
                progress(f"{stops} stops in {time.monotonic() - start:.0f} s")
        report = load_report(load)
    total = report["total"]
    outcomes = total["outcomes"]
    result.figure("requests_cut",
                  outcomes["cut"] + outcomes["timeout"] +
                  outcomes["unreachable"], "requests", 0)
    result.figure("stops", stops, "stops", STOPS, "higher")
    result.figure("requests", total["sent"], "requests")
    result.figure("unclean_exits", unclean, "stops", 0)
    result.figure("failed_percent", failed_share_percent(total), "percent")
    result.figure("coverage_percent", total["coverage_percent"], "percent")
    result.figure("p99_ms", total["latency_ms"]["p99"], "ms")
    if failed_share_percent(total) > 0:
        result.note(f"outcomes: {outcomes}")
    return result
