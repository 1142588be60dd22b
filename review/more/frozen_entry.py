"""An entry machine that was frozen for half a minute never hears of another
configuration, and is ready all the while."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from standins import (  # noqa: E402
    BOUNDS, BROKEN, HELD, READY_PORT, TROUBLE, Backend, CannotRun, Deployment,
    ask_entry, call, document, replace_config, request_id, run_case,
)

HOST, PATH = "desk.example", "/roster/2f"
OLD, NEW = "crewboard", "truckcall"
FROZEN_S = 33.0
WATCHED_S = 20.0


def case(record):
    deployment = Deployment(record, controls=3, entries=2)
    try:
        return play(record, deployment)
    finally:
        deployment.close()


def play(record, deployment):
    runs = {}  # request id -> service

    def on_run(backend, request):
        runs[request["headers"]["foxtailthread-request-id"]] = backend.service

    def config(version, service):
        route = {
            "name": "roster-peek",
            "host": HOST,
            "path_prefix": "/roster/",
            "kind": "safe",
            "timeout_ms": 5000,
            "objective_ms": 300,
            "priority": 2,
            "service": service,
            "max_attempts": 2,
        }
        return document(version, [route], [(OLD, 96), (NEW, 96)])

    deployment.start_all()
    replace_config(deployment, config(7, OLD))
    for service in (OLD, NEW):
        for _ in range(2):
            Backend(deployment, service, slots=2, work_s=0.02, on_run=on_run)
    deployment.wait_ready()
    time.sleep(3.0)
    frozen = deployment.entries[0]
    if TROUBLE:
        record.write(f"node_freeze: {frozen.name} stands still")
        frozen.signal(signal.SIGSTOP)
        time.sleep(FROZEN_S)
        frozen.signal(signal.SIGCONT)
        record.write(f"node_freeze: {frozen.name} goes on")
    # All machines are in touch, contact_ms after the end of the freeze.
    time.sleep(BOUNDS["contact_ms"] / 1000 + 3.0)
    _, acknowledged_at = replace_config(deployment, config(9, NEW))
    due_at = acknowledged_at + BOUNDS["config_apply_ms"] / 1000
    time.sleep(max(0.0, due_at + 0.2 - record.now()))
    stale = {entry.name: 0 for entry in deployment.entries}
    fresh = dict(stale)
    ready = dict(stale)
    last = dict(stale)
    end = record.now() + WATCHED_S
    while record.now() < end:
        for entry in deployment.entries:
            identity = request_id()
            at = record.now()
            status, _ = ask_entry(entry, HOST, PATH, identity, 5000)
            service = runs.get(identity)
            if service == OLD:
                stale[entry.name] += 1
                last[entry.name] = at
            elif service == NEW:
                fresh[entry.name] += 1
            if call((entry.host, READY_PORT), "GET", "/ready")[0] == 200:
                ready[entry.name] += 1
        time.sleep(0.25)
    for entry in deployment.entries:
        name = entry.name
        record.write(
            f"{name}: requests sent later than config_apply_ms after the "
            f"acknowledgement of version 9, run by the service of version 7: "
            f"{stale[name]} (the last was sent "
            f"{last[name] - acknowledged_at if stale[name] else 0:.1f} s after "
            f"it), by that of version 9: {fresh[name]}; "
            f"answers 200 to /ready: {ready[name]}"
        )
    if not any(stale.values()) and not any(fresh.values()):
        raise CannotRun("no request was run")
    return BROKEN if any(stale.values()) else HELD


run_case(FOLDER, case)
