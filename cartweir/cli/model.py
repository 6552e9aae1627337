"""Command line of the model: histories of controllers in simulated time."""

from __future__ import annotations

import json
import time
from collections import Counter
from pathlib import Path
from typing import Annotated, Any, Optional

import typer

from .common import fail

Plot = Annotated[
    Optional[Path], typer.Option(help="Draw it into this PNG as well; needs matplotlib.", metavar="FILE")
]

app = typer.Typer(no_args_is_help=True, help="Simulated clocks, disks and network under the real decisions.")


@app.callback()
def _group() -> None:
    """Keeps `check` a command of its own."""


@app.command()
def check(
    seeds: Annotated[int, typer.Option(min=1, help="So many histories.")] = 100,
    first: Annotated[int, typer.Option(help="Seed of the first.")] = 0,
    members: Annotated[int, typer.Option(min=1, max=9, help="Controllers.")] = 3,
    seconds: Annotated[float, typer.Option(min=4, help="Simulated, each.")] = 10.0,
    broken: Annotated[
        str, typer.Option(help="A fault put into the program on purpose, to prove the verdict.")
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
) -> None:
    """Play histories of controllers with faults, and judge each by what receivers saw."""
    from ..model.cluster import FAULTS, Shape, play

    if broken and broken not in FAULTS:
        fail(f"--broken {broken}: one of {', '.join(FAULTS)} is due")
    total, bad, began, gaps = Counter(), {}, time.monotonic(), []
    for seed in range(first, first + seeds):
        history = play(seed, Shape(members=members, seconds=seconds, broken=broken))
        total.update(history.counts)
        total.update(
            decided=len(history.log),
            ballots_ok=len(history.ok),
            steps=len(history.steps),
            told_late=history.late,
            refused=history.refused,
        )
        gaps += history.ownerless
        if history.breaches:
            bad[seed] = history.breaches
            if broken:
                break
    gaps.sort()
    if as_json:
        print(
            json.dumps(
                {"histories": seeds, "breaches": bad, "counts": total, "without_leader": gaps}, indent=1
            )
        )
    else:
        print(
            f"{seeds} histories of {seconds:g} s, {members} controllers, in {time.monotonic() - began:.0f} s"
        )
        print(", ".join(f"{name} {count}" for name, count in sorted(total.items())))
        if gaps:
            print(
                f"without a leader: {len(gaps)} times, median {gaps[len(gaps) // 2] / 1e3:.0f} ms, most {gaps[-1] / 1e3:.0f} ms"
            )
        for seed, breaches in bad.items():
            print(f"seed {seed}:", *breaches[:5], sep="\n  ")
        if not bad:
            print("no breach")
    raise typer.Exit(1 if bad else 0)


@app.command()
def crowd(
    agents: Annotated[
        list[int], typer.Option(min=1, max=100_000, help="So many come back at once; may be given again.")
    ] = [5, 50, 440, 2_000, 10_000],
    receivers: Annotated[int, typer.Option(min=1, max=9, help="Controllers, or registries.")] = 3,
    seed: Annotated[int, typer.Option(help="All chance comes from it.")] = 1,
    heeds: Annotated[float, typer.Option(min=0, max=1, help="Share of the agents that heed advice.")] = 1.0,
    knows: Annotated[
        float, typer.Option(min=0, max=1, help="Share whose kept list the receiver still knows.")
    ] = 1.0,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    plot: Plot = None,
) -> None:
    """How long a fleet takes to be told its list when all come back at once, with each defence switched off in turn."""
    from ..model.crowd import DEFENCES, Crowd, play

    def time_of(value: int | None) -> str:
        return "never" if value is None else f"{value / 1e6:.1f} s"

    rows = []
    for count in agents:
        for off in ((), *((d,) for d in DEFENCES), ("admission", "waits")):
            back = play(seed, Crowd(agents=count, receivers=receivers, heeds=heeds, knows=knows, off=off))
            rows.append(
                {
                    "agents": count,
                    "off": list(off),
                    "half": back.when(0.5, count),
                    "all": back.when(1.0, count),
                    "peak": back.peak,
                    "refused": back.refused,
                    "wasted": round(back.wasted / max(1, back.busy), 3),
                }
            )
            if not as_json:
                row = rows[-1]
                print(
                    f"{count:6} agents, off: {', '.join(off) or 'nothing':16}  half told after {time_of(row['half']):>7}, all {time_of(row['all']):>7}; "
                    f"most asked of one in a second {row['peak']:6}, refused {row['refused']:6}, work wasted {row['wasted']:.0%}"
                )
    if as_json:
        print(json.dumps(rows, indent=1))
    if plot is not None:
        named: dict[str, list] = {}
        for row in rows:
            if row["all"] is not None:
                named.setdefault(f"without {', '.join(row['off'])}" if row["off"] else "all on", []).append(
                    (row["agents"], row["all"] / 1e6)
                )
        _draw(plot, {"seconds until all are told": named})


@app.command()
def sizes(
    agents: Annotated[list[int], typer.Option(min=1, max=100_000, help="May be given again.")] = [
        5,
        50,
        440,
        2_000,
        10_000,
    ],
    controllers: Annotated[list[int], typer.Option(min=3, max=9, help="May be given again.")] = [3, 5, 7],
    kills: Annotated[int, typer.Option(min=1, help="Of the owner, in each fleet.")] = 30,
    admit: Annotated[
        float, typer.Option(min=1, help="Agents that a controller lets begin to listen a second.")
    ] = 200.0,
    seed: Annotated[int, typer.Option(help="All chance comes from it.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    plot: Plot = None,
) -> None:
    """The owner of the release is killed again and again: how long until the first and the last agent follow the next one."""
    from ..model.sizes import Fleet, middle, play

    rows = []
    for members in controllers:
        for count in agents:
            found = play(seed, Fleet(members, count, kills, admit=admit))
            rows.append(
                {
                    "controllers": members,
                    "agents": count,
                    "kills": len(found.first),
                    "first": middle(found.first),
                    "first_most": max(found.first, default=None),
                    "last": middle(found.last),
                    "last_most": max(found.last, default=None),
                    "members_a_second": found.members,
                    "words": found.words,
                    "refused": found.refused,
                    "unfinished": found.unfinished,
                }
            )
            if not as_json:
                row = rows[-1]
                print(
                    f"{members} controllers, {count:6} agents: {row['kills']} kills, first agent told after {_ms(row['first'])} (median), "
                    f"{_ms(row['first_most'])} (most), the last after {_ms(row['last'])}, {_ms(row['last_most'])}; {found.members:.0f} messages "
                    f"a second among controllers, {found.words} words to agents, told to come back {found.refused}, "
                    f"kills before all were told {found.unfinished}",
                    flush=True,
                )
    if as_json:
        print(json.dumps(rows, indent=1))
    if plot is not None:
        drawn: dict[str, dict[str, list]] = {}
        for upward, key in (
            ("seconds until the first is told (median)", "first"),
            ("seconds until the last is told (median)", "last"),
            ("seconds until the last is told (most)", "last_most"),
        ):
            for row in rows:
                if row[key]:
                    drawn.setdefault(upward, {}).setdefault(f"{row['controllers']} controllers", []).append(
                        (row["agents"], row[key] / 1e6)
                    )
        _draw(plot, drawn)


def _ms(value: int | None) -> str:
    return "never" if not value else f"{value / 1e3:.0f} ms"


def _draw(path: Path, panels: dict[str, dict[str, Any]]) -> None:
    from ..model.plots import lines

    try:
        lines(path, panels, "agents")
    except ImportError:
        fail("--plot: matplotlib is not installed: pip install matplotlib, or leave --plot out")
    except OSError as error:
        fail(f"--plot {path}: {error.strerror}: a file that can be written is due", 1)
