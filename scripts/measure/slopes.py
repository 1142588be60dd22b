"""Control work per instance against instances, zones, servers and changes."""

from common import Result, progress
from standin_fleet import least_squares, run_fleets

FEATURES = ("base", "instances_in_zone", "other_zones", "servers_known",
            "renewals_per_s", "renewal_frames_per_s", "changes_per_s",
            "document_bytes_per_s")
BYTES = ("base", "instances_in_zone", "other_zones", "renewals_per_s",
         "renewal_frames_per_s", "changes_per_s", "document_bytes_per_s")
CORE = ("base", "instances_in_zone", "other_zones", "servers_known",
        "renewals_per_s", "changes_per_s")
MEMORY = ("base", "instances_in_zone", "other_zones", "servers_known")
OUTPUTS = (("sent_bytes_per_s", "bytes/s", BYTES),
           ("received_bytes_per_s", "bytes/s", BYTES),
           ("core_percent", "percent", CORE), ("memory_kb", "KB", MEMORY))
# Rates far from those at size would bend the slopes of bytes.
MOST_RENEWALS_PER_S = 100

OWNERS = 2
FLUSHES_PER_S = 4


def renewals_of(heard, zone):
    """Renewals and their frames, sent to owners by an instance that hears so
    many servers a second in a zone of so many instances."""
    others = 1 - 1 / zone
    owners = min(OWNERS, zone)
    missed = (1 - owners / zone) ** (heard / FLUSHES_PER_S)
    return (heard * owners * others,
            FLUSHES_PER_S * zone * (1 - missed) * others)


# The size that docs/CAPACITY.md works out: 3,700 instances in 21 zones, 16,000
# servers, each changed 24 times a day, 15,000 documents a day of 4 KB.
ZONE = 3700 / 21
AT_SIZE = {"base": 1, "instances_in_zone": ZONE, "other_zones": 20,
           "servers_known": 16000,
           "renewals_per_s": renewals_of(16000 / 3700, ZONE)[0],
           "renewal_frames_per_s": renewals_of(16000 / 3700, ZONE)[1],
           "changes_per_s": 16000 * 24 / 86400,
           "document_bytes_per_s": 15000 / 86400 * 4096}
BUDGETS = {"sent_bytes_per_s": ("control_bytes_per_s_at_size", 4096),
           "core_percent": ("control_core_percent_at_size", 2.1),
           "memory_kb": ("control_memory_mb_at_size", 64 * 1024)}


def runs(seconds):
    base = {"zones": 1, "instances_per_zone": 8, "warm_up_ms": 9000,
            "time_ms": int(max(3.0, seconds / 2) * 1000), "workers": 2}
    changes = (
        [{"instances_per_zone": count} for count in (8, 32, 64)] +
        [{"zones": count, "instances_per_zone": 4} for count in (3, 6, 12)] +
        [{"zones": 2, "servers": count} for count in (64, 512, 2048)] +
        [{"zones": 2, "instances_per_zone": 2, "servers": 512},
         {"zones": 1, "instances_per_zone": 32, "servers": 128},
         {"zones": 1, "instances_per_zone": 32, "servers": 1024},
         {"zones": 1, "instances_per_zone": 4, "servers": 16000}] +
        [{"zones": 2, "servers": 256, "changes_per_s": count}
         for count in (5, 20, 40)] +
        [{"zones": 2, "documents_per_s": count} for count in (0.5, 1, 2)])
    return [{**base, **change} for change in changes]


def features_of(row):
    instances = row["zones"] * row["instances_per_zone"]
    servers = row.get("servers", 0)
    documents = row.get("documents_per_s", 0)
    return [1, row["instances_per_zone"], row["zones"] - 1, servers,
            *renewals_of(servers / instances, row["instances_per_zone"]),
            row.get("changes_per_s", 0), documents * 4096]


def fit(features, reports, output, used):
    """Slopes with the least sum of squared relative errors."""
    columns = [FEATURES.index(name) for name in used]
    renewals = FEATURES.index("renewals_per_s")
    rows = [([row[column] / report[output] for column in columns], 1.0)
            for row, report in zip(features, reports)
            if output not in ("sent_bytes_per_s", "received_bytes_per_s") or
            row[renewals] <= MOST_RENEWALS_PER_S]
    return least_squares([row for row, _ in rows], [one for _, one in rows])


def run(options):
    result = Result()
    rows = runs(options.seconds)
    progress(f"{len(rows)} fleets")
    reports = run_fleets(options.build, rows, at_once=5)
    for row, report in zip(rows, reports):
        progress(f"{row} -> {report}")
    features = [features_of(row) for row in rows]
    for output, unit, used in OUTPUTS:
        slopes = fit(features, reports, output, used)
        for name, slope in zip(used, slopes):
            result.figure(f"{output}_per_{name}", round(slope, 7), unit)
        at_size = sum(AT_SIZE[name] * slope
                      for name, slope in zip(used, slopes))
        if output in BUDGETS:
            name, budget = BUDGETS[output]
            is_memory = output == "memory_kb"
            result.figure(name, at_size / (1024 if is_memory else 1),
                          "MB" if is_memory else unit,
                          budget / (1024 if is_memory else 1))
    tables = [(row.get("servers", 0), report["table_ms"])
              for row, report in zip(rows, reports)]
    for servers in (512, 2048, 16000):
        result.figure(f"table_ms_of_{servers}_servers",
                      max(time for count, time in tables if count == servers),
                      "ms")
    result.figure("fleets_settled",
                  sum(report["is_settled"] for report in reports), "fleets",
                  len(reports), "higher")
    return result
