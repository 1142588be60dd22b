"""Drives foxtail-console and foxtailctl against real control instances."""

import argparse
import http.client
import json
import os
import re
import subprocess
import sys
import unittest
import urllib.parse

from control_group import TEAM_TOKEN, TOKEN, ControlGroup, services_document
from deployment import Deployment, Process, http_get, wait_until

BUILD = "build"


class Console(Process):
    def __init__(self, name, command, folder, settings):
        self.address = f"127.0.0.1:{settings['operators']['port']}"
        self.platform = f"127.0.0.1:{settings['platform']['port']}"
        super().__init__(name, command, folder)

    def is_ready(self):
        try:
            return http_get(self.platform, "/readyz").status == 200
        except (OSError, http.client.HTTPException):
            return False


class Browser:
    """Follows a session's cookie and form key."""

    def __init__(self, address):
        self.address = address
        self.cookie = ""

    def send(self, method, path, fields=None):
        connection = http.client.HTTPConnection(self.address, timeout=10)
        try:
            connection.request(method, path,
                               urllib.parse.urlencode(fields or {}),
                               {"Cookie": self.cookie})
            answer = connection.getresponse()
            cookie = answer.getheader("Set-Cookie")
            if cookie:
                self.cookie = cookie.split(";")[0]
            return answer.status, answer.read().decode()
        finally:
            connection.close()

    def post(self, path, **fields):
        page = self.send("GET", "/")[1]
        key = re.search(r'name="form_key" value="(\w+)"', page)
        return self.send("POST", path,
                         {"form_key": key.group(1) if key else "", **fields})


class ConsoleTest(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment(build=BUILD)
        self.deployment.__enter__()
        self.addCleanup(self.deployment.__exit__, None, None, None)
        self.group = ControlGroup(self.deployment, 3)
        self.group.wait_voters(3)
        self.admin = [control.admin for control in self.group]

    def ctl(self, *arguments, token=TOKEN):
        command = [self.deployment.program("foxtailctl"), *arguments,
                   "--admin", ",".join(self.admin)]
        return subprocess.run(command, capture_output=True, text=True,
                              timeout=30, check=False,
                              env={**os.environ, "FOXTAIL_TOKEN": token})

    def console(self):
        port = self.deployment.free_ports(2)
        settings = {"operators": {"port": port},
                    "platform": {"port": port + 1},
                    "admin": self.admin, "drain_ms": 0,
                    "log": {"file": os.path.join(self.deployment.folder,
                                                 "console.log")}}
        console = self.deployment.start("foxtail-console", "console", settings,
                                        Console)
        wait_until(console.is_ready, 10, "the console")
        return console

    def test_evacuations_by_command_and_console(self):
        # The order must be in the log: it is read back after a restart of all.
        def zones():
            answer = self.ctl("evacuations")
            return json.loads(answer.stdout) if not answer.returncode else None

        self.assertEqual({"zones": [], "revision": 0, "orders": 0}, zones())
        self.assertEqual(0, self.ctl("evacuate", "south-b").returncode)
        self.assertEqual(0, self.ctl("evacuate", "south-b").returncode)
        self.assertEqual(1, self.ctl("evacuate", "south-c",
                                     token="ada.wrong").returncode)
        self.assertEqual(1, self.ctl("evacuate", "south-c",
                                     token=TEAM_TOKEN).returncode)
        self.assertEqual(2, self.ctl("evacuate").returncode)
        browser = Browser(self.console().address)
        browser.send("POST", "/login", {"token": TOKEN})
        self.assertIn("south-b", browser.send("GET", "/evacuations")[1])
        page = browser.post("/evacuations", zone="south-a", action="begin",
                            known_orders=2)[1]
        self.assertIn("The order is accepted.", page)
        # A form of before that order.
        page = browser.post("/evacuations", zone="south-a", action="end",
                            known_orders=2)[1]
        self.assertIn("another order was applied first", page)
        for control in self.group:
            control.kill()
        for control in self.group:
            control.start()
        wait_until(zones, 20, "the group serves again")
        self.assertEqual({"zones": ["south-a", "south-b"], "revision": 2,
                          "orders": 3}, zones())
        self.assertEqual(0, self.ctl("end-evacuation", "south-b").returncode)
        self.assertEqual({"zones": ["south-a"], "revision": 3, "orders": 4},
                         zones())

    def test_forms_make_the_accepted_document(self):
        browser = Browser(self.console().address)
        self.assertEqual(403, browser.send("POST", "/login",
                                           {"token": "ada.wrong"})[0])
        self.assertEqual(303, browser.send("POST", "/login",
                                           {"token": TOKEN})[0])
        self.assertEqual(303, browser.post(
            "/edit", section="teams", row=0, was="", action="save",
            name="team", weight=2)[0])
        self.assertEqual(303, browser.post(
            "/edit", section="services", row=0, was="", action="save",
            name="desk", team="team", kind="query", catalogues="packets",
            patience="complete", deadline_ms=700)[0])
        self.assertIn("services/desk", browser.send("GET", "/review")[1])
        self.assertIn("Result: accepted", browser.post("/apply")[1])
        version, document = self.group.read()
        self.assertEqual(1, version)
        self.assertEqual(700, document["services"][0]["deadline_ms"])
        self.assertIn("ada", browser.send("GET", "/history")[1])

    def test_command_line(self):
        path = os.path.join(self.deployment.folder, "document.json")

        def write(document, version):
            with open(path, "w", encoding="utf-8") as file:
                json.dump({"version": version, "document": document}, file)

        write({"services": [{"name": "a", "team": "x", "catalogues": ["c"]}]},
              0)
        checked = self.ctl("check", path)
        self.assertEqual(1, checked.returncode)
        self.assertIn("/services/0/team", checked.stderr)
        document = services_document(["desk"])
        write(document, 0)
        self.assertIn("added services/desk", self.ctl("diff", path).stdout)
        first = self.ctl("apply", path, "--change-id", "c-1")
        self.assertEqual(0, first.returncode, first.stderr)
        again = self.ctl("apply", path, "--change-id", "c-1")
        self.assertEqual(0, again.returncode, again.stderr)
        self.assertIn("version 1", again.stdout)
        self.assertEqual(3, self.ctl("apply", path).returncode)
        got = json.loads(self.ctl("get").stdout)
        self.assertEqual(1, got["version"])
        self.assertEqual(1, len(json.loads(self.ctl("history").stdout)
                                ["changes"]))
        write({**document, "teams": [{"name": "team", "weight": 9}]}, 1)
        denied = self.ctl("apply", path, token=TEAM_TOKEN)
        self.assertEqual(1, denied.returncode)
        self.assertIn("teams/team", denied.stderr)
        self.assertEqual(1, self.ctl("apply", path, token="").returncode)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    options, rest = parser.parse_known_args()
    BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest])
