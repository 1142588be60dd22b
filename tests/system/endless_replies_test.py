"""Entry instances keep within their memory, and serve other requests, while a
backend server sends bytes without end in place of replies."""

import argparse
import asyncio
import http.client
import itertools
import os
import shutil
import socket
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import departure_test  # noqa: E402
from departure_test import SERVICE, Fleet, claim_number, wire  # noqa: E402
from departure_test import Deployment as PlatformDeployment  # noqa: E402
from deployment import (Deployment, group, http_post,  # noqa: E402
                        query_service)

BUILD = "build"
OBSERVED_S = 0.5
USED_WITHIN_S = 10.0
CALLERS = 8
# Memory of the smallest machine that an entry instance runs on.
MAX_RESIDENT_KB = 160 * 1024
MIN_SERVED = 0.9
FILLER = b"a" * 65536
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
VARIANTS = {  # what is sent once, and what again and again
    "no protocol": (b"", FILLER),
    "status line": (b"HTTP/1.1 200 ", FILLER),
    "header line": (OK + b"X-Filler: ", FILLER),
    "header lines": (OK, b"X-Filler: a\r\n" * 4096),
    "body until the end": (OK + b"\r\n", FILLER),
    "body of a length": (OK + b"Content-Length: 1000000000000\r\n\r\n",
                         FILLER),
    "chunks": (CHUNKED, b"10000\r\n" + FILLER + b"\r\n"),
    "chunk header": (CHUNKED + b"4;extension=", FILLER),
    "trailer": (CHUNKED + b"0\r\nX-Filler: ", FILLER),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1024),
}


class EndlessServer:
    """Answers each request without end, until its caller closes."""

    def __init__(self, begin, endless):
        self.begin, self.endless = begin, endless
        self.requests = 0
        self.is_closed = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,),
                             daemon=True).start()

    def _serve(self, connection):
        try:
            with connection:
                if not connection.recv(65536):
                    return
                self.requests += 1
                connection.sendall(self.begin)
                while not self.is_closed:
                    connection.sendall(self.endless)
        except OSError:
            pass  # the caller has closed

    def close(self):
        self.is_closed = True
        self.listener.close()


def peak_resident_kb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    raise OSError("no VmHWM")


class EndlessRepliesTest(unittest.TestCase):
    def check(self, statuses, process):
        """@p process is the Popen of an entry instance."""
        self.assertIsNone(process.poll(), "the entry instance has ended")
        self.assertLess(peak_resident_kb(process.pid), MAX_RESIDENT_KB)
        self.assertGreater(len(statuses), 100)
        self.assertGreaterEqual(statuses.count(200),
                                MIN_SERVED * len(statuses))

    def test_entry_of_the_users_platform(self):
        folder = tempfile.mkdtemp(prefix="foxtail-endless-")
        number, holder = claim_number()
        fleet = Fleet(BUILD, folder, entries=1, number=number)
        try:
            statuses = asyncio.run(self.play_platform(fleet))
            self.check(statuses, fleet.entries[0].process)
        finally:
            fleet.stop()
            holder.close()
            shutil.rmtree(folder)

    async def play_platform(self, fleet):
        deployment = PlatformDeployment(fleet)
        await deployment.start()
        begin = len(deployment.answers)
        try:
            for name, variant in VARIANTS.items():
                endless = EndlessServer(*variant)
                server = await deployment.world.add_server(SERVICE, "a")
                # The announcements name the endless server from now on.
                server.announced = endless.address
                await deployment.wait_until(lambda: endless.requests > 0,
                                            f"{name}: the server is not used")
                await asyncio.sleep(OBSERVED_S)
                server.task.cancel()
                await server.tell("Deregister")
                endless.close()
            return [status for _, status in deployment.answers[begin:]]
        finally:
            await deployment.stop()

    def test_entry_of_the_product(self):
        with Deployment(build=BUILD) as deployment:
            document = deployment.document(
                [query_service("desk", ["packets"], deadline_ms=2000)])
            entry = deployment.entry("entry-1", "hanoi", document)
            deployment.backend([group("packets", "desk", replicas=1,
                                      zones=["hanoi"])], [entry])
            deployment.wait_ready()
            deployment.wait_coverage([entry], "desk", 1)
            end = threading.Event()
            statuses = []
            threads = [threading.Thread(target=self.query,
                                        args=(entry, end, statuses))
                       for _ in range(CALLERS)]
            for thread in threads:
                thread.start()
            try:
                for name, variant in VARIANTS.items():
                    self.play_product(entry, name, EndlessServer(*variant))
            finally:
                end.set()
                for thread in threads:
                    thread.join()
            self.check(statuses, entry.popen)

    def play_product(self, entry, name, server):
        deadline = time.monotonic() + USED_WITHIN_S
        for sequence in itertools.count(1):
            announcement = {
                "server": "packets-0-" + name.replace(" ", "-"),
                "incarnation": 1, "sequence": sequence, "service": "desk",
                "catalogue": "packets", "index_version": 1, "shard": 0,
                "shards": 1, "zone": "hanoi", "address": server.address,
                "slots": 8, "connections": 16,
                "state": "gone" if server.requests else "ready"}
            http_post(entry.platform, "/v1/announce",
                      {"announcements": [announcement]})
            if server.requests:
                break
            self.assertLess(time.monotonic(), deadline,
                            f"{name}: the server is not used")
            time.sleep(OBSERVED_S)
        server.close()

    @staticmethod
    def query(entry, end, statuses):
        while not end.is_set():
            try:
                answer = entry.query("desk", {"token": "t-1"})
                statuses.append(answer.status)
            except (OSError, http.client.HTTPException):
                statuses.append(0)
            time.sleep(0.02)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options, rest = parser.parse_known_args()
    BUILD = departure_test.BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
