"""Measures what a start costs: processor time until an agent listens, and the wait on a part of a core.

    ./dev start [--runs 15] [--shares 0.1,0.3,1]

One process loads the parts in turn and measures what each has used, as shares of the whole. A part of a core
is made by stopping the process again and again (SIGSTOP), so that it runs for that share of each round.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).parents[1]
ROUND = 0.02  # seconds in which the process runs and is stopped once
SETTINGS = """[agent]
listen = 127.0.0.1:0
[registry]
address = 127.0.0.1:9
[conveyor]
address = 127.0.0.1:9
[operation view]
methods = /maps.Parcels/View
effect = idempotent
slo_time = 1s
time_limit = 2s
[log]
format = json
"""
PARTS = {
    "interpreter": "pass",
    "asyncio": "import asyncio",
    "HTTP/2": "import h2.connection, tornado.iostream",
    "log": "import structlog",
    "schema": "import pydantic",
    "command line": "import typer",
    "settings": "import cartweir.settings.ini",
    "commands": "import cartweir.cli",
    "agent": "import cartweir.agent.daemon",
}
NODE_PARTS = {
    "interpreter": "pass",
    "asyncio": "import asyncio",
    "Tornado": "import tornado.ioloop, tornado.iostream",
    "decisions": "import cartweir.logic",
    "node": "import cartweir.node.daemon",
}
PROBE = """
import json, resource
def used():
    now = resource.getrusage(resource.RUSAGE_SELF)
    return now.ru_utime + now.ru_stime
parts, found, last = json.loads(%r), {}, 0.0
for name, what in parts.items():
    exec(what)
    found[name], last = used() - last, used()
print(json.dumps({**found, "MiB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024}))
"""


def by_part(parts: dict[str, str], runs: int) -> dict[str, float]:
    """Returns the median of the processor seconds of each part, and the memory at the end."""
    rows = [
        json.loads(
            subprocess.run(
                [sys.executable, "-c", PROBE % json.dumps(parts)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=True,
            ).stdout
        )
        for _ in range(runs)
    ]
    return {name: statistics.median(row[name] for row in rows) for name in rows[0]}


def started(file: Path, share: float) -> float:
    """Returns the seconds from the start of an agent until it logs that it listens."""
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "cartweir", "agent", "-s", str(file)],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    over = threading.Event()

    def starve() -> None:
        while not over.is_set():
            time.sleep(ROUND * share)
            os.kill(process.pid, signal.SIGSTOP)
            time.sleep(ROUND * (1 - share))
            os.kill(process.pid, signal.SIGCONT)

    if share < 1:
        (thread := threading.Thread(target=starve)).start()
    for line in process.stderr:
        if '"started"' in line:
            break
    took = time.monotonic() - began
    over.set()
    if share < 1:
        thread.join()
    process.kill()
    process.wait()
    return took


def main() -> None:
    """Measures both agents and prints the figures as ratios."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=15)
    parser.add_argument("--shares", default="0.1,0.3,1")
    given = parser.parse_args()
    whole = 0.0
    for what, parts in (("cartweir agent", PARTS), ("cartweir.node", NODE_PARTS)):
        found = by_part(parts, given.runs)
        memory, total = found.pop("MiB"), sum(found.values())
        whole = whole or total
        print(
            f"{what}: {total / whole:.2f} of the agent's processor time, {memory:.0f} MiB; "
            + ", ".join(f"{name} {part / total:.2f}" for name, part in found.items())
        )
    with tempfile.TemporaryDirectory(prefix="cartweir-") as folder:
        (file := Path(folder) / "agent.ini").write_text(SETTINGS)
        times = {
            share: statistics.median(started(file, share) for _ in range(given.runs))
            for share in map(float, given.shares.split(","))
        }
    base = times.get(1.0) or next(iter(times.values()))
    print(
        "until it listens: "
        + ", ".join(f"{time / base:.1f} on {share:g} of a core" for share, time in times.items())
    )


if __name__ == "__main__":
    main()
