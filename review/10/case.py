"""A version with two routes of the same host and prefix, the host once written
with a capital, is acknowledged; the requests of one route run at the service of
the other."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness-2"))

import harness as h  # noqa: E402

HOSTS = ["hufi27.example", "Hufi27.example"]
SERVICES = ["kafi81c", "gowu98c"]


def make_route(number):
    route = h.make_route("r-%d" % number, "/goka902/", SERVICES[number])
    route["host"] = HOSTS[number]
    if number == 1 and not h.TROUBLE:
        route["path_prefix"] = "/hiru311/"
    return route


def case(record):
    deployment = h.Deployment(record, entries=2)
    deployment.start()
    backends = [h.Backend(deployment, service, zone, "i-%s-%s" % (service, zone))
                for service in SERVICES for zone in deployment.zones]
    for i, backend in enumerate(backends):
        backend.reports_to = i
        backend.start()
    operator = h.Operator(deployment)
    services = [(service, 52) for service in SERVICES]
    operator.replace(h.make_document(5, [make_route(0)], services))
    deployment.wait_ready()
    time.sleep(2)
    try:
        operator.replace(h.make_document(9, [make_route(0), make_route(1)],
                                         services))
    except h.CouldNotRun as refusal:
        if "refused" in str(refusal):
            return True, "the version was refused"
        raise
    time.sleep(h.BOUNDS["config_apply_ms"] / 1000 + 1)
    sent = {}
    for i in range(40):
        number = i % 2
        identity = h.new_id()
        sent[identity] = number
        headers = [("Host", HOSTS[number])] + h.request_headers(identity)[1:]
        path = make_route(number)["path_prefix"] + "2f"
        status = h.call(deployment.entries[i // 2 % 2].front, "GET", path,
                        headers, timeout=5)[0]
        record("client: %s Host %s %s -> %d"
               % (identity, HOSTS[number], path, status))
    deployment.check_alive()
    wrong = sum(SERVICES[sent[run[1]]] != backend.service
                for backend in backends for run in backend.runs
                if run[1] in sent)
    right = sum(SERVICES[sent[run[1]]] == backend.service
                for backend in backends for run in backend.runs
                if run[1] in sent)
    return wrong == 0, (
        "the version was acknowledged; %d of %d requests ran at the service of "
        "the other route" % (wrong, wrong + right))


if __name__ == "__main__":
    h.main(case, FOLDER)
