"""Concurrent clients of the document under random faults; history checked."""

from common import Deployment, Result, progress
from control_test import run_history

RUNS = 2


def run(options):
    result = Result()
    operations, faults = 0, []
    for number in range(RUNS):
        seed = options.seed + number
        with Deployment(options.build, seed=seed) as deployment:
            done, found = run_history(deployment, seed, options.seconds)
        progress(f"seed {seed}: {len(done)} operations, {len(found)} violations")
        operations += len(done)
        faults += [f"seed {seed}: {fault}" for fault in found]
    result.figure("runs", RUNS, "runs")
    result.figure("operations", operations, "operations")
    result.figure("violations", len(faults), "violations", 0)
    for fault in faults[:5]:
        result.note(fault)
    return result
