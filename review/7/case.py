"""A control machine that was frozen carries out an order of the operator that
the operator has long given up, and takes back an acknowledged evacuation."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness-2"))

import harness as h  # noqa: E402

# Of demands/: zones, bounds and contracts that an evacuation needs.
ZONES = {"gla-north": "glasgow", "dun-docks": "dundee", "inv-ness": "inverness"}
BOUNDS = dict(h.BOUNDS, contact_ms=6000, ack_ms=8000, catch_up_s=6,
              retry_budget_slack=204, evacuate_ms=5000, warmup_overage=1.5,
              warmup_slack=5, recovery_s=15)
ZONE = "dun-docks"
SERVICE = "kafi81c"


def traffic(deployment, record, end, statuses):
    """One client a zone; each request on a connection of its own."""
    turn = 0
    while not end.wait(0.05):
        entry = deployment.entries[turn % len(deployment.entries)]
        turn += 1
        identity = h.new_id()
        try:
            status = h.call(entry.front, "GET", "/goka902/2f",
                            h.request_headers(identity), timeout=4)[0]
        except h.CALL_FAILURES as error:
            status = repr(error)
        record("client <- %s %s" % (identity, status))
        statuses.append(status)


def case(record):
    deployment = h.Deployment(record, entries=2, zones=ZONES, bounds=BOUNDS,
                              contracts=h.CONTRACTS + ["evac"])
    deployment.start()
    backends = [h.Backend(deployment, SERVICE, zone, "i-%s-%d" % (zone, i))
                for zone in ZONES for i in range(2)]
    for i, backend in enumerate(backends):
        backend.reports_to = i
        backend.start()
    operator = h.Operator(deployment)
    operator.replace(h.make_document(
        5, [h.make_route("r-xmibw6k", "/goka902/", SERVICE)], [(SERVICE, 52)]))
    deployment.wait_ready()
    end, statuses = threading.Event(), []
    threading.Thread(target=traffic,
                     args=(deployment, record, end, statuses),
                     daemon=True).start()
    time.sleep(2)
    evacuated = [b for b in backends if b.zone == ZONE]
    if not any(b.runs for b in evacuated):
        raise h.CouldNotRun("the zone was not used before its evacuation")

    operator.order("/Evacuation.Start/" + ZONE)
    time.sleep(BOUNDS["evacuate_ms"] / 1000 + 1)
    # The freeze: one control machine that doesn't lead, so that the others go
    # on at once. It lasts for as long as two orders take, 4 s at most.
    frozen = next(i for i, c in enumerate(deployment.controls)
                  if h.call(c.control, "GET", "/Config.Read")[0] == 307)
    machine = deployment.controls[frozen]
    frozen_at = record.now()
    if h.TROUBLE:
        machine.signal(signal.SIGSTOP)
        time.sleep(0.3)  # until it stands still
        record("%s is frozen" % machine.name)
    operator.order("/Evacuation.Finish/" + ZONE, first=frozen)
    started = operator.order("/Evacuation.Start/" + ZONE, first=frozen + 1)
    record("the second evacuation is acknowledged")
    time.sleep(max(0, frozen_at + 4 - record.now()))
    if h.TROUBLE:
        machine.signal(signal.SIGCONT)
        record("%s wakes after %.1f s" % (machine.name,
                                          record.now() - frozen_at))
    woken_at = record.now()
    # In touch: contact_ms after the machine woke; late: evacuate_ms after the
    # acknowledgement.
    since = max(woken_at + BOUNDS["contact_ms"] / 1000,
                started + BOUNDS["evacuate_ms"] / 1000) + 1
    time.sleep(max(0, since + 6 - record.now()))
    deployment.check_alive()
    end.set()
    late = [run for b in evacuated for run in b.runs if run[0] > since]
    if statuses.count(200) < len(statuses) / 2:
        raise h.CouldNotRun("the traffic was not served")
    return not late, ("%d requests reached backends of the evacuated zone from "
                      "%.1f s after the acknowledgement of the evacuation on, "
                      "which was not taken back" % (len(late), since - started))


if __name__ == "__main__":
    h.main(case, FOLDER)
