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
    from ..model.cluster import SEEDED_FAULTS, HistoryConfig, run_history

    if broken and broken not in SEEDED_FAULTS:
        fail(f"--broken {broken}: one of {', '.join(SEEDED_FAULTS)} is due")
    total, bad, began, gaps = Counter(), {}, time.monotonic(), []
    for seed in range(first, first + seeds):
        history = run_history(seed, HistoryConfig(members=members, seconds=seconds, seeded_fault=broken))
        total.update(history.fault_counts)
        total.update(
            decided=len(history.committed),
            ballots_ok=len(history.accepted_ballots),
            steps=len(history.executed_steps),
            told_late=history.ignored_by_agents,
            refused=history.refused_effects,
        )
        gaps += history.leaderless_times
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
    from ..model.thundering_herd import DEFENCES, HerdConfig, run_herd

    def time_of(value: int | None) -> str:
        return "never" if value is None else f"{value / 1e6:.1f} s"

    rows = []
    for count in agents:
        for off in ((), *((d,) for d in DEFENCES), ("admission", "waits")):
            result = run_herd(
                seed,
                HerdConfig(
                    agents=count, receivers=receivers, advice_share=heeds, known_share=knows, disabled=off
                ),
            )
            rows.append(
                {
                    "agents": count,
                    "off": list(off),
                    "half": result.completion_time(0.5, count),
                    "all": result.completion_time(1.0, count),
                    "peak": result.peak_requests,
                    "refused": result.refused,
                    "wasted": round(result.wasted_time / max(1, result.busy_time), 3),
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
    from ..model.owner_failover import FailoverConfig, median, run_failovers

    rows = []
    for members in controllers:
        for count in agents:
            found = run_failovers(seed, FailoverConfig(members, count, kills, admission_rate=admit))
            rows.append(
                {
                    "controllers": members,
                    "agents": count,
                    "kills": len(found.first_agent_times),
                    "first": median(found.first_agent_times),
                    "first_most": max(found.first_agent_times, default=None),
                    "last": median(found.last_agent_times),
                    "last_most": max(found.last_agent_times, default=None),
                    "members_a_second": found.member_messages,
                    "words": found.stage_messages,
                    "refused": found.refused,
                    "unfinished": found.unfinished,
                }
            )
            if not as_json:
                row = rows[-1]
                print(
                    f"{members} controllers, {count:6} agents: {row['kills']} kills, first agent told after {_ms(row['first'])} (median), "
                    f"{_ms(row['first_most'])} (most), the last after {_ms(row['last'])}, {_ms(row['last_most'])}; {found.member_messages:.0f} messages "
                    f"a second among controllers, {found.stage_messages} words to agents, told to come back {found.refused}, "
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
    from ..model.plots import draw_lines

    try:
        draw_lines(path, panels, "agents")
    except ImportError:
        fail("--plot: matplotlib is not installed: pip install matplotlib, or leave --plot out")
    except OSError as error:
        fail(f"--plot {path}: {error.strerror}: a file that can be written is due", 1)
