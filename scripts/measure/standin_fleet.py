"""Runs foxtail-fleet: many entry instances' control work in one process."""

import concurrent.futures
import json
import os
import subprocess
import tempfile


def run_fleet(build, **settings):
    """Runs one fleet with these settings; returns its JSON object."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(settings, file)
        file.flush()
        done = subprocess.run(
            [os.path.join(build, "foxtail-fleet"), "--settings", file.name],
            capture_output=True, check=False, timeout=180, text=True)
    if done.returncode != 0:
        raise RuntimeError(f"foxtail-fleet failed: {done.stderr}")
    return json.loads(done.stdout.strip().splitlines()[-1])


def run_fleets(build, rows, at_once=2):
    """Runs fleets, a few at once; returns their objects in order."""
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        return list(pool.map(lambda row: run_fleet(build, **row), rows))


def least_squares(features, values):
    """Returns the coefficients that fit values best, by normal equations."""
    size = len(features[0])
    matrix = [[sum(row[i] * row[j] for row in features) for j in range(size)] +
              [sum(row[i] * value for row, value in zip(features, values))]
              for i in range(size)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda k: abs(matrix[k][i]))
        matrix[i], matrix[pivot] = matrix[pivot], matrix[i]
        for k in range(size):
            if k != i:
                factor = matrix[k][i] / matrix[i][i]
                matrix[k] = [a - factor * b
                             for a, b in zip(matrix[k], matrix[i])]
    return [matrix[i][size] / matrix[i][i] for i in range(size)]
