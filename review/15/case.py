"""The first configuration has the version 0. It is acknowledged; then it is read
back, and requests are sent."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-3"))
from backend import Backend, Client, config, replace_config, route  # noqa: E402
from deployment import Site, call, run_case  # noqa: E402


def case(record, trouble):
    site = Site(record, entries=1)

    async def main():
        site.start()
        version = 0 if trouble else 1
        await replace_config(site, config(
            ["proofs"], [route("r-proof", "/proof/", "proofs")], version))
        acked = time.monotonic()
        backends = [Backend(site, "proofs", i) for i in range(2)]
        for backend in backends:
            await backend.start()
        # Longer than contact_ms, recovery_s and config_apply_ms together.
        window_s = sum((site.bounds["contact_ms"] / 1000, site.bounds["recovery_s"],
                        site.bounds["config_apply_ms"] / 1000)) + 1
        read, statuses = None, {}
        client = Client(site, "/proof/1", "print.example")
        while time.monotonic() < acked + window_s:
            for seed in site.seeds:
                ip, port = seed.split(":")
                try:
                    status, _, answer = await call((ip, int(port)), "GET", "/Config.Read")
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                    status, answer = type(error).__name__, b""
                record("read at", seed, "gets", status, answer[:60])
                statuses[status] = statuses.get(status, 0) + 1
                if status == 200:
                    read = json.loads(answer)["version"]
            await client.send()
            await asyncio.sleep(0.5)
        site.check_alive()
        served = sum(answer[0] == 200 for answer in client.answers.values())
        record("reads:", statuses, "requests served:", served, "of", len(client.answers))
        print(statuses, served, "of", len(client.answers), "requests served")
        if read == version:
            return []
        return ["CONFIG: version %d was acknowledged %.0f s ago and doesn't come"
                % (version, window_s)]

    return site, main


if __name__ == "__main__":
    run_case(HERE, case)
