#!/usr/bin/env python3
"""Tests of control instances as processes, under failure.

    control_test.py --build DIR [--seed N] [--only NAME]
"""

import argparse
import http.client
import os
import random
import sys
import threading
import time
import traceback
import uuid

from control_group import (TEAM_TOKEN, TOKEN, ControlGroup, services_document)
from deployment import Deployment, http_get, http_request, wait_until
from history_check import Operation, check, check_actions

SETTLE_S = 30


def expect(condition, what):
    if not condition:
        raise AssertionError(what)


def grow(group, count, prefix="desk"):
    """Applies changes one on the other; returns the last version."""
    version = group.read()[0]
    for number in range(count):
        answer = group.apply(services_document([f"{prefix}-{number}"]), version)
        expect(answer.status == 200, f"change {number}: {answer.body}")
        version = answer.json()["version"]
    return version


def test_changes(deployment):
    """Compare-and-set, resends, access and faults."""
    group = ControlGroup(deployment, 3)
    group.wait_voters(3)
    first = group.apply(services_document(["desk"]), 0, change_id="first")
    expect(first.json() == {"version": 1, "change_id": "first"}, first.body)
    again = group.apply(services_document(["desk"]), 0, change_id="first")
    expect(again.json() == first.json(), "a resend gets the first answer")
    loser = group.apply(services_document(["other"]), 0)
    expect(loser.status == 409 and loser.json()["version"] == 1, loser.body)
    reused = group.apply(services_document(["other"]), 1, change_id="first")
    expect(reused.status == 409, "a change id stands for one change")
    rows = [
        ("missing token", None, 401), ("wrong token", TOKEN[:-1] + "0", 401),
        ("unknown operator", "eve." + "0" * 64, 401)]
    for name, token, status in rows:
        headers = {} if token is None else {"Authorization": "Bearer " + token}
        body = {"change_id": "x", "base_version": 1,
                "document": services_document(["x"])}
        answer = http_request(group.wait_leader().admin, "POST", "/v1/document",
                              body, headers)
        expect(answer.status == status, f"{name}: {answer.status}")
    foreign = services_document(["desk"])
    foreign["teams"].append({"name": "else"})
    foreign["services"].append({"name": "theirs", "team": "else",
                                "kind": "query", "catalogues": ["c"]})
    answer = group.apply(foreign, 1, token=TEAM_TOKEN)
    expect(answer.status == 403, f"another team's service: {answer.status}")
    own = services_document(["desk"], deadline_ms=900)
    answer = group.apply(own, 1, token=TEAM_TOKEN)
    expect(answer.status == 200, f"its own service: {answer.body}")
    faulty = services_document(["desk"], deadline_ms=-1)
    answer = group.apply(faulty, 2)
    expect(answer.status == 400 and answer.json()["faults"][0]["path"] ==
           "/services/0/deadline_ms", answer.body)
    leader = group.wait_leader()
    for control in group:
        if control is not leader:
            answer = group.post(control, own, 2)
            expect(answer.status == 421 and
                   answer.json()["leader"] == leader.admin, answer.body)
    history = http_get(leader.admin, "/v1/history?from=2").json()["changes"]
    expect([row["operator"] for row in history] == ["bob"], history)


def test_race(deployment):
    """Operators race under equal base versions: one winner a version."""
    group = ControlGroup(deployment, 3)
    group.wait_voters(3)
    for base in range(5):
        answers = []

        def send(number):
            answers.append(group.apply(
                services_document([f"desk-{base}-{number}"]), base))

        threads = [threading.Thread(target=send, args=(number,))
                   for number in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = [one for one in answers if one.status == 200]
        lost = [one for one in answers if one.status == 409]
        expect(len(won) == 1 and len(lost) == 5, [a.body for a in answers])
        expect(all(one.json()["version"] == base + 1 for one in lost),
               "a loser is told the winner's version")


def test_leader_killed(deployment):
    """A change whose answer is lost with its leader is accepted once."""
    group = ControlGroup(deployment, 3)
    group.wait_voters(3)
    version = grow(group, 3)
    for number in range(3):
        leader = group.wait_leader()
        change = f"in-flight-{number}"
        document = services_document([change])
        sent = threading.Thread(
            target=lambda: group.apply(document, version, change_id=change))
        sent.start()
        time.sleep(random.Random(deployment.seed + number).random() * 0.01)
        leader.kill()
        sent.join()
        answer = group.apply(document, version, change_id=change)
        expect(answer.status == 200 and
               answer.json()["version"] == version + 1, answer.body)
        version += 1
        leader.start()
        group.wait_voters(3)
    expect(group.read()[0] == version, "nothing was lost")


def test_isolated_leader(deployment):
    """A leader cut off silently gives no stale answer and disturbs nobody."""
    group = ControlGroup(deployment, 3, proxied=True)
    group.wait_voters(3)
    version = grow(group, 2)
    old = group.wait_leader()
    others = [control for control in group if control is not old]
    group.isolate({old.name})
    wait_until(lambda: group.leader(others), SETTLE_S, "another leader")
    for number in range(3):
        answer = group.apply(services_document([f"new-{number}"]), version,
                             among=others)
        expect(answer.status == 200, answer.body)
        version += 1
        stale = group.read(old)
        expect(stale is None, f"the isolated instance answered {stale}")
    refused = group.post(old, services_document(["lost"]), version - 3)
    expect(refused.status in (421, 503), refused.body)
    wait_until(lambda: old.status()["role"] != "leader", SETTLE_S,
               "the isolated leader steps down by its own clock")
    term = group.leader(others).status()["term"]
    time.sleep(2)
    group.heal()
    wait_until(lambda: old.status()["version"] == version, SETTLE_S,
               "the isolated instance catches up")
    expect(group.wait_leader().status()["term"] == term,
           "its return starts no election")


def test_majority_cut(deployment):
    """A minority accepts nothing, and says truly what became of a change."""
    group = ControlGroup(deployment, 3, proxied=True)
    group.wait_voters(3)
    version = grow(group, 2)
    leader = group.wait_leader()
    names = {control.name for control in group if control is not leader}
    group.isolate({leader.name})
    group.isolate({sorted(names)[0]})
    change = "behind-a-lost-quorum"
    document = services_document([change])
    outcomes = set()
    for control in group:
        answer = group.post(control, document, version, change_id=change)
        expect(answer.status in (421, 503), answer.body)
        outcomes.add(answer.json()["outcome"])
    expect(outcomes <= {"unknown", "not_run"}, outcomes)
    group.heal()
    answer = group.apply(document, version, change_id=change)
    expect(answer.status == 200 and answer.json()["version"] == version + 1,
           answer.body)


def test_frozen_leader(deployment):
    """A leader stopped past its lease answers nothing stale when it wakes."""
    group = ControlGroup(deployment, 3)
    group.wait_voters(3)
    version = grow(group, 2)
    for _ in range(3):
        old = group.wait_leader()
        others = [control for control in group if control is not old]
        old.pause()
        answer = group.apply(services_document([f"after-{version}"]), version,
                             among=others)
        expect(answer.status == 200, answer.body)
        version += 1
        reads = []
        reader = threading.Thread(
            target=lambda: reads.append(group.read(old, timeout=3)))
        reader.start()
        time.sleep(0.05)
        old.resume()
        reader.join()
        expect(reads[0] is None or reads[0][0] >= version,
               f"a stale read of {reads[0]} at version {version}")
        group.wait_voters(3)


def test_lost_disks(deployment):
    """A disk is lost, and the second right after the first is repaired."""
    group = ControlGroup(deployment, 3)
    before = group.wait_voters(3)
    version = grow(group, 5)
    for control in list(group):
        control.kill()
        control.wipe()
        control.start()

        def is_repaired():
            voters = group.voters()
            return (len(voters) == 3 and control.name in voters and
                    voters[control.name] != before[control.name])

        wait_until(is_repaired, SETTLE_S, f"{control.name} is a voter again")
        # At once the next one is lost, with nothing in between.
    expect(group.read()[0] == version, "every accepted change is there")
    grow(group, 1, "after")


def test_wiped_bootstrap(deployment):
    """The instance that made the group loses its disk: no second group."""
    group = ControlGroup(deployment, 3)
    group.wait_voters(3)
    version = grow(group, 3)
    first = group["control-1"]
    before = group.voters()
    first.kill()
    first.wipe()
    first.start()  # with --bootstrap, as at first
    time.sleep(3)  # twice as long as it asks whether there is a group
    wait_until(lambda: group.voters().get("control-1", before["control-1"]) !=
               before["control-1"], SETTLE_S, "it is a voter again")
    wait_until(lambda: (first.status() or {}).get("version") == version,
               SETTLE_S, "the wiped instance has the group's state")
    expect(len(first.log_lines("control_group_made")) == 1,
           "it made a second group")


def test_damaged_log(deployment):
    """A flipped bit in what was synced: refused, with the remedy."""
    group = ControlGroup(deployment, 3)
    group.wait_voters(3)
    grow(group, 5)
    control = next(one for one in group if one is not group.leader())
    control.kill()
    path = os.path.join(control.data, "log")
    with open(path, "r+b") as file:
        data = bytearray(file.read())
        data[len(data) // 2] ^= 1
        file.seek(0)
        file.write(data)
    control.start()
    expect(control.wait() == 1, "it refuses to start")
    expect("Move the data folder away" in control.errors(), control.errors())
    control.wipe()
    control.start()
    group.wait_voters(3)


def test_restart(deployment):
    """All restart at once after 1,000 changes: back to what was accepted."""
    group = ControlGroup(deployment, 3, snapshot_bytes=60000)
    group.wait_voters(3)
    version = grow(group, 1000)
    document = group.read()
    for control in group:
        control.kill()
    for control in group:
        control.start()
    wait_until(lambda: group.leader() and group.read(group.leader()), SETTLE_S,
               "the group serves again")
    expect(group.read() == document and document[0] == version,
           "the accepted document is back")
    for control in group:
        expect(os.path.getsize(os.path.join(control.data, "snapshot")) > 0,
               "a snapshot was taken")


class Clients:
    """Clients that change and read the document and keep the history."""

    def __init__(self, group, seed, count):
        self.group = group
        self.operations = []
        self.is_running = True
        self.threads = [
            threading.Thread(target=self._run, args=(seed * 100 + number,))
            for number in range(count)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.is_running = False
        for thread in self.threads:
            thread.join()

    def _run(self, seed):
        draw = random.Random(seed)
        known = 0
        controls = list(self.group)
        while self.is_running:
            control = draw.choice(controls)
            if draw.random() < 0.5:
                operation = self._read(control)
            else:
                operation = self._change(control, known, draw)
            if operation is None:
                continue
            self.operations.append(operation)
            known = max(known, operation.version)

    def _read(self, control):
        begin = time.monotonic()
        value = self.group.read(control, timeout=2)
        if value is None:
            return None
        return Operation("read", begin, time.monotonic(), version=value[0],
                         text=_name_of(value[1]))

    def _change(self, control, base, draw):
        change = uuid.UUID(int=draw.getrandbits(128)).hex
        begin = time.monotonic()
        outcome, version = "unknown", 0
        tries = draw.choice([1, 1, 3])
        for _ in range(tries):
            try:
                answer = self.group.post(
                    control, services_document([change]), base, change,
                    timeout=draw.choice([0.05, 2]))
            except (OSError, http.client.HTTPException):
                outcome = "unknown"
                control = draw.choice(list(self.group))
                continue
            body = answer.json()
            if answer.status == 200:
                outcome, version = "accepted", body["version"]
                break
            if answer.status == 409:
                outcome, version = "conflict", body["version"]
                break
            # "Not run" speaks of this try alone; an earlier one may have run.
            if outcome != "unknown" or tries == 1:
                outcome = body["outcome"]
        return Operation("change", begin, time.monotonic(), version=version,
                         base=base, change_id=change, outcome=outcome,
                         text=change)


def _name_of(document):
    services = document.get("services", [])
    return services[0]["name"] if services else ""


def disturb(group, draw, seconds):
    """Faults of every kind, one after the other."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        control = draw.choice(list(group))
        fault = draw.choice(["kill", "pause", "isolate", "cut", "split"])
        if fault == "kill":
            control.kill()
            time.sleep(draw.random() * 0.5)
            control.start()
        elif fault == "pause":
            control.pause()
            time.sleep(0.2 + draw.random() * 1.3)
            control.resume()
        else:
            # Long enough for another leader, and often for the leader itself.
            leader = group.leader() if draw.random() < 0.7 else None
            names = {(leader or control).name}
            if fault == "split":
                names.add(draw.choice(list(group)).name)
            group.isolate(names, silent=fault != "cut")
            time.sleep(0.2 + draw.random() * 2.3)
            group.heal()
        time.sleep(draw.random())


def run_history(deployment, seed, seconds=12, clients=6):
    """Returns (operations, violations) of one run under faults."""
    group = ControlGroup(deployment, 3, proxied=True)
    group.wait_voters(3)
    running = Clients(group, seed, clients)
    try:
        disturb(group, random.Random(seed), seconds)
    finally:
        running.stop()
    group.heal()
    wait_until(lambda: group.leader() and group.read(group.leader()), SETTLE_S,
               "the group serves again")
    history = {}
    while True:
        rows = http_get(group.wait_leader().admin,
                        f"/v1/history?from={len(history) + 1}").json()
        if not rows["changes"]:
            break
        for row in rows["changes"]:
            history[row["version"]] = row["change_id"]
    return running.operations, check(running.operations, history)


def test_history(deployment):
    """Concurrent clients under faults: the history is linearizable."""
    operations, faults = run_history(deployment, deployment.seed)
    kinds = {}
    for one in operations:
        name = one.outcome or one.kind
        kinds[name] = kinds.get(name, 0) + 1
    print(f"  {len(operations)} operations: {kinds}")
    expect(not faults, faults[:5])
    expect(kinds.get("accepted", 0) > 10, f"too little happened: {kinds}")


def test_checker(_):
    """The checker rejects bad histories, and takes a good one."""
    change = lambda **members: Operation(kind="change", **members)
    read = lambda **members: Operation(kind="read", **members)
    good = [change(begin=0, end=1, base=0, version=1, change_id="a",
                   outcome="accepted", text="a"),
            change(begin=0, end=3, base=1, change_id="b", outcome="unknown",
                   text="b"),
            change(begin=2, end=3, base=0, version=1, change_id="c",
                   outcome="conflict", text="c"),
            read(begin=4, end=5, version=2, text="b")]
    history = {1: "a", 2: "b"}
    expect(check(good, history) == [], check(good, history))
    seen = lambda when, version: Operation("seen", when, when, version=version,
                                           where="entry-1")
    rows = [
        ("lost change", good, {1: "b"}),
        ("stale read", good + [read(begin=6, end=7, version=1, text="a")],
         history),
        ("wrong text", good + [read(begin=6, end=7, version=2, text="a")],
         history),
        ("false not run", good + [change(begin=0, end=1, base=2, change_id="d",
                                         outcome="not_run")],
         {**history, 3: "d"}),
        ("refused but run", good + [change(begin=0, end=1, base=2, version=2,
                                           change_id="d", outcome="conflict")],
         {**history, 3: "d"}),
        ("made on another base", good + [
            change(begin=4, end=5, base=1, version=3, change_id="d",
                   outcome="accepted")], {**history, 3: "d"}),
        ("twice", good, {1: "a", 2: "b", 3: "a"}),
        ("seen before it began", [
            read(begin=0, end=1, version=1, text="a"),
            change(begin=2, end=3, base=0, version=1, change_id="a",
                   outcome="accepted", text="a")], {1: "a"}),
        ("instance went back", good + [seen(6, 2), seen(7, 1)], history),
    ]
    for name, operations, final in rows:
        expect(check(operations, final), f"{name} is not found")
    expect(check_actions([("k", "run"), ("j", "not_run")], {"k": 1}) == [],
           "a good run of actions")
    for name, attempts, runs in [
            ("twice", [("k", "run")], {"k": 2}),
            ("false not run", [("k", "not_run")], {"k": 1}),
            ("false run", [("k", "run")], {})]:
        expect(check_actions(attempts, runs), f"{name} is not found")


def main(tests):
    """Runs the tests whose names contain --only; @p tests maps names."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    seed = options.seed
    failed = []
    for name, test in sorted(tests.items()):
        if not name.startswith("test_") or options.only not in name:
            continue
        begin = time.monotonic()
        try:
            with Deployment(build=options.build, seed=seed) as deployment:
                test(deployment)
        except Exception:  # each test is told, then the next one runs
            traceback.print_exc()
            failed.append(name)
        seconds = time.monotonic() - begin
        result = "FAILED" if name in failed else "ok"
        print(f"{name}: {result} in {seconds:.1f} s, --seed {seed}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(globals()))
