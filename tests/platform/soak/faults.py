"""A seeded time line of faults. It is drawn before the run, so that a seed
replays the same faults; an instance is named by its number, a server by its
place among those that live at the time."""

import asyncio
import random
import signal
from dataclasses import dataclass

import wire
from promises import Span


@dataclass
class Fault:
    at: float
    kind: str
    number: int
    length: float

    def __str__(self):
        return f"{self.at:6.2f} s {self.kind} {self.number} {self.length:.2f} s"


# Kind: weight, shortest and longest time in seconds.
KINDS = {
    "entry_stop": (3, 0, 0), "entry_kill": (2, 0.0, 2.0),
    "entry_pause": (2, 0.3, 3.0), "entry_reload": (2, 0, 0),
    "all_entries_stop": (1, 0.5, 1.5),
    "control_stop": (2, 0, 0), "control_kill": (2, 0.0, 3.0),
    "control_pause": (2, 0.3, 3.0), "control_wipe": (1, 0.2, 1.0),
    "control_disk_full": (1, 1.0, 3.0), "all_controls_kill": (1, 0.3, 0.8),
    "control_reload": (1, 0, 0), "control_kill_departure": (2, 0.0, 0.1),
    "server_leave": (3, 0, 0), "server_deregister": (2, 0, 0),
    "server_crash": (2, 0, 0),
    "server_pause": (4, 0.2, 0.5), "server_slow": (2, 2.0, 6.0),
    "server_shed": (2, 2.0, 5.0), "server_garble": (2, 2.0, 5.0),
    "server_lost": (2, 2.0, 5.0),
    "link_silent": (2, 0.5, 3.0), "link_one_way": (2, 0.5, 3.0),
    "link_delay": (2, 1.0, 4.0), "link_reset": (3, 0, 0),
    "orders": (2, 0, 0), "many_routes": (1, 0, 0),
}
# Kinds that take a control instance; the deployment bears the loss of one.
LOSSES = {"control_stop", "control_kill", "control_pause", "control_wipe",
          "control_disk_full", "control_kill_departure", "all_controls_kill"}


# Kinds that put instances out of touch; a third of the seeds has none of them, as
# some promises hold only of instances that are in touch.
UNPLANNED = LOSSES - {"control_stop"} | {"entry_kill", "entry_pause"}


def draw(seed, length):
    """Faults of a seed for so many seconds, in order."""
    source = random.Random(seed)
    is_planned_only = source.random() < 1 / 3
    kinds = [kind for kind in KINDS
             if not (is_planned_only and kind in UNPLANNED)]
    weights = [KINDS[kind][0] for kind in kinds]
    faults, at, losses_until = [], 1.0, 0.0
    while at < length:
        kind = source.choices(kinds, weights)[0]
        _, shortest, longest = KINDS[kind]
        lasts = source.uniform(shortest, longest)
        number = source.randrange(1000)
        if kind not in LOSSES or at >= losses_until:
            faults.append(Fault(at, kind, number, lasts))
            if kind in LOSSES:
                # The next loss may come when this one has caught up.
                losses_until = at + lasts + wire.CATCH_UP_S + 1
        at += source.uniform(0.1, 1.6)
    return faults


# No trouble, or noted for each instance.
NOTED_APART = {"entry_reload", "control_reload", "all_entries_stop"}


class Injector:
    def __init__(self, world):
        self.world = world
        self.tasks = []

    async def play(self, faults):
        for fault in faults:
            await asyncio.sleep(max(0, fault.at - self.world.now()))
            self.tasks.append(asyncio.ensure_future(self.inject(fault)))
        await asyncio.gather(*self.tasks)

    async def inject(self, fault):
        """Does what the kind says and notes the span in which promises of
        machines that are in touch do not hold."""
        scope = fault.kind.split("_")[0]
        method = getattr(self, fault.kind)
        subject = self.subject(scope, fault.number)
        if subject is None:
            return
        who = (subject.name if scope == "entry" else
               "*" if scope in ("control", "all") else None)
        span = None
        if fault.kind == "entry_stop":
            span = Span("stop", who, self.world.now(), float("inf"))
        elif who and fault.kind not in NOTED_APART:
            span = Span("trouble", who, self.world.now(), float("inf"))
        if span is not None:
            self.world.history.spans.append(span)
        await method(subject, fault)
        if span is not None:
            span.end = self.world.now()

    def subject(self, scope, number):
        pools = {"entry": self.world.fleet.entries,
                 "control": self.world.fleet.controls,
                 "all": [self.world.fleet], "orders": [self.world],
                 "many": [self.world]}
        pool = pools.get(scope)
        if pool is None:
            pool = [server for server in self.world.servers
                    if server.state == "ready"]
        return pool[number % len(pool)] if pool else None

    async def stop_and_wait(self, machine):
        machine.is_stopping = True
        machine.send(signal.SIGTERM)
        process = machine.process
        deadline = self.world.now() + wire.GRACE_S
        while process.poll() is None and self.world.now() < deadline:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            machine.kill()

    async def down(self, machine, length):
        machine.is_held = True
        machine.kill()
        await asyncio.sleep(length)
        machine.is_held = False

    async def pause(self, machine, length):
        machine.send(signal.SIGSTOP)
        await asyncio.sleep(length)
        machine.send(signal.SIGCONT)

    async def entry_stop(self, machine, fault):
        await self.stop_and_wait(machine)

    async def all_entries_stop(self, fleet, fault):
        # In turn, the next one while the one before still stops.
        async def stop(machine):
            span = Span("stop", machine.name, self.world.now(), float("inf"))
            self.world.history.spans.append(span)
            await self.stop_and_wait(machine)
            span.end = self.world.now()

        stops = []
        for machine in fleet.entries:
            stops.append(asyncio.ensure_future(stop(machine)))
            await asyncio.sleep(fault.length)
        await asyncio.gather(*stops)

    async def entry_kill(self, machine, fault):
        await self.down(machine, fault.length)

    async def entry_pause(self, machine, fault):
        await self.pause(machine, fault.length)

    async def entry_reload(self, machine, fault):
        seeds = self.world.fleet.seeds()
        first = fault.number % len(seeds)
        machine.write_settings(seeds[first:] + ["127.99.0.9"], False)
        machine.send(signal.SIGHUP)

    async def control_reload(self, machine, fault):
        machine.send(signal.SIGHUP)

    async def control_stop(self, machine, fault):
        await self.stop_and_wait(machine)

    async def control_kill(self, machine, fault):
        await self.down(machine, fault.length)

    async def control_pause(self, machine, fault):
        await self.pause(machine, fault.length)

    async def control_wipe(self, machine, fault):
        machine.is_held = True
        machine.kill()
        machine.wipe()
        await asyncio.sleep(fault.length)
        machine.is_held = False

    async def control_disk_full(self, machine, fault):
        machine.disk_limit = 4096
        await self.down(machine, 0.1)
        await asyncio.sleep(fault.length)
        machine.disk_limit = None
        await self.down(machine, 0.1)

    async def all_controls_kill(self, fleet, fault):
        for machine in fleet.controls:
            machine.is_held = True
            machine.kill()
        await asyncio.sleep(fault.length)
        for machine in fleet.controls:
            machine.is_held = False

    async def server_leave(self, server, fault):
        await self.world.add_server(server.service, server.zone)
        await asyncio.sleep(1)
        await server.leave()

    async def server_deregister(self, server, fault):
        await self.world.add_server(server.service, server.zone)
        await asyncio.sleep(1)
        await server.deregister()
        await server.serve_on()

    async def control_kill_departure(self, machine, fault):
        # The instance that acknowledges a departure is lost shortly after.
        servers = [server for server in self.world.servers
                   if server.state == "ready"]
        server = servers[fault.number % len(servers)]
        await self.world.add_server(server.service, server.zone)
        await asyncio.sleep(0.5)
        if server.state == "ready":
            await server.deregister(machine)
            self.tasks.append(asyncio.ensure_future(server.serve_on()))
        await asyncio.sleep(fault.length)
        await self.down(machine, 0.5)

    async def server_crash(self, server, fault):
        address = server.announced
        server.end()
        await asyncio.sleep(2.2)
        await self.world.add_server(server.service, server.zone)
        # Another service's server gets the address of the one that is gone.
        other = wire.SERVICES[fault.number % len(wire.SERVICES)]
        try:
            await self.world.add_server(other, server.zone,
                                        int(address.split(":")[1]))
        except OSError:
            pass

    async def server_pause(self, server, fault):
        server.paused_until = self.world.now() + fault.length

    async def server_slow(self, server, fault):
        server.slow = 12
        await asyncio.sleep(fault.length)
        server.slow = 1

    async def mode(self, server, name, length):
        server.mode = name
        await asyncio.sleep(length)
        server.mode = "well"

    async def server_shed(self, server, fault):
        await self.mode(server, "shed", fault.length)

    async def server_garble(self, server, fault):
        await self.mode(server, "garble", fault.length)

    async def server_lost(self, server, fault):
        await self.mode(server, "lost", fault.length)

    async def link_mode(self, server, name, length):
        server.proxy.mode = name
        await asyncio.sleep(length)
        server.proxy.mode = "pass"
        # What was lost never comes: such connections are dead from now on.
        server.proxy.reset_all()

    async def link_silent(self, server, fault):
        await self.link_mode(server, "silent", fault.length)

    async def link_one_way(self, server, fault):
        way = "one way from" if fault.number % 2 else "one way to"
        await self.link_mode(server, way, fault.length)

    async def link_delay(self, server, fault):
        server.proxy.delay_s = 0.08
        await asyncio.sleep(fault.length)
        server.proxy.delay_s = 0.0

    async def link_reset(self, server, fault):
        server.proxy.reset_all()

    async def orders(self, world, fault):
        await asyncio.gather(*[world.order() for _ in range(3)])

    async def many_routes(self, world, fault):
        world.extra_routes = 350
        await world.order()
        world.extra_routes = 0
        await world.order()
