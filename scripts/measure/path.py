"""Time that an entry instance adds, and its processor time a request."""

from common import Fleet, Result, progress

SHARDS = (5, 25, 87)
REPLICAS = 3
WORKERS = 2
# Backend requests/s of one entry instance, at which the cost is taken.
BACKEND_REQUESTS_PER_S = 15000
SERVICE_MS = 2.0
TARGET_PER_CORE = 40000
# Longer than a grown share of connections waits before it is opened.
WARM_UP_S = 5.0
SLOTS = 12


def measure(options, shards, requests_per_s, seconds):
    """Returns the load tool's report and the entry's CPU seconds."""
    service_time = {"kind": "fixed", "median_ms": SERVICE_MS}
    with Fleet(options, entries=1, shards=shards, replicas=REPLICAS,
               service_time=service_time, slots=SLOTS, connections=SLOTS,
               entry_members={"workers": WORKERS}) as fleet:
        rate = requests_per_s / shards
        fleet.run_load(f"{rate}:{WARM_UP_S}")
        entry = fleet.entries[0]
        before = entry.cpu_seconds()
        report = fleet.run_load(f"{rate}:{seconds}")
        return report, entry.cpu_seconds() - before


def cpu_us(report, cpu_s):
    return 1e6 * cpu_s / report["backend_requests"]


def run(options):
    result = Result()
    seconds = options.seconds / 3
    costs = {}
    for shards in SHARDS:
        progress(f"{shards} shards")
        report, cpu_s = measure(options, shards, BACKEND_REQUESTS_PER_S,
                                seconds)
        costs[shards] = cpu_us(report, cpu_s)
    # Half of what its workers carry at the target cost.
    half = WORKERS * 0.5 * TARGET_PER_CORE
    progress(f"half load: {half:.0f} backend requests/s")
    report, cpu_s = measure(options, 25, half, seconds)
    overhead = report["total"]["overhead_ms"]
    result.figure("entry_overhead_p99_ms", overhead["p99"], "ms", 1)
    result.figure("entry_overhead_p50_ms", overhead["p50"], "ms")
    result.figure("backend_requests_per_core_s", 1e6 / cpu_us(report, cpu_s),
                  "requests/s", TARGET_PER_CORE, "higher")
    for shards in SHARDS:
        result.figure(f"cpu_us_per_backend_request_at_{shards}_shards",
                      costs[shards], "us")
    result.figure("coverage_percent", report["total"]["coverage_percent"],
                  "percent")
    result.figure("cores_used", cpu_s / seconds, "cores")
    result.note("overhead includes the caller's hop over loopback and the "
                "merge; log lines and all decisions are on")
    return result
