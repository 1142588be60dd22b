"""Runs experiments by name; see scripts/measure.sh and common.py."""

import argparse
import importlib
import json
import os
import sys
import traceback

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

# pylint: disable=wrong-import-position
import common  # noqa: E402
import table  # noqa: E402

ORDER = ("path", "tail", "overload", "replica_loss", "misleading_health",
         "connections", "reindex", "drain", "rolling_stop", "patience",
         "combined", "commit", "recovery", "failover", "claims", "history",
         "membership", "cut", "slopes")


def exists(name):
    folder = os.path.dirname(os.path.abspath(__file__))
    return os.path.exists(os.path.join(folder, name + ".py"))


def print_list():
    for name in ORDER:
        if exists(name):
            module = importlib.import_module(name)
            print(f"{name:18} {(module.__doc__ or '').strip().splitlines()[0]}")


def run_one(name, options):
    """Returns the experiment's JSON object, or None when it could not run."""
    common.progress(f"{name} begins")
    try:
        result = importlib.import_module(name).run(options)
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        return None
    return result.to_json(name, options)


def main():
    parser = argparse.ArgumentParser(prog="measure.sh")
    parser.add_argument("experiment", help="a name, list or all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--out", help="file for the JSON object")
    parser.add_argument("--build", default="build", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.experiment == "list":
        print_list()
        return 0
    build = os.path.join(common.ROOT, arguments.build)
    options = common.Options(arguments.seed, arguments.seconds, build)
    if arguments.experiment == "all":
        names = [name for name in ORDER if exists(name)]
    elif arguments.experiment in ORDER and exists(arguments.experiment):
        names = [arguments.experiment]
    else:
        print(f"no experiment {arguments.experiment}; see measure.sh list",
              file=sys.stderr)
        return 1
    rows = []
    for name in names:
        row = run_one(name, options)
        if row is not None:
            rows.append(row)
            print(json.dumps(row), flush=True)
    if arguments.out:
        with open(arguments.out, "w", encoding="utf-8") as file:
            for row in rows:
                file.write(json.dumps(row) + "\n")
    if arguments.experiment == "all":
        table.write(rows, os.path.join(common.ROOT, "docs/MEASUREMENTS.md"))
    return 0 if len(rows) == len(names) else 1


if __name__ == "__main__":
    sys.exit(main())
