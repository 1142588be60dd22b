"""The soak's checks reject histories that break a promise, and a short seeded
soak of the real programs breaks none."""

import argparse
import os
import subprocess
import sys
import unittest

SOAK = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                    "platform", "soak")
sys.path.insert(0, SOAK)

import faults  # noqa: E402
import promises  # noqa: E402
import wire  # noqa: E402
from promises import History, Order, Read, Request, Run, Span  # noqa: E402

SEED = 7
MINUTES = 0.25
BUILD = "build"


def action(status, ran, refused=False):
    request = Request("r-1", "once", "entry-0", 1.0, 1.1, status, ["s-1"])
    runs = [Run(1.05, "r-1", "once", f"i-{i}", f"s-{i + 1}", b"", refused)
            for i in range(ran)]
    return History(requests=[request], runs=runs)


def query(change=None, parity=0, parts=6, missing=0):
    """A whole answer of a query; change(history) breaks it."""
    runs = [Run(1.05, "q-1", service, f"i-{service}", f"s-{service}",
                bytes([i]) * 16)
            for i, service in enumerate(wire.SHARDS[parity][:parts])]
    request = Request("q-1", "all", "entry-0", 1.0, 1.1, 200,
                      [run.stamp for run in runs], missing,
                      promises.greatest([run.body for run in runs],
                                        wire.TOP_RECORDS))
    history = History(requests=[request], runs=runs)
    if change is not None:
        change(history)
    return history


def marked(version_due, run_by, spans=()):
    orders = [Order(2, 0.0, 0.1), Order(version_due, 1.0, 1.1)]
    request = Request("m-1", "which", "entry-0", 9.0, 9.1, 200, ["s-1"])
    return History(requests=[request], orders=orders, spans=list(spans),
                   runs=[Run(9.05, "m-1", run_by, "i-1", "s-1")])


class ChecksTest(unittest.TestCase):
    def accept(self, name, history):
        self.assertEqual(promises.PROMISES[name](history), [])

    def reject(self, name, history):
        self.assertNotEqual(promises.PROMISES[name](history), [])

    def test_whole_answers(self):
        self.accept("whole_answers", query())
        self.accept("whole_answers", query(parts=5, missing=1))
        self.reject("whole_answers", query(parts=5))
        self.reject("whole_answers", query(parts=3, missing=3))

        def foreign(history):
            history.runs[0].request = "q-2"

        def twice(history):
            history.runs[1].service = history.runs[0].service

        def two_versions(history):
            history.runs[0].service = wire.SHARDS[1][0]

        def other_body(history):
            history.requests[0].body = b"\0" * 16

        def refused(history):
            history.runs[0].is_refused = True

        for change in (foreign, twice, two_versions, other_body, refused):
            self.reject("whole_answers", query(change))

    def test_actions(self):
        self.accept("at_most_once", action(200, 1))
        self.reject("at_most_once", action(200, 2))
        self.accept("not_run_is_true", action(503, 0))
        self.accept("not_run_is_true", action(503, 1, refused=True))
        self.accept("not_run_is_true", action(502, 1))
        self.reject("not_run_is_true", action(503, 1))
        self.reject("not_run_is_true", action(429, 1))

    def test_budget(self):
        allowed = wire.BUDGET_SLACK + int(wire.BUDGET_RATIO * 100)

        def history(extras):
            runs = [Run(i * 0.01, f"q-{i}", "one", "i-1", f"a-{i}")
                    for i in range(100)]
            runs += [Run(2 + i * 0.01, f"q-{i}", "one", "i-2", f"b-{i}")
                     for i in range(extras)]
            return History(runs=runs)

        self.accept("budgets_kept", history(allowed))
        self.reject("budgets_kept", history(allowed + 1))

    def test_orders(self):
        acked = [Order(3, 1.0, 1.1), Order(5, 2.0, 2.1)]
        late = 2.1 + wire.APPLY_S + 1
        self.accept("orders_kept", History(orders=acked, reads=[Read(late, 5)]))
        self.reject("orders_kept", History(orders=acked, reads=[Read(late, 3)]))
        self.reject("orders_kept",
                    History(orders=acked, reads=[Read(2.2, 3, True)]))
        self.reject("orders_kept", History(orders=acked, reads=[Read(late, 9)]))
        self.reject("orders_kept", History(orders=[Order(3, 1, 1.1, 409)]))

    def test_routes_follow_orders(self):
        self.accept("orders_in_force", marked(5, wire.MARKERS[1]))
        self.reject("orders_in_force", marked(5, wire.MARKERS[0]))
        self.accept("orders_in_force", marked(5, wire.MARKERS[0], [
            Span("trouble", "entry-0", 7.0, 8.0)]))

    def test_starts_keep_orders(self):
        # Unlike the bound on orders, it holds for instances in trouble too.
        trouble = [Span("trouble", "entry-0", 7.0, 8.0)]
        for started, run_by, is_kept in ((8.5, 1, True), (8.5, 0, False),
                                         (1.0, 0, True), (5.0, 0, True)):
            history = marked(5, wire.MARKERS[run_by], trouble)
            history.starts = {"entry-0": [0.0, started]}
            check = self.accept if is_kept else self.reject
            check("starts_keep_orders", history)

    def test_drains_and_stops(self):
        request = Request("r-1", "one", "entry-0", 9.0, 9.1, 200, ["s-1"])
        run = Run(9.05, "r-1", "one", "i-1", "s-1")
        drained = 9.05 - wire.DRAIN_S - 0.1
        history = History(requests=[request], runs=[run],
                          drains={"i-1": drained + 0.2})
        self.accept("drained_left_alone", history)
        history.drains["i-1"] = drained
        self.reject("drained_left_alone", history)
        request.status = None
        history.spans = [Span("stop", "entry-0", 8.5, 11.0)]
        self.reject("stops_cut_nothing", history)
        request.gave_up = True
        self.accept("stops_cut_nothing", history)

    def test_times(self):
        def asked(took):
            return History(requests=[Request("r-1", "one", "entry-0", 1.0,
                                             1.0 + took, 504)])

        self.accept("answers_in_time", asked(wire.TIMEOUT_S))
        self.reject("answers_in_time", asked(wire.TIMEOUT_S + 0.6))
        late = wire.RECOVERY_S + 1

        def calm(served, asked):
            return History(requests=[
                Request(f"r-{i}", "one", "entry-0", late, late,
                        200 if i < served else 503) for i in range(asked)])

        self.accept("service_is_back", calm(25, 100))
        self.reject("service_is_back", calm(24, 100))

    def test_a_seed_draws_the_same_faults(self):
        self.assertEqual(faults.draw(5, 60), faults.draw(5, 60))
        self.assertNotEqual(faults.draw(5, 60), faults.draw(6, 60))
        drawn = {fault.kind for seed in range(20)
                 for fault in faults.draw(seed, 60)}
        self.assertEqual(drawn, set(faults.KINDS))
        for kind in faults.KINDS:
            self.assertTrue(hasattr(faults.Injector, kind), kind)


class ShortSoakTest(unittest.TestCase):
    def test_a_seed_keeps_all_promises(self):
        done = subprocess.run(
            [sys.executable, os.path.join(SOAK, "soak.py"), "--build", BUILD,
             "--seed", str(SEED), "--minutes", str(MINUTES)],
            capture_output=True, text=True, timeout=110)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options, rest = parser.parse_known_args()
    BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
