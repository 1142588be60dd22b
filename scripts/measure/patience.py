"""One catalogue crawls: a patient service waits, a prompt one answers in time."""

from common import Fleet, Result, group, progress, query_service

RATE = 40
CRAWL_MS = 600.0
SOFT_DEADLINE_MS = 130
FAST_SHARDS = 20
SLOW_SHARDS = 5

# Variety lookups of seed packets must be whole; a mirror must be quick.
PATIENT = "agronomy-desk"
PROMPT = "mirror-display"


def services():
    catalogues = ["packets", "field-notes"]
    return [
        query_service(PATIENT, catalogues, patience="complete",
                      deadline_ms=3000, hedge_budget_percent=4),
        query_service(PROMPT, catalogues, patience="prompt", deadline_ms=3000,
                      soft_deadline_ms=SOFT_DEADLINE_MS),
    ]


def groups():
    rows = []
    for service in (PATIENT, PROMPT):
        fast = {"kind": "lognormal", "median_ms": 5, "sigma": 0.3}
        rows.append(group("packets", service, shards=FAST_SHARDS,
                          name=f"packets-{service}", service_time=fast,
                          connect_ms=6, slots=3))
        rows.append(group("field-notes", service, shards=SLOW_SHARDS,
                          name=f"notes-{service}", service_time=fast,
                          connect_ms=6, slots=24))
    return rows


def run(options):
    result = Result()
    with Fleet(options, services=services(), groups=groups()) as fleet:
        fleet.run_load(f"{2 * RATE}:2", services=[PATIENT, PROMPT])
        progress("field-notes crawls")
        fleet.fault("straggle", {"factor": CRAWL_MS / 5},
                    catalogue="field-notes")
        patient = fleet.run_load(f"{RATE}:{options.seconds / 2}",
                                 services=[PATIENT])["total"]
        prompt = fleet.run_load(f"{RATE}:{options.seconds / 2}",
                                services=[PROMPT])["total"]
    result.figure("coverage_patient_percent", patient["coverage_percent"],
                  "percent", 100, "higher")
    result.figure("prompt_p99_over_soft_deadline_ratio",
                  prompt["latency_ms"]["p99"] / SOFT_DEADLINE_MS, "ratio", 1.1)
    result.figure("false_coverage",
                  patient["false_coverage"] + prompt["false_coverage"],
                  "count", 0)
    result.figure("patient_p99_ms", patient["latency_ms"]["p99"], "ms")
    result.figure("prompt_p99_ms", prompt["latency_ms"]["p99"], "ms")
    result.figure("coverage_prompt_percent", prompt["coverage_percent"],
                  "percent")
    return result
