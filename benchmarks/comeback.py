"""How a fleet comes back: what is killed, what was kept and what the registry does, each with some seeds.

    ./dev comeback [--seeds 3] [--agents 4] [--light 40] [--brief] [--cells 1,2]

Each run is `cartweir comeback`: real processes on loopback. The table has the median and the worst.
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

from cartweir.faults.mass_restart import RestartOutcome, RestartScenario, run_scenario

MICROSECONDS = 1e6  # in a second
COLUMNS = (
    "killed",
    "files",
    "registry",
    "full service",
    "all told",
    "lists a second",
    "listeners a second",
    "connections at one appliance a second",
    "refused",
    "fell",
    "breaches",
)

CELLS = [(share, "kept", "there") for share in (0.1, 0.5, 0.7, 1.0)] + [
    (1.0, "lost", "there"),
    (1.0, "old", "there"),
    (1.0, "kept", "away"),
    (1.0, "kept", "empty"),
    (1.0, "lost", "empty"),
]
BRIEF = [CELLS[3], CELLS[4], CELLS[6], CELLS[8]]


def median_and_worst(values: list[int | None]) -> str:
    """Returns both in seconds; a time that was not reached counts as the longest."""
    rows = sorted((value is None, value or 0) for value in values)
    chosen = (rows[len(rows) // 2], rows[-1])
    return " / ".join("-" if missing else f"{value / MICROSECONDS:.1f}" for missing, value in chosen)


def table_row(cells: list[object]) -> str:
    """Returns a line of the table."""
    return f"| {' | '.join(map(str, cells))} |"


def outcome_row(cell: tuple[float, str, str], found: list[RestartOutcome]) -> str:
    """Returns the line of one cell."""
    share, state, registry = cell
    return table_row(
        [
            f"{share:g}",
            state,
            registry,
            median_and_worst([outcome.back for outcome in found]),
            median_and_worst([outcome.told for outcome in found]),
            max(outcome.lists[0] for outcome in found),
            max(outcome.listeners[0] for outcome in found),
            max(outcome.connections[0] for outcome in found),
            sum(outcome.refused for outcome in found),
            sum(outcome.fell for outcome in found),
            sum(len(outcome.breaches) for outcome in found),
        ]
    )


def main() -> None:
    """Plays the cells and prints the table."""
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
    agents = f"{given.agents} real agents, {given.light} light ones"
    print(f"{agents}, {given.seeds} seeds a cell; seconds, median / worst\n")
    print(table_row(list(COLUMNS)), "|---" * len(COLUMNS) + "|", sep="\n")
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
            outcome_row(cell, found),
            *(f"  breach: {text}" for outcome in found for text in outcome.breaches),
            sep="\n",
            flush=True,
        )


if __name__ == "__main__":
    main()
