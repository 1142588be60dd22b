"""Plays seeds of faults against the platform's programs and checks promises.
Run by scripts/soak.sh; docs/operations/soak.md has the options."""

import argparse
import asyncio
import collections
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

import faults
import promises
import wire
from machines import Fleet
from world import PLANTS, World

START_S = 6.0
CALM_S = wire.RECOVERY_S + 3
CALLERS_AN_ENTRY = 4
LEAST_REQUESTS = 50
HOLDER_PORT = 7739


async def play(fleet, seed, length, plant):
    """One seed: returns its faults and its history."""
    random.seed(seed)
    history = promises.History()
    world = World(fleet, history, seed, plant)
    fleet.start()
    zones = "abc"
    for service in wire.SERVICES:
        for zone in zones[:2] if service.startswith("cut") else zones:
            await world.add_server(service, zone)
    background = [world.tend(), world.watch_ready(), world.operator()]
    tasks = [asyncio.ensure_future(task) for task in background]
    await asyncio.wait_for(world.order(), 30)
    await asyncio.sleep(max(0, START_S - world.now()))
    world.begin += START_S
    history.requests.clear()
    shift_orders(history, START_S)
    callers = CALLERS_AN_ENTRY * len(fleet.entries)
    tasks += [asyncio.ensure_future(world.caller()) for _ in range(callers)]
    line = faults.draw(seed, length)
    injector = faults.Injector(world)
    await injector.play(line)
    history.calm_from = world.now()
    await asyncio.sleep(CALM_S)
    for _ in range(20):
        if await world.read(is_last=True):
            break
        await asyncio.sleep(0.2)
    world.is_over = True
    history.starts = {machine.name: [at - world.begin for at in machine.starts]
                      for machine in fleet.entries}
    await asyncio.sleep(0.3)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for server in world.servers:
        if server.state != "gone":
            server.end()
    return line, history


def claim_number():
    """A second byte of 127/8 that no other soak on this machine uses, and the
    socket that holds it."""
    for number in random.sample(range(40, 240), 200):
        holder = socket.socket()
        try:
            holder.bind((f"127.{number}.0.250", HOLDER_PORT))
            return number, holder
        except OSError:
            holder.close()
    raise RuntimeError("all addresses are in use; end other soaks first")


def shift_orders(history, by):
    """Moves what was seen before the first request to the run's clock."""
    for run in history.runs:
        run.at -= by
    for order in history.orders:
        order.sent_at -= by
        if order.acked_at is not None:
            order.acked_at -= by
    for read in history.reads:
        read.sent_at -= by


def check(history, fleet):
    found = {name: promise(history)
             for name, promise in promises.PROMISES.items()}
    found["no_own_end"] = [f"{machine.name} ended by itself "
                           f"{machine.own_ends} times"
                           for machine in fleet.machines if machine.own_ends]
    if len(history.requests) < LEAST_REQUESTS:
        found["soak"] = [f"only {len(history.requests)} requests were sent"]
    if not any(read.is_last for read in history.reads):
        found["soak"] = ["the document could not be read at the end"]
    return {name: rows for name, rows in found.items() if rows}


def main():
    parser = argparse.ArgumentParser(prog="scripts/soak.sh")
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seed", type=int, help="the first; default: by time")
    parser.add_argument("--minutes", type=float, default=0.5,
                        help="of faults for each seed")
    parser.add_argument("--processes", type=int, default=7,
                        help="instances, three of them control instances")
    parser.add_argument("--keep", help="folder for logs of seeds that fail")
    parser.add_argument("--plant", choices=sorted(PLANTS),
                        help="a mistake that the checks have to find")
    options = parser.parse_args()
    if options.processes < 4:
        parser.error("--processes: 4 or more, as three are control instances")
    first = options.seed if options.seed is not None else int(time.time()) % 10**6
    total = collections.Counter()
    # Ends the programs too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    number, holder = claim_number()
    kinds, broken, failed = collections.Counter(), collections.Counter(), []
    for seed in range(first, first + options.seeds):
        folder = tempfile.mkdtemp(prefix="foxtail-soak-")
        fleet = Fleet(options.build, folder, options.processes - 3,
                      number=number)
        try:
            line, history = asyncio.run(play(fleet, seed,
                                             options.minutes * 60,
                                             options.plant))
        finally:
            fleet.stop()
        violations = check(history, fleet)
        served = sum(1 for row in history.requests if row.status == 200)
        print(f"seed {seed}: {len(line)} faults, {len(history.requests)} "
              f"requests, {served} served, {len(history.orders)} orders, "
              f"{len(violations)} promises broken", flush=True)
        for fault in line if violations else []:
            print("   " + str(fault))
        for name, rows in violations.items():
            broken[name] += len(rows)
            for row in rows[:5]:
                print(f"   BROKEN {name}: {row}", flush=True)
        kinds.update(fault.kind for fault in line)
        total.update(requests=len(history.requests), served=served,
                     actions=sum(1 for row in history.requests
                                 if row.route == "once"),
                     orders=len(history.orders), runs=len(history.runs))
        if violations:
            failed.append(seed)
            if options.keep:
                shutil.copytree(folder, os.path.join(options.keep, str(seed)))
        shutil.rmtree(folder)
    print(json.dumps({"seeds": options.seeds, "first_seed": first, **total,
                      "faults": dict(sorted(kinds.items())),
                      "violations": dict(broken), "failed_seeds": failed}))
    holder.close()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
