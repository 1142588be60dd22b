"""Writes the settings of the two example deployments.

    python3 examples/generate.py

Run it again after a change here; what it writes is committed, so that each
program can be started by hand from the repository's root:

    build/foxtail-control --settings examples/hat-giong/control-1.json --bootstrap
    build/foxtail-entry --settings examples/hat-giong/entry-1.json

Only the first control instance takes --bootstrap, and only the first time.
"""

import json
import os

import catalogues

HERE = os.path.dirname(os.path.abspath(__file__))
ENTRIES_PER_ZONE = 2
REPLICAS = 3
CONTROL_PORT = 0
CALLERS_PORT = 100
PLATFORM_PORT = 200
FRAMES_PORT = 300
STANDIN_PORT = 400
SERVERS_PORT = 500


def write(folder, name, value):
    path = os.path.join(HERE, folder, name)
    os.makedirs(os.path.dirname(path), exist_ok=True)
    with open(path, "w", encoding="utf-8") as file:
        json.dump(value, file, ensure_ascii=False, indent=2)
        file.write("\n")


def groups_of(folder, service, names, zones, size, median_ms):
    """One group of servers for each catalogue of a service."""
    rows = []
    for name in names:
        rows.append({
            "name": f"{service}-{name}", "service": service, "catalogue": name,
            "version": 1, "shards": size.get("shards", 1),
            "replicas": size["replicas"], "zones": zones,
            "slots": size["slots"], "connections": size["connections"],
            "connect_ms": size["connect_ms"],
            "service_time": {"kind": "lognormal", "median_ms": median_ms,
                             "sigma": 0.3},
            "cold_ms": 500, "cold_factor": 2,
            "entries": f"examples/{folder}/catalogues/{name}.json"})
    return rows


def write_deployment(folder, base_port, zones, services, teams, groups):
    """Settings of every process; ports count up from base_port."""
    entries = [(f"entry-{i + 1}", zones[i % len(zones)])
               for i in range(ENTRIES_PER_ZONE * len(zones))]
    controls = [(f"control-{i + 1}", zone) for i, zone in enumerate(zones)]

    def frames(kind_offset, index):
        return f"127.0.0.1:{base_port + kind_offset + index}"

    entry_frames = [frames(FRAMES_PORT, i) for i in range(len(entries))]
    voters = [{"instance": name, "endpoint": frames(CONTROL_PORT, i)}
              for i, (name, _) in enumerate(controls)]
    key = f"{folder}-example-key"
    write(folder, "document.json", {"teams": teams, "services": services})
    for i, (name, zone) in enumerate(entries):
        write(folder, name + ".json", {
            "instance": name, "zone": zone, "workers": 2,
            "callers": {"port": base_port + CALLERS_PORT + i},
            "platform": {"port": base_port + PLATFORM_PORT + i},
            "instances": {"port": base_port + FRAMES_PORT + i,
                          "deployment_key": key},
            "document": f"examples/{folder}/document.json",
            "control": voters,
            "peers": [other for other in entry_frames
                      if other != entry_frames[i]],
            "drain_ms": 1000})
    for i, (name, zone) in enumerate(controls):
        write(folder, name + ".json", {
            "instance": name, "zone": zone, "data": f"data/{folder}/{name}",
            "instances": {"port": base_port + CONTROL_PORT + i,
                          "deployment_key": key},
            "admin": {"port": base_port + CONTROL_PORT + 20 + i},
            "platform": {"port": base_port + CONTROL_PORT + 40 + i},
            "voters": voters, "entries": entry_frames})
    write(folder, "backend.json", {
        "workers": 3, "base_port": base_port + SERVERS_PORT,
        "control": {"port": base_port + STANDIN_PORT},
        "announce_to": [{"zone": zone,
                         "platform": f"127.0.0.1:{base_port + PLATFORM_PORT + i}"}
                        for i, (_, zone) in enumerate(entries)],
        "groups": groups})


def write_catalogues(folder, rows):
    for name, entries in rows.items():
        write(folder, f"catalogues/{name}.json", entries)


# Sizes of a backend server: many small ones behind the desks, larger ones
# behind the press, the ledger and the logs.
DESK = {"replicas": REPLICAS, "slots": 3, "connections": 30, "connect_ms": 6}


def hat_giong():
    folder = "hat-giong"
    zones = ["mekong", "ho-chi-minh", "hanoi"]
    floor = {"replicas": 10, "slots": 6, "connections": 100, "connect_ms": 1}
    log = {**floor, "replicas": 5}
    desk = list(catalogues.AGRONOMY_DESK)
    orders = list(catalogues.CO_OP_ORDERS)
    services = [
        {"name": "agronomy-desk", "team": "agronomy", "kind": "query",
         "catalogues": desk, "patience": "complete", "deadline_ms": 1500,
         "max_deadline_ms": 10000},
        {"name": "co-op-orders", "team": "co-op", "kind": "query",
         "catalogues": orders, "patience": "complete", "deadline_ms": 1500},
        {"name": "label-proof", "team": "press", "kind": "action",
         "catalogues": ["press-floor"], "deadline_ms": 3000},
        {"name": "dispatch-log", "team": "press", "kind": "action",
         "catalogues": ["dispatch"], "deadline_ms": 3000}]
    teams = [{"name": "agronomy", "weight": 2}, {"name": "co-op", "weight": 2},
             {"name": "press", "weight": 3}]
    groups = (groups_of(folder, "agronomy-desk", desk, zones, DESK, 8) +
              groups_of(folder, "co-op-orders", orders, zones, DESK, 8) +
              groups_of(folder, "label-proof", ["press-floor"], zones, floor,
                        15) +
              groups_of(folder, "dispatch-log", ["dispatch"], zones, log, 5))
    write_catalogues(folder, {**catalogues.AGRONOMY_DESK,
                              **catalogues.CO_OP_ORDERS,
                              **catalogues.PRESS})
    write_deployment(folder, 17000, zones, services, teams, groups)


def kowhai():
    folder = "kowhai"
    zones = ["auckland", "wellington", "christchurch"]
    ledger = {"replicas": 2, "shards": 5, "slots": 6, "connections": 50,
              "connect_ms": 1}
    notices = {**ledger, "replicas": 5, "shards": 1}
    mirror = list(catalogues.MIRROR_DISPLAY)
    weavers = list(catalogues.WEAVER_UPLOADS)
    services = [
        {"name": "mirror-display", "team": "stalls", "kind": "query",
         "catalogues": mirror, "patience": "prompt", "deadline_ms": 1000,
         "soft_deadline_ms": 150, "hedge_quantile": 0.9},
        {"name": "weaver-uploads", "team": "weavers", "kind": "query",
         "catalogues": weavers, "patience": "complete", "deadline_ms": 1500},
        {"name": "stock-ledger", "team": "stock", "kind": "query",
         "catalogues": ["ledger"], "patience": "complete",
         "deadline_ms": 2000},
        {"name": "restock-notice", "team": "stock", "kind": "action",
         "catalogues": ["restock"], "deadline_ms": 3000}]
    teams = [{"name": "stalls", "weight": 4}, {"name": "weavers", "weight": 1},
             {"name": "stock", "weight": 2}]
    groups = (groups_of(folder, "mirror-display", mirror, zones, DESK, 8) +
              groups_of(folder, "weaver-uploads", weavers, zones, DESK, 8) +
              groups_of(folder, "stock-ledger", ["ledger"], zones, ledger,
                        10) +
              groups_of(folder, "restock-notice", ["restock"], zones, notices,
                        5))
    write_catalogues(folder, {**catalogues.MIRROR_DISPLAY,
                              **catalogues.WEAVER_UPLOADS,
                              **catalogues.STOCK})
    write_deployment(folder, 18000, zones, services, teams, groups)


if __name__ == "__main__":
    hat_giong()
    kowhai()
