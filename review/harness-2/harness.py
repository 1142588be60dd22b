"""Starts the project's platform programs on loopback addresses and holds the
stand-ins of review/6 to review/10: backends, operators and clients."""

import atexit
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
METRICS_PORT = 9464
# The zones and bounds of kowhai-mirrors, as `fleetbench wire` shows them.
ZONES = {"akl-a": "auckland", "wlg-a": "wellington", "chc-a": "christchurch"}
BOUNDS = {"seed_staleness_s": 3, "reuse_after_s": 2, "contact_ms": 5000,
          "ack_ms": 6000, "catch_up_s": 4, "drain_ms": 4000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 4000,
          "rollback_slack_ms": 250, "max_skew_ms": 15000,
          "retry_budget_ratio": 0.2, "retry_window_s": 10,
          "retry_budget_slack": 58, "recovery_s": 12}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "scatter"]
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0


class CouldNotRun(Exception):
    """The case could not be set up, so nothing can be said of the rule."""


class Record:
    """record.txt: what was sent, answered and run, in seconds since begin."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.lock = threading.Lock()
        self("TROUBLE=%d" % TROUBLE)

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write("%8.3f %s\n" % (self.now(), text))
                self.file.flush()


class HttpError(Exception):
    pass


class Connection:
    """A client's connection; one request at a time."""

    def __init__(self, address, timeout=CALL_TIMEOUT_S):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def send(self, method, path, headers=(), body=b""):
        lines = ["%s %s HTTP/1.1" % (method, path)]
        lines += ["%s: %s" % row for row in headers]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def receive(self, timeout=CALL_TIMEOUT_S):
        """Returns status, headers (lower case) and body."""
        self.socket.settimeout(timeout)
        while b"\r\n\r\n" not in self.buffer:
            self._read()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(self.buffer) < length:
            self._read()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return status, headers, body

    def _read(self):
        data = self.socket.recv(65536)
        if not data:
            raise HttpError("closed without an answer")
        self.buffer += data

    def close(self):
        self.socket.close()


def call(address, method, path, headers=(), body=b"", timeout=CALL_TIMEOUT_S):
    connection = Connection(address, timeout)
    try:
        host = [] if any(n == "Host" for n, _ in headers) else [
            ("Host", address)]
        connection.send(method, path, [*host, *headers], body)
        return connection.receive(timeout)
    finally:
        connection.close()


CALL_FAILURES = (OSError, HttpError, ValueError, IndexError)


class Machine:
    """A machine of the system with one process."""

    def __init__(self, deployment, name, role, address, zone):
        self.deployment, self.name, self.role = deployment, name, role
        self.address, self.zone = address, zone
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(os.path.join(self.folder, "data"))
        self.settings = os.path.join(self.folder, "boot.json")
        self.process = None
        self.front_port, self.ready_port, self.control_port = 8226, 8227, 8224
        self.frames_port = 7740

    @property
    def front(self):
        return "%s:%d" % (self.address, self.front_port)

    @property
    def control(self):
        return "%s:%d" % (self.address, self.control_port)

    def write_settings(self, first_start):
        isControl = self.role == "control"
        settings = {
            "node": self.name, "role": self.role,
            "machine_class": "core" if isControl else "front",
            "serves": ["control" if isControl else "front"],
            "ip": self.address, "zone": self.zone,
            "region": self.deployment.zones[self.zone],
            "zones": self.deployment.zones,
            "listen": {"control": self.control} if isControl else
            {"front": self.front,
             "ready": "%s:%d" % (self.address, self.ready_port)},
            "internal_ports": [self.frames_port, 7755],
            "seeds": [c.control for c in self.deployment.controls[:3]],
            "bootstrap": first_start, "fault_counted": isControl,
            "limits": {"cpu_share": 0.3 if isControl else 0.25, "cores": 1,
                       "memory_mb": 256 if isControl else 260,
                       "max_fds": 4096 if isControl else 4100,
                       "link_mbps": 1000.0,
                       "disk_mb": 128 if isControl else 0},
            "data_dir": os.path.join(self.folder, "data") if isControl else None,
            "discovery": "registry", "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": self.deployment.contracts,
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.deployment.bounds, "config_mode": "highest"}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self, first_start=False):
        self.write_settings(first_start)
        program = os.path.join(ROOT, self.deployment.programs[self.role])
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
               "LANG": "C.UTF-8", "FOXTAILTHREAD_SETTINGS": self.settings}
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen([program], cwd=ROOT, env=env,
                                        stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        try:
            return call("%s:%d" % (self.address, self.ready_port), "GET",
                        "/ready")[0] == 200
        except CALL_FAILURES:
            return False

    def log_text(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()


def deploy_programs():
    """The programs that the deploy file starts for each role."""
    import tomllib
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    return {name: role["run"] for name, role in roles.items()}


class Deployment:
    def __init__(self, record, entries=2, controls=3, zones=None, bounds=None,
                 contracts=None):
        self.record = record
        self.zones = zones or ZONES
        self.bounds = bounds or BOUNDS
        self.contracts = contracts or CONTRACTS
        self.programs = deploy_programs()
        for program in self.programs.values():
            if not os.access(os.path.join(ROOT, program), os.X_OK):
                raise CouldNotRun(program + " is not built")
        self.folder = tempfile.mkdtemp(prefix="foxtail-review-")
        self.prefix = self._free_prefix()
        self.next_host = 1
        self.controls, self.entries, self.backends = [], [], []
        atexit.register(self.stop)
        names = list(self.zones)
        for i in range(controls):
            self.controls.append(Machine(self, "core-%d" % (i + 1), "control",
                                         self.new_address(),
                                         names[i % len(names)]))
        for i in range(entries):
            self.entries.append(Machine(self, "front-%d" % (i + 1), "entry",
                                        self.new_address(),
                                        names[i % len(names)]))

    @staticmethod
    def _free_prefix():
        for _ in range(100):
            prefix = "127.%d.%d." % (random.randint(20, 250),
                                     random.randint(0, 255))
            probes = []
            try:
                for host in range(1, 30):
                    for port in (METRICS_PORT, *range(7740, 7756), 8080, 8224,
                                 8226, 8227):
                        probe = socket.socket()
                        probes.append(probe)
                        probe.bind((prefix + str(host), port))
                return prefix
            except OSError:
                continue
            finally:
                for probe in probes:
                    probe.close()
        raise CouldNotRun("no free loopback addresses")

    def new_address(self):
        self.next_host += 1
        return self.prefix + str(self.next_host - 1)

    def start(self):
        for machine in self.controls + self.entries:
            machine.start(first_start=True)
            self.record("start %s %s" % (machine.name, machine.zone))

    def wait_ready(self, timeout=20):
        wait_until(lambda: all(e.is_ready() for e in self.entries), timeout,
                   "the entries are not ready")

    def stop(self):
        for backend in self.backends:
            backend.close()
        for machine in self.controls + self.entries:
            if machine.is_running():
                machine.signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs kept in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def check_alive(self):
        """Raises when a process has ended by itself."""
        for machine in self.controls + self.entries:
            if not machine.is_running():
                raise CouldNotRun(machine.name + " has ended by itself")


def wait_until(condition, timeout, what):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CouldNotRun(what)


class Proxy:
    """Passes connections on to a machine. Connections that were made silent
    stay open, and what is sent on them is dropped."""

    def __init__(self, address, port, target):
        self.target = target
        self.lock = threading.Lock()
        self.pairs = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((address, port))
        self.listener.listen(64)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self.target, 1)
            except OSError:
                reset(near)
                continue
            far.settimeout(None)
            pair = {"silent": False}
            with self.lock:
                self.pairs.append(pair)
            for source, sink in ((near, far), (far, near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._pass, args=(source, sink, pair),
                                 daemon=True).start()

    @staticmethod
    def _pass(source, sink, pair):
        try:
            while True:
                data = source.recv(65536)
                if pair["silent"]:
                    if not data:
                        return
                    continue
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        if not pair["silent"]:
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def silence(self):
        """Makes the present connections silent; new ones work."""
        with self.lock:
            count = sum(not pair["silent"] for pair in self.pairs)
            for pair in self.pairs:
                pair["silent"] = True
        return count


class Operator:
    """Sends orders as the page says: to one node that serves control, and after
    a second without a response, or a 5xx, to the next; follows a 307 twice."""

    def __init__(self, deployment):
        self.deployment, self.record = deployment, deployment.record

    def order(self, path, body=b"", first=0, timeout=30, text=""):
        """Returns when the order was acknowledged (seconds of the record)."""
        end = time.monotonic() + timeout
        controls = self.deployment.controls
        turn = first
        pause = 0.1
        while time.monotonic() < end:
            machine = controls[turn % len(controls)]
            turn += 1
            address, target = machine.control, path
            for _ in range(3):
                self.record("operator -> %s POST %s %s"
                            % (address, target, text))
                try:
                    status, headers, answer = call(address, "POST", target,
                                                   body=body)
                except CALL_FAILURES as error:
                    status, headers, answer = 0, {}, repr(error).encode()
                self.record("operator <- %s %d %s"
                            % (address, status, answer[:100].decode().strip()))
                if status != 307:
                    break
                address, target = headers["location"][7:].split("/", 1)
                target = "/" + target
            if 200 <= status < 300:
                return self.record.now()
            if status in (400, 409, 412, 413, 422):
                raise CouldNotRun("an order was refused: %d" % status)
            time.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        raise CouldNotRun("no control machine acknowledged " + path)

    def replace(self, document, first=0, timeout=30):
        body = json.dumps(document, separators=(",", ":")).encode()
        at = self.order("/Config.Replace", body, first, timeout,
                        "version %d" % document["version"])
        self.record("operator: version %d acknowledged" % document["version"])
        return at


class Backend:
    """A sound backend server: serves one request at a time on a connection,
    rejects what was meant for another instance, and reports itself."""

    def __init__(self, deployment, service, zone, identity, slots=6,
                 reports_to=0):
        self.deployment, self.record = deployment, deployment.record
        self.service, self.zone, self.id = service, zone, identity
        self.slots, self.reports_to = slots, reports_to
        self.address = deployment.new_address()
        self.port = 8080
        self.runs = []  # (time, request id, method, path)
        self.lock = threading.Lock()
        self.connections = set()
        self.state = "ready"
        self.is_closed = False
        self.drain_acknowledged_at = None
        self.listener = None
        self.beats_end = None
        self.sequence = 0
        deployment.backends.append(self)

    # Life.

    def listen_options(self, listener):
        pass

    def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_closed = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listen_options(self.listener)
        self.listener.bind((self.address, self.port))
        self.listener.listen(256)
        self.beats_end = threading.Event()
        threading.Thread(target=self._accept, args=(self.listener,),
                         daemon=True).start()
        threading.Thread(target=self._beat, args=(self.beats_end,),
                         daemon=True).start()
        self.record("backend %s starts at %s:%d, %s, %s"
                    % (self.id, self.address, self.port, self.service,
                       self.zone))

    def crash(self):
        self.record("backend %s crashes" % self.id)
        self.close()

    def close(self):
        self.is_closed = True
        if self.beats_end is not None:
            self.beats_end.set()
        if self.listener is not None:
            try:
                self.listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            self.listener.close()
        with self.lock:
            connections, self.connections = self.connections, set()
        for connection in connections:
            reset(connection)

    # Reports.

    def _report(self, path, body):
        """Calls one control machine after the other until one acknowledges."""
        controls = self.deployment.controls
        for i in range(len(controls)):
            machine = controls[(self.reports_to + i) % len(controls)]
            try:
                status = call(machine.control, "POST", path,
                              [("Content-Type", "application/json")],
                              json.dumps(body).encode())[0]
            except CALL_FAILURES:
                continue
            if 200 <= status < 300:
                return machine
        return None

    def beat(self):
        with self.lock:
            self.sequence += 1
            body = {"service": self.service,
                    "address": "%s:%d" % (self.address, self.port),
                    "zone": self.zone, "version": "v1", "slots": self.slots,
                    "state": self.state, "warmup_left_ms": 0,
                    "seq": self.sequence, "born": self.born}
        return body, self._report("/Instances.Heartbeat/" + self.id, body)

    def _beat(self, end):
        while not end.is_set():
            body, machine = self.beat()
            if body["state"] == "draining" and machine is not None and \
                    self.drain_acknowledged_at is None:
                self.drain_acknowledged_at = self.record.now()
                self.record("backend %s: draining (seq %d) acknowledged by %s"
                            % (self.id, body["seq"], machine.name))
            end.wait(HEARTBEAT_S)

    def drain(self):
        self.record("backend %s begins to drain" % self.id)
        self.state = "draining"

    def deregister(self):
        machine = self._report("/Instances.Deregister/" + self.id,
                               {"born": self.born})
        self.record("backend %s: deregistration acknowledged by %s"
                    % (self.id, machine and machine.name))

    # Requests.

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                if self.is_closed:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,),
                             daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self.serve(connection)
        except (OSError, ValueError, IndexError):
            pass
        with self.lock:
            self.connections.discard(connection)
        connection.close()

    def serve(self, connection):
        buffer = b""
        while True:
            while b"\r\n\r\n" not in buffer:
                data = connection.recv(65536)
                if not data:
                    return
                buffer += data
            head, buffer = buffer.split(b"\r\n\r\n", 1)
            request = Request(head)
            while len(buffer) < request.length:
                data = connection.recv(65536)
                if not data:
                    return
                buffer += data
            body, buffer = buffer[:request.length], buffer[request.length:]
            connection.sendall(self.answer(request, body))

    def answer(self, request, body):
        if request.path == "/health":
            return reply(200, request, [("Foxtailthread-Instance-Id", self.id)])
        expected = request.headers.get("foxtailthread-expect-instance")
        if expected not in (None, self.id):
            return reply(421, request, [("Foxtailthread-Not-Executed", "1")])
        self.note_run(request)
        return self.run(request, body)

    def note_run(self, request):
        with self.lock:
            self.runs.append((self.record.now(), request.id, request.method,
                              request.path))
        self.record("backend %s runs %s %s %s"
                    % (self.id, request.id, request.method, request.path))

    def run(self, request, body):
        return reply(200, request, [("Foxtailthread-Server-Stamp", stamp())],
                     b"%d bytes read by %s" % (len(body), self.id.encode()))


class Request:
    def __init__(self, head):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.path, _ = lines[0].split(" ")
        self.headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            self.headers[name.strip().lower()] = value.strip()
        self.id = self.headers.get("foxtailthread-request-id", "")
        self.length = int(self.headers.get("content-length", 0))


def stamp():
    return "3e1b.07.5a2.600.0.%08x" % random.getrandbits(32)


def reply(status, request, headers, body=b""):
    lines = ["HTTP/1.1 %d X" % status,
             "Content-Length: %d" % len(body)]
    if request.id:
        lines.append("Foxtailthread-Request-Id: " + request.id)
    lines += ["%s: %s" % row for row in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(connection):
    """Ends a connection with a reset, as a crash does."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        # Wakes the thread that reads; sends nothing.
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()


def new_id():
    return "%016x" % random.getrandbits(64)


def make_document(version, routes, services, limits=None, tenants=None):
    document = {"version": version, "routes": routes,
                "services": [{"name": name, "health_path": "/health",
                              "max_conns": connections, "protocol": "h1",
                              "tls": False}
                             for name, connections in services],
                "limits": limits or LIMITS}
    if tenants is not None:
        document["tenants"] = tenants
    return document


def make_route(name, prefix, service, kind="safe", timeout_ms=4000,
               objective_ms=400, max_attempts=2):
    return {"name": name, "host": "hufi27.example", "path_prefix": prefix,
            "kind": kind, "timeout_ms": timeout_ms,
            "objective_ms": objective_ms, "priority": 1, "service": service,
            "max_attempts": max_attempts}


HOST = ("Host", "hufi27.example")


def request_headers(identity, deadline_ms=4000):
    return [HOST, ("Foxtailthread-Request-Id", identity),
            ("Foxtailthread-Deadline-Ms", str(deadline_ms))]


def main(case, folder):
    """Runs a case; @p case takes the record and returns whether the rule held
    and a text."""
    record = Record(folder)
    try:
        held, text = case(record)
        status = HELD if held else BROKEN
    except CouldNotRun as error:
        status, text = NOT_RUN, "could not run: %s" % error
    except Exception as error:  # noqa: BLE001
        status, text = NOT_RUN, "could not run: %r" % error
    record("RESULT %d %s" % (status, text))
    print(text)
    sys.stdout.flush()
    sys.exit(status)
