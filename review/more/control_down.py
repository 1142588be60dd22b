"""A control machine that was down for half a minute is never asked again: what
backends tell it afterwards is acknowledged and reaches nobody."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from standins import (  # noqa: E402
    BOUNDS, BROKEN, CONTROL_PORT, HELD, TROUBLE, Backend, CannotRun,
    Deployment, ask_entry, document, replace_config, request_id, run_case,
)

HOST, PATH = "desk.example", "/roster/2f"
SERVICE = "crewboard"
BACKENDS = 4
CLIENTS = 8
CLIENT_PAUSE_S = 0.2
DOWN_S = 33.0
# "It continues serving for drain_ms after the acknowledgement and a little
# longer (at times many seconds)": 4 s and 7 s more.
SERVES_ON_S = BOUNDS["drain_ms"] / 1000 + 7.0


class Traffic:
    """Clients that send safe requests, each on a new connection."""

    def __init__(self, record, entries):
        self.record = record
        self.entries = entries
        self.sent = {}  # request id -> time of its sending
        self.ends = []  # (time of its sending, status)
        self.stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(i,), daemon=True)
            for i in range(CLIENTS)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()

    def _run(self, number):
        entry = self.entries[number % len(self.entries)]
        while not self.stopped.wait(CLIENT_PAUSE_S):
            identity = request_id()
            at = self.record.now()
            self.sent[identity] = at
            status, _ = ask_entry(entry, HOST, PATH, identity, 5000)
            self.ends.append((at, status))


def case(record):
    deployment = Deployment(record, controls=3, entries=2)
    try:
        return play(record, deployment)
    finally:
        deployment.close()


def play(record, deployment):
    arrivals = []  # (time, backend, request id)

    def on_run(backend, request):
        arrivals.append(
            (
                record.now(),
                backend,
                request["headers"]["foxtailthread-request-id"],
            )
        )

    deployment.start_all()
    route = {
        "name": "roster-peek",
        "host": HOST,
        "path_prefix": "/roster/",
        "kind": "safe",
        "timeout_ms": 5000,
        "objective_ms": 300,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 2,
    }
    replace_config(deployment, document(7, [route], [(SERVICE, 96)]))
    backends = [
        Backend(deployment, SERVICE, slots=6, work_s=0.02, on_run=on_run)
        for _ in range(BACKENDS)
    ]
    deployment.wait_ready()
    traffic = Traffic(record, deployment.entries)
    traffic.start()
    control = deployment.controls[1]
    if TROUBLE:
        time.sleep(2.0)
        control.kill()
        record.write(f"node_kill (power): {control.name} is down")
        time.sleep(DOWN_S)
        control.start(bootstrap=False)
    # All machines are in touch, contact_ms after the last start.
    time.sleep(BOUNDS["contact_ms"] / 1000 + 3.0)
    used = [backend for _, backend, _ in arrivals]
    if not used:
        raise CannotRun("no backend was used")
    leaving = max(backends, key=used.count)
    host = leaving.deregister((control.host, CONTROL_PORT))
    if host != control.host:
        raise CannotRun("another node acknowledged the goodbye")
    acknowledged_at = record.write(
        f"Instances.Deregister/{leaving.id}: 200 from {host}"
    )
    time.sleep(max(0, acknowledged_at + SERVES_ON_S - record.now()))
    record.write(f"{leaving.id} exits")
    exit_at = record.now()
    leaving.stop()
    time.sleep(2.0)
    traffic.stopped.set()
    time.sleep(0.5)

    drained_at = acknowledged_at + BOUNDS["drain_ms"] / 1000
    first = drained_at
    late = [
        (at, identity)
        for at, backend, identity in arrivals
        if backend is leaving and at > first and traffic.sent[identity] > first
    ]
    since = [a for a in arrivals if a[1] is leaving and a[0] > drained_at]
    record.write(
        f"requests that reached {leaving.id} later than drain_ms after the "
        f"acknowledgement: {len(since)}; of these sent by clients "
        f"later than that: {len(late)}"
    )
    for at, identity in late[:20]:
        record.write(
            f"  {identity}: sent {traffic.sent[identity]:.3f} s, "
            f"reached it {at:.3f} s, "
            f"{at - acknowledged_at:.3f} s after the acknowledgement"
        )
    bad = [end for end in traffic.ends if end[1] != 200]
    record.write(
        f"answers: {len(traffic.ends)}, other than 200: {len(bad)}, "
        f"of these after the exit at {exit_at:.3f} s: "
        f"{len([end for end in bad if end[0] > exit_at - 1])}"
    )
    return BROKEN if late else HELD


run_case(FOLDER, case)
