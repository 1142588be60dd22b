"""Claims of actions at 3 control instances: rate, and latency of one."""

import json
import os
import subprocess

from common import Deployment, Result, progress
from control_group import KEY, ControlGroup

CLIENTS = 256


def load(group, options, clients, seconds):
    """Runs ClaimClient loops of a process of its own; returns its figures."""
    variables = {**os.environ,
                 "FOXTAIL_CONTROL": ",".join(row["endpoint"]
                                             for row in group.peers()),
                 "FOXTAIL_KEY": KEY, "FOXTAIL_CLIENTS": str(clients),
                 "FOXTAIL_SECONDS": str(seconds)}
    done = subprocess.run(
        [os.path.join(options.build, "test_control"), "--no-skip",
         "--test-case=claims benchmark"], env=variables, check=True,
        capture_output=True, timeout=60)
    line = next(line for line in done.stdout.decode().splitlines()
                if line.startswith("{"))
    return json.loads(line)


def syncs(group):
    """(batches, seconds) that the leader has spent in syncs."""
    leader = group.wait_leader()
    from common import http_get
    values = {}
    for line in http_get(leader.platform, "/metrics").body.decode().splitlines():
        if line.startswith("foxtail_control_"):
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    return (values.get("foxtail_control_sync_seconds_count", 0),
            values.get("foxtail_control_sync_seconds_sum", 0.0))


def run(options):
    result = Result()
    seconds = max(2.0, min(5.0, options.seconds / 3))
    with Deployment(options.build, seed=options.seed) as deployment:
        group = ControlGroup(deployment, 3)
        group.wait_voters(3)
        progress("one client")
        before = syncs(group)
        alone = load(group, options, 1, 2.0)
        after = syncs(group)
        sync_ms = 1000 * (after[1] - before[1]) / max(1, after[0] - before[0])
        progress(f"{CLIENTS} clients")
        many = load(group, options, CLIENTS, seconds)
    result.figure("claims_per_s", many["granted"] / seconds, "claims/s", 5000,
                  "higher")
    result.figure("added_p50_ms", alone["p50_ms"], "ms")
    result.figure("added_p99_ms", alone["p99_ms"], "ms")
    result.figure("sync_mean_ms", sync_ms, "ms")
    result.figure("p50_ms_at_full_rate", many["p50_ms"], "ms")
    result.figure("p99_ms_at_full_rate", many["p99_ms"], "ms")
    result.figure("failed", alone["failed"] + many["failed"], "claims", 0)
    return result
