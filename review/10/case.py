"""A backend that has started again under its old id drains, is acknowledged, and
an entry goes on sending requests to it."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness-2"))

import harness as h  # noqa: E402

SERVICE = "kafi81c"
FREEZE_AT_S = 29
BACKENDS = 8          # one of them crashes: a share of 0.125


class Backend(h.Backend):
    """Works for 30 ms, so that the requests spread over the backends."""

    def run(self, request, body):
        time.sleep(0.03)
        return super().run(request, body)


def traffic(deployment, record, end, statuses):
    turn = 0
    while not end.wait(0.02):
        entry = deployment.entries[turn % len(deployment.entries)]
        turn += 1
        identity = h.new_id()
        try:
            status = h.call(entry.front, "GET", "/goka902/2f",
                            h.request_headers(identity), timeout=4)[0]
        except h.CALL_FAILURES as error:
            status = repr(error)
        statuses.append(status)
        record("client <- %s %s %s" % (entry.name, identity, status))


def case(record):
    # front-1 and core-1 are in the same zone.
    deployment = h.Deployment(record, entries=1)
    deployment.start()
    near, first = deployment.controls[:2]
    zones = list(deployment.zones)
    backends = [Backend(deployment, SERVICE, zones[0], "i-%d" % i, slots=2)
                for i in range(BACKENDS)]
    for backend in backends:
        backend.reports_to = 0
        backend.start()
    operator = h.Operator(deployment)
    operator.replace(h.make_document(
        5, [h.make_route("r-xmibw6k", "/goka902/", SERVICE)], [(SERVICE, 52)]))
    deployment.wait_ready()
    end, statuses = threading.Event(), []
    for _ in range(14):
        threading.Thread(target=traffic,
                         args=(deployment, record, end, statuses),
                         daemon=True).start()
    subject = backends[0]
    # The entry asks for renewals every 30 s; the freeze holds one such time.
    time.sleep(FREEZE_AT_S - record.now())
    if h.TROUBLE:
        near.signal(signal.SIGSTOP)
        record("%s is frozen" % near.name)
    time.sleep(0.2)
    subject.crash()
    time.sleep(FREEZE_AT_S + 2.5 - record.now())
    # The same id, a new process; it reports to the next control machine.
    subject.reports_to = 1
    subject.start()
    time.sleep(FREEZE_AT_S + 3.9 - record.now())
    if h.TROUBLE:
        first.process.kill()
        first.process.wait()
        record("%s is killed" % first.name)
    time.sleep(0.1)
    if h.TROUBLE:
        near.signal(signal.SIGCONT)
        record("%s wakes" % near.name)
    time.sleep(FREEZE_AT_S + 7.4 - record.now())
    if h.TROUBLE:
        first.start()
        record("%s is started again" % first.name)
    back = record.now()
    # recovery_s after all are back; contact_ms is shorter.
    time.sleep(back + h.BOUNDS["recovery_s"] + 0.5 - record.now())
    subject.drain()
    h.wait_until(lambda: subject.drain_acknowledged_at, 10, "no acknowledgement")
    acknowledged = subject.drain_acknowledged_at
    late_from = acknowledged + h.BOUNDS["drain_ms"] / 1000
    time.sleep(late_from + 4 - record.now())
    end.set()
    deployment.check_alive()
    late = [run for run in subject.runs if run[0] > late_from]
    subject.deregister()
    return not late, ("%d requests reached the backend later than drain_ms after "
                      "its draining was acknowledged (%d runs)"
                      % (len(late), len(subject.runs)))


if __name__ == "__main__":
    h.main(case, FOLDER)
