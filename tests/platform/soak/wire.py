"""Names and messages of the users' platform, for the soak's stand-ins."""

import json

FRONT_PORT = 8226
READY_PORT = 8227
CONTROL_PORT = 8224
FRAMES_PORTS = [7740, 7755]
SETTINGS_VARIABLE = "FOXTAILTHREAD_SETTINGS"

REQUEST_ID = "foxtailthread-request-id"
DEADLINE = "foxtailthread-deadline-ms"
EXPECTED = "foxtailthread-expect-instance"
STAMP = "foxtailthread-server-stamp"
NOT_RUN = "foxtailthread-not-executed"
PART_STAMPS = "foxtailthread-part-stamps"
MISSING_PARTS = "foxtailthread-missing-parts"

# Bounds of the deployment that the soak plays, in seconds where they are times.
DRAIN_S = 3.0
APPLY_S = 3.0
CONTACT_S = 4.0
GRACE_S = 6.0
RECOVERY_S = 12.0
CATCH_UP_S = 4.0
# How long an entry instance that starts waits for a leader.
UNCONFIRMED_S = 3.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 30
BUDGET_WINDOW_S = 10.0
LEAST_SHARE = 0.7
TOP_RECORDS = 5
TIMEOUT_S = 2.0
HOST = "soak.example"

# A query's shards by the document's version: odd ones cut the index anew.
SHARDS = {0: [f"part-{i}" for i in range(6)],
          1: [f"cut-{i}" for i in range(4)]}
MARKERS = {0: "left", 1: "right"}
SERVICES = SHARDS[0] + SHARDS[1] + ["left", "right", "once", "one"]


def settings_text(name, zone, address, seeds, folder, is_first):
    """The settings file of one process."""
    is_control = folder is not None
    listen = ({"control": f"{address}:{CONTROL_PORT}"} if is_control else
              {"front": f"{address}:{FRONT_PORT}",
               "ready": f"{address}:{READY_PORT}"})
    return json.dumps({
        "node": name, "role": "control" if is_control else "entry",
        "ip": address, "zone": zone, "region": zone,
        "zones": {"a": "a", "b": "b", "c": "c"}, "listen": listen,
        "internal_ports": FRAMES_PORTS,
        "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
        "bootstrap": is_first, "data_dir": folder,
        "tolerate": {"machines": 1},
        "bounds": {"grace_s": GRACE_S, "drain_ms": int(DRAIN_S * 1000),
                   "config_apply_ms": int(APPLY_S * 1000),
                   "retry_budget_ratio": BUDGET_RATIO,
                   "retry_window_s": BUDGET_WINDOW_S,
                   "retry_budget_slack": BUDGET_SLACK}})


def order_text(version, extra_routes=0):
    """A whole configuration. Its parity says which shards and marker it has."""
    parity = version % 2
    common = {"host": HOST, "timeout_ms": int(TIMEOUT_S * 1000),
              "objective_ms": 300, "priority": 1, "max_attempts": 2}
    routes = [
        {"name": "all", "path_prefix": "/all/", "kind": "safe",
         "fanout": SHARDS[parity], "top_k": TOP_RECORDS,
         "min_shard_ratio": LEAST_SHARE},
        {"name": "one", "path_prefix": "/one/", "kind": "safe",
         "service": "one"},
        {"name": "once", "path_prefix": "/once/", "kind": "unsafe",
         "service": "once"},
        {"name": "which", "path_prefix": "/which/", "kind": "safe",
         "service": MARKERS[parity]}]
    routes += [{"name": f"more-{i}", "path_prefix": f"/more-{i}/",
                "kind": "safe", "service": "one"} for i in range(extra_routes)]
    return json.dumps({
        "version": version, "routes": [{**common, **row} for row in routes],
        "services": [{"name": name, "health_path": "/health", "max_conns": 30}
                     for name in SERVICES],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


def announcement_text(server, state, sequence):
    return json.dumps({
        "service": server.service, "address": server.announced, "zone":
        server.zone, "version": "v1", "slots": 8, "state": state,
        "warmup_left_ms": 0, "seq": sequence, "born": server.born_ms})


async def read_message(reader):
    """Reads one HTTP message with a length; returns its first line, its headers
    with lower-case names, and its body. Raises on an end or a broken one."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            name = name.strip().lower()
            value = value.strip()
            headers[name] = (headers[name] + ", " + value
                             if name in headers else value)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def message(first_line, headers, body=b""):
    lines = [first_line, f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
