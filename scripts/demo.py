"""Runs an example deployment whole; see scripts/demo.sh."""

import argparse
import json
import os
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "system"))

# pylint: disable=wrong-import-position
from deployment import (Backend, Deployment, Entry, load_report,  # noqa: E402
                        wait_until)

STEP_S = 4
RATE = 120


class Story:
    """What differs between the two examples."""

    def __init__(self, text, straggler, killed, reindexed, action):
        self.text = text
        self.straggler = straggler
        self.killed = killed
        self.reindexed = reindexed
        self.action = action


STORIES = {
    "hat-giong": Story(
        text={"agronomy-desk": "ST25", "co-op-orders": "Cần Thơ"},
        straggler="agronomy-desk-maize-0-b",
        killed={"service": "agronomy-desk", "replica": "a"},
        reindexed="co-op-orders", action="label-proof"),
    "kowhai": Story(
        text={"mirror-display": "Kōwhai", "stock-ledger": "KW-01"},
        straggler="mirror-display-moana-blue-0-b",
        killed={"service": "mirror-display", "replica": "a"},
        reindexed="weaver-uploads", action="restock-notice"),
}


class Example(Deployment):
    """The processes of examples/NAME, moved to free ports."""

    def __init__(self, name, build):
        super().__init__(build)
        self.source = os.path.join(ROOT, "examples", name)
        self.moved = {}
        self.entries = []
        self.backend_process = None
        self.controls = []
        self.document_value = self.read("document.json")

    def read(self, name):
        with open(os.path.join(self.source, name), encoding="utf-8") as file:
            return json.load(file)

    def names(self, prefix):
        return sorted(name[:-5] for name in os.listdir(self.source)
                      if name.startswith(prefix))

    def port(self, port):
        if port not in self.moved:
            self.moved[port] = self.free_ports()
        return self.moved[port]

    def move(self, value):
        """The same settings on other ports."""
        if isinstance(value, dict):
            return {key: self.port(item) if key == "port" else self.move(item)
                    for key, item in value.items()}
        if isinstance(value, list):
            return [self.move(item) for item in value]
        if isinstance(value, str) and value.startswith("127.0.0.1:"):
            return "127.0.0.1:%d" % self.port(int(value.rsplit(":", 1)[1]))
        return value

    def accepts(self, program, settings):
        path = self.write("check.json", settings)
        check = subprocess.run([self.program(program), "--settings", path,
                                "--check"], capture_output=True, check=False)
        return check.returncode == 0

    def start_controls(self):
        if not os.path.exists(self.program("foxtail-control")):
            return
        for name in self.names("control-"):
            settings = self.move(self.read(name + ".json"))
            settings["data"] = os.path.join(self.folder, "data-" + name)
            # One of them makes the new group; the others join it.
            arguments = [] if self.controls else ["--bootstrap"]
            self.controls.append(self.start("foxtail-control", name, settings,
                                            arguments=arguments))

    def start_entries(self):
        for name in self.names("entry-"):
            settings = self.move(self.read(name + ".json"))
            if not self.controls:
                settings.pop("control")
            if not self.accepts("foxtail-entry", settings):
                # A build whose entry instances do not share what they hear.
                settings.pop("peers")
                settings["policy"] = {"connection_share": {"reserve_percent": 87}}
            self.entries.append(self.start("foxtail-entry", name, settings,
                                           Entry))

    def start_backend(self):
        settings = self.move(self.read("backend.json"))
        count = sum(row["shards"] * row["replicas"]
                    for row in settings["groups"])
        settings["base_port"] = self.free_ports(count)
        if "peers" not in self.entries[0].settings:
            zones = {row["zone"] for row in settings["announce_to"]}
            settings["announce_to_all"] = True
            settings["announce_to"] = [
                {"zone": zone, "platform": row["platform"]}
                for zone in sorted(zones) for row in settings["announce_to"]]
        self.backend_process = self.start("foxtail-backend", "backend",
                                          settings, Backend)
        return count

    def queries(self):
        return [row["name"] for row in self.document_value["services"]
                if row["kind"] == "query"]

    def shards_of(self, service):
        return sum(row["shards"] for row in
                   self.backend_process.settings["groups"]
                   if row["service"] == service)

    def begin_load(self):
        return self.start_load(
            [one for one in self.entries if one.is_alive()], self.queries(),
            f"{RATE}:{STEP_S}", ready=True,
            standins=self.backend_process.control)


class Checks:
    """What the demo promises."""

    def __init__(self):
        self.failed = []

    def expect(self, is_held, what):
        print(("  held: " if is_held else "  NOT HELD: ") + what)
        if not is_held:
            self.failed.append(what)


def print_answer(example, service, text):
    answer = example.entries[0].query(service, {"token": "demo",
                                                "query": text})
    body = answer.json()
    print(f"\n{service}, looking for {text!r}: HTTP {answer.status}, "
          f"outcome {body['outcome']}, coverage "
          f"{body['coverage']['answered']}/{body['coverage']['asked']}")
    for row in body["results"]:
        for match in row["result"]["matches"]:
            print(f"  {row['catalogue']} (version "
                  f"{body['snapshot'][row['catalogue']]['index_version']}): "
                  f"{json.dumps(match, ensure_ascii=False)}")


def print_row(name, report):
    total = report["total"]
    latency = total["latency_ms"]
    print(f"{name:34} {total['sent']:6} {latency['p50']:8.1f} "
          f"{latency['p99']:8.1f} {total['coverage_percent']:9.3f} "
          f"{report['extra_load_percent']:7.2f} "
          f"{total['outcomes']['partial']:8} "
          f"{total['sent'] - total['outcomes']['whole'] - total['outcomes']['partial']:7}")


def run_steps(example, story):
    """Runs the load with each fault in turn; returns reports by name."""
    backend = example.backend_process
    reports = {}
    print(f"\n{'step':34} {'sent':>6} {'p50 ms':>8} {'p99 ms':>8} "
          f"{'coverage%':>9} {'extra%':>7} {'partial':>8} {'failed':>7}")

    def step(name, disturb, undo=None):
        load = example.begin_load()
        time.sleep(STEP_S / 4)
        disturb()
        reports[name] = load_report(load)
        print_row(name, reports[name])
        if undo:
            undo()

    def change_version():
        for letter in "abc":
            backend.fault("version", {"version": 2}, service=story.reindexed,
                          replica=letter)
            time.sleep(0.3)

    def stop_one():
        example.entries[1].terminate()
        example.entries[1].wait(15)

    step("undisturbed", lambda: None)
    step("one server 20 times slower",
         lambda: backend.fault("straggle", {"factor": 20},
                               name=story.straggler),
         lambda: backend.fault("clear"))
    step("a replica of every shard killed",
         lambda: backend.fault("kill", **story.killed),
         lambda: backend.fault("restart", **story.killed))
    step("version changes, rolling", change_version)
    step("an entry instance stops", stop_one)
    return reports


def check_reports(checks, reports):
    print()
    for member, what in (
            ("mixed_answers", "no answer mixes index versions"),
            ("wrong_answers", "no answer is another caller's"),
            ("false_coverage", "stated coverage is true")):
        count = sum(report["total"][member] for report in reports.values())
        checks.expect(count == 0, what)
    stopped = reports["an entry instance stops"]["total"]
    cut = sum(stopped["outcomes"][kind]
              for kind in ("cut", "timeout", "unreachable"))
    checks.expect(cut == 0, "a planned stop cuts no request")
    for name, report in reports.items():
        total = report["total"]
        answered = (total["outcomes"]["whole"] +
                    total["outcomes"]["partial"]) / total["sent"]
        checks.expect(total["coverage_percent"] * answered >= 99,
                      f"coverage of at least 99% over all requests: {name}")


def check_action(checks, example, story):
    """A resent action gets the first answer and runs once."""
    if not example.controls:
        print("  not run: actions (this build has no foxtail-control)")
        return
    first, second = example.entries[0], example.entries[2]

    def is_taken():
        answer = first.action(story.action, "demo-1", {"token": "demo-1"})
        return answer if answer.status == 200 else None

    try:
        answer = wait_until(is_taken, 15, "an action is taken")
    except TimeoutError as error:
        print("last answer:", first.action(story.action, "demo-1",
                                           {"token": "demo-1"}).body.decode())
        checks.expect(False, str(error))
        return
    again = second.action(story.action, "demo-1", {"token": "demo-1"})
    runs = {}
    for row in example.backend_process.stats():
        for key, count in row["runs_by_key"].items():
            runs[key] = runs.get(key, 0) + count
    print(f"\n{story.action} sent twice under one key: HTTP {answer.status} "
          f"and {again.status}; runs: {sum(runs.values())}")
    checks.expect(sum(runs.values()) == 1, "an action runs at most once")
    checks.expect(again.status == 200 and
                  again.json()["result"] == answer.json()["result"],
                  "a resent action gets the first answer")


def main():
    parser = argparse.ArgumentParser(prog="demo.sh")
    parser.add_argument("name", choices=sorted(STORIES))
    parser.add_argument("--build", default="build")
    arguments = parser.parse_args()
    os.chdir(ROOT)
    story = STORIES[arguments.name]
    checks = Checks()
    started = time.monotonic()
    with Example(arguments.name, arguments.build) as example:
        example.start_controls()
        example.start_entries()
        servers = example.start_backend()
        example.wait_ready()
        for service in example.queries():
            example.wait_coverage(example.entries, service,
                                  example.shards_of(service))
        print(f"{len(example.entries)} entry instances, "
              f"{len(example.controls)} control instances and {servers} "
              f"backend servers are up after "
              f"{time.monotonic() - started:.1f} s")
        for service, text in story.text.items():
            print_answer(example, service, text)
        check_reports(checks, run_steps(example, story))
        check_action(checks, example, story)
    print(f"\n{time.monotonic() - started:.0f} s; " +
          ("every promise held" if not checks.failed else
           f"{len(checks.failed)} promises did not hold"))
    return 1 if checks.failed else 0


if __name__ == "__main__":
    sys.exit(main())
