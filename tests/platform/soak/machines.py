"""The real programs, each with an address of its own on loopback."""

import os
import resource
import shutil
import signal
import subprocess
import time

import wire

# Restart of a process that has ended, as the platform does it.
RESTART_S = 0.3


class Machine:
    """A machine with one program. A process is started again when it ends,
    unless the machine is held down."""

    def __init__(self, fleet, name, zone, address, is_control):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.address, self.is_control = address, is_control
        self.folder = os.path.join(fleet.folder, name)
        self.data = os.path.join(self.folder, "data") if is_control else None
        os.makedirs(self.data or self.folder, exist_ok=True)
        self.process = None
        self.is_held = False
        self.is_stopping = False
        self.ended_at = 0.0
        self.starts = []  # of the program, by time.monotonic()
        self.own_ends = 0
        self.disk_limit = None

    def write_settings(self, seeds, is_first):
        text = wire.settings_text(self.name, self.zone, self.address, seeds,
                                  self.data, is_first)
        path = os.path.join(self.folder, "boot.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(path + ".new", path)

    def start(self):
        program = ("foxtail-platform-control" if self.is_control
                   else "foxtail-platform-entry")
        limit = self.disk_limit

        def set_limit():
            # Writes fail instead, as those of a full disk do.
            signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
            if limit is not None:
                resource.setrlimit(resource.RLIMIT_FSIZE,
                                   (limit, resource.RLIM_INFINITY))

        self.starts.append(time.monotonic())
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(self.fleet.build, program)], stdout=log,
                stderr=log, stdin=subprocess.DEVNULL, preexec_fn=set_limit,
                env={**os.environ, wire.SETTINGS_VARIABLE:
                     os.path.join(self.folder, "boot.json")})
        self.is_stopping = False

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        """Signals the process that this machine started, if it runs."""
        if self.is_alive():
            self.process.send_signal(number)

    def kill(self):
        self.is_stopping = True  # an end that was asked for
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wipe(self):
        shutil.rmtree(self.data)
        os.makedirs(self.data)

    def tend(self, now):
        """Starts the program again when it has ended."""
        if self.is_alive() or self.is_held:
            self.ended_at = 0.0
            return
        if self.ended_at == 0.0:
            self.ended_at = now
            is_own = not self.is_stopping and self.disk_limit is None
            if self.process is not None and is_own:
                self.own_ends += 1
        if now - self.ended_at >= RESTART_S:
            self.start()
            self.ended_at = 0.0


class Fleet:
    def __init__(self, build, folder, entries, controls=3, number=77):
        self.build, self.folder = os.path.abspath(build), folder
        zones = "abc"
        self.controls = [
            Machine(self, f"control-{i}", zones[i % 3],
                    f"127.{number}.0.{i + 1}", True) for i in range(controls)]
        self.entries = [
            Machine(self, f"entry-{i}", zones[i % 3],
                    f"127.{number}.1.{i + 1}", False) for i in range(entries)]
        self.machines = self.controls + self.entries

    def seeds(self):
        return [machine.address for machine in self.controls]

    def start(self):
        for machine in self.machines:
            machine.write_settings(self.seeds(), True)
            machine.start()
        for machine in self.machines:
            machine.write_settings(self.seeds(), False)

    def stop(self):
        for machine in self.machines:
            machine.is_held = True
            machine.is_stopping = True
            machine.send(signal.SIGCONT)
            machine.send(signal.SIGTERM)
        deadline = time.monotonic() + wire.GRACE_S
        for machine in self.machines:
            if machine.process is None:
                continue
            try:
                machine.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                machine.kill()
