"""How a fleet comes back: cells of what is killed, what was kept and what the registry does, a number of seeds each.

    ./dev comeback [--seeds 3] [--agents 4] [--light 40] [--brief] [--cells 1,2]

Each run is `cartweir comeback`: real processes on loopback. The table has the median and the worst."""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

from cartweir.faults.mass_restart import RestartOutcome, RestartScenario, run_scenario

CELLS = [(share, "kept", "there") for share in (0.1, 0.5, 0.7, 1.0)] + [
    (1.0, "lost", "there"),
    (1.0, "old", "there"),
    (1.0, "kept", "away"),
    (1.0, "kept", "empty"),
    (1.0, "lost", "empty"),
]
BRIEF = [CELLS[3], CELLS[4], CELLS[6], CELLS[8]]


def middle(values: list[int | None], worst: bool = False) -> str:
    """In seconds; those that were not seen are the worst."""
    rows = sorted((value is None, value or 0) for value in values)
    missing, value = rows[-1 if worst else len(rows) // 2]
    return "-" if missing else f"{value / 1e6:.1f}"


def line(cell: tuple[float, str, str], found: list[RestartOutcome]) -> str:
    share, state, registry = cell
    breaches = sum(len(outcome.breaches) for outcome in found)
    return (
        f"| {share:g} | {state} | {registry} | {middle([o.back for o in found])} / {middle([o.back for o in found], True)} | "
        f"{middle([o.told for o in found])} / {middle([o.told for o in found], True)} | {max(o.lists[0] for o in found)} | "
        f"{max(o.listeners[0] for o in found)} | {max(o.connections[0] for o in found)} | {sum(o.refused for o in found)} | "
        f"{sum(o.fell for o in found)} | {breaches} |"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--agents", type=int, default=4)
    parser.add_argument("--light", type=int, default=40)
    parser.add_argument("--brief", action="store_true", help="four cells alone")
    parser.add_argument(
        "--cells", help="numbers of cells from 1, by commas; all of them where it is left out"
    )
    given = parser.parse_args()
    cells = (
        [CELLS[int(number) - 1] for number in given.cells.split(",")]
        if given.cells
        else BRIEF
        if given.brief
        else CELLS
    )
    print(
        f"{given.agents} real agents, {given.light} light ones, {given.seeds} seeds a cell; seconds, median / worst\n\n"
        "| killed | files | registry | full service | all told | lists a second | listeners a second | connections at one "
        "appliance a second | refused | fell | breaches |\n|---|---|---|---|---|---|---|---|---|---|---|"
    )
    for cell in cells:
        found = []
        for seed in range(1, given.seeds + 1):
            with tempfile.TemporaryDirectory(prefix="cartweir-") as folder:
                found.append(
                    run_scenario(
                        Path(folder),
                        seed,
                        RestartScenario(*cell, agents=given.agents, light_agents=given.light),
                        lambda text: None,
                    )
                )
        print(
            line(cell, found),
            *(f"  breach: {text}" for outcome in found for text in outcome.breaches),
            sep="\n",
            flush=True,
        )


if __name__ == "__main__":
    main()
