"""What the experiments share.

To add an experiment, write scripts/measure/NAME.py:

    \"\"\"First line: what happens, shown by `measure.sh list`.\"\"\"

    from common import Fleet, Result

    def run(options):
        result = Result()
        with Fleet(options, entries=3, shards=25, median_ms=5) as fleet:
            report = fleet.load("200:5", warm_up=1)
        result.figure("coverage_percent", report["total"]["coverage_percent"],
                      "percent", target=99.9, better="higher")
        return result

and add NAME to ORDER in measure.py. options has seed, seconds (of load, about
what the whole run may take) and build. Print progress with progress(). A run
stays under 60 s. Prefer ratios within one run: the machines are noisy.
"""

import json
import os
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "system"))

# pylint: disable=wrong-import-position,unused-import
from deployment import (Deployment, action_service, group, http_get,  # noqa: E402,F401
                        http_post, load_report, query_service, wait_until)

ZONES = ("a", "b", "c")
SERVICE = "desk"
CATALOGUE = "packets"
DEPLOYMENT_KEY = "measure-key"


def progress(text):
    """Tells on standard error how far the experiment is."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", file=sys.stderr, flush=True)


class Options:
    """What the command line gives each experiment."""

    def __init__(self, seed=1, seconds=10.0, build="build"):
        self.seed = seed
        self.seconds = seconds
        self.build = build


class Result:
    """Figures of one experiment, with their targets, and its baselines."""

    def __init__(self):
        self.figures = []
        self.baselines = {}
        self.notes = []

    def figure(self, name, value, unit, target=None, better="lower"):
        """better is "lower" or "higher"; without a target nothing is met."""
        row = {"name": name, "value": _rounded(value), "unit": unit}
        if target is not None:
            is_met = value is not None and (
                value <= target if better == "lower" else value >= target)
            row.update(target=target, better=better, met=is_met)
        self.figures.append(row)

    def baseline(self, name, **values):
        """Figures of a naive way, measured in the same run."""
        self.baselines[name] = {key: _rounded(value)
                                for key, value in values.items()}

    def note(self, text):
        self.notes.append(text)

    def to_json(self, experiment, options):
        row = {"experiment": experiment, "seed": options.seed,
               "cores": os.cpu_count(), "figures": self.figures,
               "baselines": self.baselines}
        if self.notes:
            row["notes"] = self.notes
        return row


def _rounded(value):
    return round(value, 4) if isinstance(value, float) else value


def desk_service(name=SERVICE, catalogues=(CATALOGUE,), **members):
    """A query service with the settings that the experiments start from."""
    return query_service(name, list(catalogues),
                         **{"deadline_ms": 1000, **members})


def shares_announcements(build):
    """Whether this build's entry instances take peers and share what they
    hear. Without that, every server announces to every entry instance."""
    settings = {"instance": "probe", "zone": "a", "peers": [],
                "instances": {"port": 1, "deployment_key": DEPLOYMENT_KEY}}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(settings, file)
        file.flush()
        check = subprocess.run(
            [os.path.join(build, "foxtail-entry"), "--settings", file.name,
             "--check"], capture_output=True, check=False, timeout=10)
    return check.returncode == 0


class Fleet(Deployment):
    """Entry instances and stand-in servers in three zones, ready to serve.

    Members: entries (list), backends (list), backend (the first), document.
    One service, "desk", over one catalogue, "packets", unless services and
    groups are given. group_members go to group(), such as connections=30.
    spare_entries can be added later with add_entry().
    """

    def __init__(self, options, entries=6, shards=25, replicas=3, median_ms=5.0,
                 services=None, groups=None, entry_members=None,
                 spare_entries=0,
                 standin_members=None, zones=ZONES, **group_members):
        super().__init__(options.build, seed=options.seed)
        self.zones = zones
        self.entry_members = dict(entry_members or {})
        self.services = services or [desk_service()]
        self.document_path = self.document(self.services)
        self.is_shared = shares_announcements(self.build)
        if not self.is_shared:
            # Entry instances that do not know each other hold back all but
            # their part of each server's connections.
            instances = entries + spare_entries
            self.entry_members["policy"] = {
                "connection_share": {
                    "reserve_percent": min(90, 100 - 80 // instances)},
                **self.entry_members.get("policy", {})}
        self.frame_ports = [self.free_ports()
                            for _ in range(entries + spare_entries)]
        self.platform_ports = [self.free_ports()
                               for _ in range(entries + spare_entries)]
        self.entries = []
        self.backends = []
        try:
            self._start(entries, shards, replicas, median_ms, groups,
                        standin_members, group_members)
        except BaseException:
            self.close()
            raise

    def _start(self, entries, shards, replicas, median_ms, groups,
               standin_members, group_members):
        for index in range(entries):
            self.add_entry(index)
        if groups is None:
            members = {"slots": 3, "connections": 30, "connect_ms": 6,
                       "service_time": {"kind": "lognormal",
                                        "median_ms": median_ms, "sigma": 0.3},
                       **group_members}
            groups = [group(CATALOGUE, SERVICE, shards=shards,
                            replicas=replicas, zones=self.zones, **members)]
        self.groups = groups
        self.backends.append(self.backend(
            groups, self.entries, **self._announce_members(),
            **(standin_members or {})))
        self.backend_process = self.backends[0]
        self.wait_ready()
        for service in self.services:
            catalogues = set(service["catalogues"])
            count = sum(row["shards"] for row in groups
                        if row["service"] == service["name"] and
                        row["catalogue"] in catalogues)
            if service["kind"] == "query":
                self.wait_coverage(self.entries, service["name"], count)
        time.sleep(0.5)  # connections are opened ahead of use
        for backend in self.backends:
            backend.reset()

    def _announce_members(self):
        if self.is_shared:
            return {}
        return {"announce_to_all": True,
                "announce_to": [{"zone": zone,
                                 "platform": f"127.0.0.1:{port}"}
                                for zone in self.zones
                                for port in self.platform_ports]}

    def add_entry(self, index):
        """Starts entry instance number index, in the zones in turn."""
        members = {"platform": {"port": self.platform_ports[index]},
                   **self.entry_members}
        if self.is_shared:
            members["instances"] = {"port": self.frame_ports[index],
                                    "deployment_key": DEPLOYMENT_KEY}
            members["peers"] = [f"127.0.0.1:{port}"
                                for port in self.frame_ports
                                if port != self.frame_ports[index]]
        entry = self.entry(f"entry-{index}", self.zones[index % len(self.zones)],
                           self.document_path, **members)
        self.entries.append(entry)
        return entry

    def fault(self, fault, members=None, **select):
        return self.backend_process.fault(fault, members, **select)

    def stats(self):
        return self.backend_process.stats()

    def start_load_at(self, steps, services=(SERVICE,), **options):
        """Starts foxtail-load with extra load measured; see load_report()."""
        options.setdefault("ready", True)
        options["standins"] = ",".join(one.control for one in self.backends)
        return self.start_load(self.entries, list(services), steps, **options)

    def run_load(self, steps, services=(SERVICE,), **options):
        """Runs foxtail-load; returns its report."""
        return load_report(self.start_load_at(steps, services, **options))


def at(seconds, start):
    """Sleeps until that many seconds after start (time.monotonic())."""
    time.sleep(max(0.0, start + seconds - time.monotonic()))


def failed_share_percent(stats):
    """Requests that ended neither whole nor in part, in percent."""
    sent = max(1, stats["sent"])
    good = stats["outcomes"]["whole"] + stats["outcomes"]["partial"]
    return 100.0 * (sent - good) / sent


def covered_percent(stats):
    """Coverage over all requests: one without an answer covers nothing.

    Unlike the load tool's coverage_percent, a refused or failed request counts
    as many shards as an answered one asked for on average.
    """
    good = stats["outcomes"]["whole"] + stats["outcomes"]["partial"]
    if good == 0:
        return 0.0
    per_answer = stats["shards_asked"] / good
    return 100.0 * stats["shards_answered"] / (per_answer * stats["sent"])


def whole_again_s(report, from_ms):
    """Seconds after from_ms until every later request was answered whole."""
    last = 0.0
    step = 100.0
    rows = report["timeline"]
    if len(rows) > 1:
        step = rows[1]["start_ms"] - rows[0]["start_ms"]
    for row in rows:
        if row["start_ms"] + step <= from_ms:
            continue
        if row["whole"] < row["sent"]:
            last = row["start_ms"] + step - from_ms
    return last / 1000.0
