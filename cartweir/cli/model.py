"""Command line of the model: histories of controllers in simulated time."""
from __future__ import annotations

import json
import time
from collections import Counter
from typing import Annotated

import typer

from .common import fail

app = typer.Typer(no_args_is_help=True, help="Simulated clocks, disks and network under the real decisions.")


@app.callback()
def _group() -> None:
    """Keeps `check` a command of its own."""


@app.command()
def check(seeds: Annotated[int, typer.Option(min=1, help="So many histories.")] = 100,
          first: Annotated[int, typer.Option(help="Seed of the first.")] = 0,
          members: Annotated[int, typer.Option(min=1, max=9, help="Controllers.")] = 3,
          seconds: Annotated[float, typer.Option(min=4, help="Simulated, each.")] = 10.0,
          broken: Annotated[str, typer.Option(help="A fault put into the program on purpose, to prove the verdict.")] = "",
          as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False) -> None:
    """Play histories of controllers with faults, and judge each by what receivers saw."""
    from ..model.cluster import FAULTS, Shape, play

    if broken and broken not in FAULTS:
        fail(f"--broken {broken}: one of {', '.join(FAULTS)} is due")
    total, bad, began, gaps = Counter(), {}, time.monotonic(), []
    for seed in range(first, first + seeds):
        history = play(seed, Shape(members=members, seconds=seconds, broken=broken))
        total.update(history.counts)
        total.update(decided=len(history.log), ballots_ok=len(history.ok), steps=len(history.steps), told_late=history.late,
                     refused=history.refused)
        gaps += history.ownerless
        if history.breaches:
            bad[seed] = history.breaches
            if broken:
                break
    gaps.sort()
    if as_json:
        print(json.dumps({"histories": seeds, "breaches": bad, "counts": total, "without_leader": gaps}, indent=1))
    else:
        print(f"{seeds} histories of {seconds:g} s, {members} controllers, in {time.monotonic() - began:.0f} s")
        print(", ".join(f"{name} {count}" for name, count in sorted(total.items())))
        if gaps:
            print(f"without a leader: {len(gaps)} times, median {gaps[len(gaps) // 2] / 1e3:.0f} ms, most {gaps[-1] / 1e3:.0f} ms")
        for seed, breaches in bad.items():
            print(f"seed {seed}:", *breaches[:5], sep="\n  ")
        if not bad:
            print("no breach")
    raise typer.Exit(1 if bad else 0)
