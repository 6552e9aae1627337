"""Command line of the fault soak."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import typer

from .common import fail


def soak(
    seed: Annotated[
        int, typer.Option(help="The first seed; everything of a run is drawn from its seed.")
    ] = 1,
    runs: Annotated[int, typer.Option(min=1, max=10_000, help="Runs, each with the next seed.")] = 1,
    seconds: Annotated[
        float, typer.Option(min=6, max=600, help="For which clients ask, in each run.")
    ] = 15.0,
    keep: Annotated[
        Path | None, typer.Option(help="Keep records and logs of the runs below this folder.")
    ] = None,
) -> None:
    """Play real processes under faults that overlap in time, and judge the five rules by what was received.

    The exit code is 1 if a rule was broken.
    """
    from ..soak.run import play  # noqa: PLC0415 - a command imports what it needs
    from ..soak.schedule import draw_schedule  # noqa: PLC0415

    broken: list[int] = []
    with tempfile.TemporaryDirectory(prefix="cartweir-soak-") as scratch:
        for number in range(seed, seed + runs):
            folder = (keep or Path(scratch)) / f"seed-{number}"
            if folder.exists():
                fail(f"--keep {keep}: {folder.name} exists; expected a folder without an earlier run of it")
            try:
                result = play(draw_schedule(number, seconds), folder)
            except OSError as error:
                fail(f"soak: {error}", 1)
            print(result.text(), flush=True)
            broken += [number] if result.breaches else []
    print(f"{runs} runs, {len(broken)} with breaches{': seeds ' + str(broken) if broken else ''}")
    raise typer.Exit(1 if broken else 0)
