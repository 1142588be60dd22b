"""A safe route is removed and an unsafe one is added in its place. Later all
processes of the system are killed at the same moment and start again."""
import asyncio
import os
import random
import secrets
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-3"))
from backend import Backend, Client, config, replace_config, route  # noqa: E402
from deployment import Site, run_case, wait_ready  # noqa: E402

BACKENDS = 20
# About 200 KB each (the page's limit of a body is 256 KiB): enough for control to
# replace its log by a snapshot.
ROUTES, VERSIONS = 600, 65
DOWN_S = 0.5


def case(record, trouble):
    site = Site(record, entries=2)

    def version_of(number, is_old, routes):
        first = dict(route("r-till" if is_old else "r-order", "/till/", "ledger",
                           "safe" if is_old else "unsafe"), objective_ms=100)
        return config(["ledger"], [first] + [
            dict(route("r-%d" % i, "/idle-%s/" % secrets.token_urlsafe(110), "ledger", "safe"))
            for i in range(routes)], number)

    async def main():
        site.start()
        number = 3
        await replace_config(site, version_of(number, True, 0))
        backends = [Backend(site, "ledger", i, work_s=0.15) for i in range(BACKENDS)]
        for backend in backends:
            await backend.start()
            await asyncio.sleep(0.06)
        await wait_ready(site)
        for _ in range(VERSIONS):
            number += random.randrange(1, 5)
            await replace_config(site, version_of(number, True, ROUTES))
        for _ in range(2):
            number += random.randrange(1, 5)
            await replace_config(site, version_of(number, False, 0))
        record("from version", number, "on the requests of /till/ are unsafe")
        await asyncio.sleep(site.bounds["config_apply_ms"] / 1000 + 2)
        client = Client(site, "/till/1", "print.example", "POST")

        async def load():
            tasks = []
            try:
                while True:
                    tasks.append(asyncio.create_task(client.send(len(tasks) % 2)))
                    await asyncio.sleep(0.005)
            finally:
                await asyncio.gather(*tasks, return_exceptions=True)

        sending = asyncio.create_task(load())
        await asyncio.sleep(2)
        if trouble:
            for process in site.controls + site.entries:
                process.kill()
            await asyncio.sleep(DOWN_S)
            for process in site.controls + site.entries:
                process.settings["bootstrap"] = False
                process.start()
            record("all processes are back")
        await asyncio.sleep(5)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        site.check_alive()
        counts = {}
        for status, _, _ in client.answers.values():
            counts[status] = counts.get(status, 0) + 1
        runs = {}
        for backend in backends:
            for _, request in backend.runs:
                runs[request] = runs.get(request, 0) + 1
        seen = [pair for pair in runs.items() if pair[0] in client.sent]
        wrong = [pair for pair in seen if pair[1] > 1]
        record("answers:", counts, "requests run:", len(seen), "more than once:", len(wrong))
        print(counts, len(seen), "requests run,", len(wrong), "of them more than once")
        return ["TWICE: %s ran %d times" % pair for pair in wrong]

    return site, main


if __name__ == "__main__":
    run_case(HERE, case)
