"""What callers, operators and backend servers saw, and the promises that it is
checked against. Pure: times are seconds of one clock, histories may be written
by hand, as the tests of the checks do."""

from dataclasses import dataclass, field
from typing import Optional

import wire

NOT_RUN_STATUSES = (408, 421, 429, 503)
RECORD_BYTES = 16


@dataclass
class Request:
    id: str
    route: str  # "all", "one", "once" or "which"
    entry: str
    sent_at: float
    ended_at: Optional[float] = None
    status: Optional[int] = None  # None: no whole answer
    stamps: list = field(default_factory=list)
    missing: int = 0
    body: bytes = b""
    gave_up: bool = False  # the caller left first


@dataclass
class Run:
    at: float
    request: str
    service: str
    server: str
    stamp: str
    body: bytes = b""
    is_refused: bool = False  # the server said that it has not run


@dataclass
class Order:
    version: int
    sent_at: float
    acked_at: Optional[float] = None
    refused: Optional[int] = None  # status of a refusal


@dataclass
class Read:
    sent_at: float
    version: int
    is_last: bool = False


@dataclass
class Span:
    """Something that happened to an instance or to all ("*")."""
    what: str  # "trouble" or "stop"
    who: str
    begin: float
    end: float


@dataclass
class History:
    requests: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    reads: list = field(default_factory=list)
    drains: dict = field(default_factory=dict)  # server: acknowledged at
    spans: list = field(default_factory=list)
    starts: dict = field(default_factory=dict)  # entry: times of its starts
    calm_from: float = 0.0  # no fault from here on

    def is_troubled(self, who, begin, end, what="trouble"):
        return any(span.what == what and span.who in (who, "*") and
                   span.begin <= end and begin <= span.end + wire.CONTACT_S
                   for span in self.spans)

    def runs_of(self):
        by_request = {}
        for run in self.runs:
            by_request.setdefault(run.request, []).append(run)
        return by_request


def greatest(bodies, count):
    records = [body[i:i + RECORD_BYTES] for body in bodies
               for i in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)]
    return b"".join(sorted(records, reverse=True)[:count])


def whole_answers(history):
    """No mixed or foreign answer, true coverage."""
    runs = {run.stamp: run for run in history.runs if not run.is_refused}
    faults = []
    for request in history.requests:
        if request.status != 200:
            continue
        parts = [runs.get(stamp) for stamp in request.stamps]
        if not parts or any(run is None or run.request != request.id
                            for run in parts):
            faults.append(f"{request.id}: a part of another request")
        elif request.route != "all":
            if len(parts) != 1 or parts[0].body != request.body:
                faults.append(f"{request.id}: another body than the server's")
        else:
            services = {run.service for run in parts}
            sets = [set(shards) for shards in wire.SHARDS.values()
                    if services <= set(shards)]
            if len(services) != len(parts) or not sets:
                faults.append(f"{request.id}: parts {sorted(services)} are not "
                              "of one version")
            elif len(parts) + request.missing != len(sets[0]):
                faults.append(f"{request.id}: {len(parts)} parts and "
                              f"{request.missing} missing of {len(sets[0])}")
            elif len(parts) / len(sets[0]) < wire.LEAST_SHARE:
                faults.append(f"{request.id}: a success from {len(parts)} parts")
            elif request.body != greatest([run.body for run in parts],
                                          wire.TOP_RECORDS):
                faults.append(f"{request.id}: not the greatest records")
    return faults


def at_most_once(history):
    counts = {}
    for run in history.runs:
        if run.service == "once" and not run.is_refused:
            counts[run.request] = counts.get(run.request, 0) + 1
    return [f"{request}: ran {count} times"
            for request, count in counts.items() if count > 1]


def not_run_is_true(history):
    runs = history.runs_of()
    return [f"{request.id}: {request.status}, and it ran"
            for request in history.requests
            if request.route == "once" and request.status in NOT_RUN_STATUSES
            and any(not run.is_refused for run in runs.get(request.id, []))]


def budgets_kept(history):
    """Second attempts for each service in each sliding window."""
    by_service = {}
    for run in sorted(history.runs, key=lambda run: run.at):
        by_service.setdefault(run.service, []).append(run)
    faults = []
    window = wire.BUDGET_WINDOW_S
    for service, runs in by_service.items():
        firsts, extras = [], []
        seen = set()
        for run in runs:
            (extras if run.request in seen else firsts).append(run.at)
            seen.add(run.request)
        for i, end in enumerate(extras):
            count = sum(1 for at in extras[:i + 1] if at > end - window)
            requests = max(
                sum(1 for at in firsts if end - window - back < at <= end - back)
                for back in (0, window / 2, window))
            if count > wire.BUDGET_RATIO * requests + wire.BUDGET_SLACK:
                faults.append(f"{service}: {count} extra attempts for "
                              f"{requests} requests in {window} s")
                break
    return faults


def orders_kept(history):
    """No acknowledged order lost, refused when sent again, or read stale."""
    faults = []
    acked = [order for order in history.orders if order.acked_at is not None]
    for order in history.orders:
        if order.refused is not None:
            faults.append(f"version {order.version}: refused with "
                          f"{order.refused}")
    for read in history.reads:
        due = max((order.version for order in acked if order.acked_at +
                   (0 if read.is_last else wire.APPLY_S) <= read.sent_at),
                  default=0)
        if read.version < due:
            faults.append(f"read version {read.version} at {read.sent_at:.2f} "
                          f"when {due} was acknowledged")
        if all(order.version != read.version for order in history.orders):
            faults.append(f"read version {read.version}, which nobody sent")
    return faults


def orders_in_force(history):
    """Routes follow an acknowledged order in time."""
    acked = sorted((order.acked_at, order.version) for order in history.orders
                   if order.acked_at is not None)
    runs = history.runs_of()
    faults = []
    for request in history.requests:
        if request.route != "which":
            continue
        due = max((version for at, version in acked
                   if at + wire.APPLY_S < request.sent_at), default=0)
        allowed = {wire.MARKERS[order.version % 2] for order in history.orders
                   if order.version >= due and order.sent_at <= request.sent_at
                   + wire.TIMEOUT_S}
        for run in runs.get(request.id, []):
            if (run.service not in allowed and not run.is_refused and
                    not history.is_troubled(request.entry, request.sent_at -
                                            wire.APPLY_S, run.at)):
                faults.append(f"{request.id}: ran at {run.service}, version "
                              f"{due} was due")
    return faults


def starts_keep_orders(history):
    """An instance that has just started, whatever else did, handles no request
    by a version older than the newest acknowledged one. Without a leader it
    may, after a wait."""
    acked = [(order.acked_at, order.version) for order in history.orders
             if order.acked_at is not None]
    runs = history.runs_of()
    faults = []
    for request in history.requests:
        started = max((at for at in history.starts.get(request.entry, [])
                       if at < request.sent_at), default=0.0)
        due = max((version for at, version in acked if at < started), default=0)
        allowed = {wire.MARKERS[order.version % 2] for order in history.orders
                   if order.version >= due}
        faults += [f"{request.id}: ran at {run.service} {run.at - started:.2f} "
                   f"s after the start, version {due} was due"
                   for run in runs.get(request.id, [])
                   if request.route == "which" and not run.is_refused and
                   run.service not in allowed and
                   run.at < started + wire.UNCONFIRMED_S]
    return faults


def drained_left_alone(history):
    entries = {request.id: request for request in history.requests}
    faults = []
    for run in history.runs:
        acked = history.drains.get(run.server)
        request = entries.get(run.request)
        if (acked is None or run.is_refused or request is None or
                run.at <= acked + wire.DRAIN_S):
            continue
        if not history.is_troubled(request.entry, request.sent_at, run.at):
            faults.append(f"{run.request}: ran at {run.server} "
                          f"{run.at - acked:.2f} s after it was draining")
    return faults


def stops_cut_nothing(history):
    runs = history.runs_of()
    return [f"{request.id}: cut by the planned stop of {request.entry}"
            for request in history.requests
            if request.status is None and not request.gave_up and
            runs.get(request.id) and
            any(span.what == "stop" and span.who == request.entry and
                span.begin <= request.ended_at <= span.end
                for span in history.spans) and
            not history.is_troubled(request.entry, request.sent_at,
                                    request.ended_at)]


def answers_in_time(history):
    """A final answer half a second after the route's time at the latest."""
    limit = wire.TIMEOUT_S + 0.5
    return [f"{request.id}: no final answer after "
            f"{request.ended_at - request.sent_at:.2f} s"
            for request in history.requests
            if request.ended_at is not None and
            request.ended_at - request.sent_at > limit and
            not history.is_troubled(request.entry, request.sent_at,
                                    request.ended_at)]


def service_is_back(history):
    late = [request for request in history.requests
            if request.sent_at > history.calm_from + wire.RECOVERY_S]
    served = sum(1 for request in late if request.status == 200)
    if late and served * 4 < len(late):
        return [f"{served} of {len(late)} requests served "
                f"{wire.RECOVERY_S} s after the last fault"]
    return []


PROMISES = {check.__name__: check for check in (
    whole_answers, at_most_once, not_run_is_true, budgets_kept, orders_kept,
    orders_in_force, starts_keep_orders, drained_left_alone, stops_cut_nothing, answers_in_time,
    service_is_back)}
