"""A configuration has two routes of one path prefix whose hosts differ only in
capitals. It is invalid if they are the same host, and has two routes if not."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-3"))
from backend import Backend, Client, config, replace_config, route  # noqa: E402
from deployment import Site, control_call, run_case, wait_ready  # noqa: E402

REQUESTS = 20


def case(record, trouble):
    site = Site(record, entries=1)
    host = "Print.example" if trouble else "ledger.example"

    async def main():
        site.start()
        first = route("r-proof", "/job/", "proofs")
        await replace_config(site, config(["proofs", "ledger"], [first], 3))
        proofs = [Backend(site, "proofs", i) for i in range(2)]
        ledger = [Backend(site, "ledger", 3 + i) for i in range(2)]
        for backend in proofs + ledger:
            await backend.start()
        await wait_ready(site)
        second = dict(route("r-ledger", "/job/", "ledger"), host=host)
        status, answer = await control_call(
            site, "POST", "/Config.Replace",
            config(["proofs", "ledger"], [first, second], 9))
        record("routes for", first["host"], "and", host, "get", status, answer)
        if status >= 400:
            return []
        await asyncio.sleep(site.bounds["config_apply_ms"] / 1000 + 1)
        breaks = []
        for name, allowed, others in (("print.example", proofs, ledger),
                                      (host, ledger, proofs)):
            client = Client(site, "/job/1", name)
            for _ in range(REQUESTS):
                await client.send()
            for backend in others:
                breaks += ["CONFIG: acknowledged, and %s for the host %s ran at the "
                           "service %s" % (request, name, backend.service)
                           for _, request in backend.runs if request in client.sent]
        site.check_alive()
        return breaks

    return site, main


if __name__ == "__main__":
    run_case(HERE, case)
