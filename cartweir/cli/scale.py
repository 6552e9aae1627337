"""Command line of the slopes: what the control code costs as a fleet grows."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from .common import fail

INTERRUPTED = 130  # as shells have it for Ctrl-C

app = typer.Typer(
    no_args_is_help=True, help="What the control code costs as a fleet grows: docs/CAPACITY.md."
)


MOST_REPEATS = 1000


def _sizes(axis: str) -> typer.models.OptionInfo:
    return typer.Option(
        f"--{axis}", help=f"Sizes along this axis, at least four, rising; default: up to the target's {axis}."
    )


@app.command()
def slopes(
    servers: Annotated[str | None, _sizes("servers")] = None,
    agents: Annotated[str | None, _sizes("agents")] = None,
    tenants: Annotated[str | None, _sizes("tenants")] = None,
    duties: Annotated[str | None, _sizes("duties")] = None,
    members: Annotated[str | None, _sizes("members")] = None,
    only: Annotated[
        list[str] | None, typer.Option(help="This measurement alone; may be given again.")
    ] = None,
    repeats: Annotated[
        int, typer.Option(help="Timed operations at each size; 0: counted quantities alone.")
    ] = 5,
    json_file: Annotated[
        Path | None, typer.Option("--json", help="Write the raw figures.", metavar="FILE")
    ] = None,
) -> None:
    """Measure the real control code in this process at several sizes, and fit a curve to each quantity."""
    from ..scale.axes import RANGES, Axis, SizesError, parse_sizes
    from ..scale.catalog import BY_NAME
    from ..scale.slopes import conditions, measure, table
    from ..scale.workload import MeasurementError

    if not 0 <= repeats <= MOST_REPEATS:
        fail(f"--repeats {repeats}: out of range: 0 to {MOST_REPEATS} would be right")
    if unknown := [name for name in only or () if name not in BY_NAME]:
        fail(f"--only {unknown[0]}: no such measurement: one of {', '.join(BY_NAME)} would be right")
    given = {
        Axis.SERVERS: servers,
        Axis.AGENTS: agents,
        Axis.TENANTS: tenants,
        Axis.DUTIES: duties,
        Axis.MEMBERS: members,
    }
    try:
        sizes = {
            axis: parse_sizes(axis, text) if text is not None else RANGES[axis].default
            for axis, text in given.items()
        }
    except SizesError as error:
        fail(str(error))
    if json_file is not None:
        _writable(json_file)
    found, code, why = [], 1, ""
    try:
        for name in only or BY_NAME:
            found += measure([BY_NAME[name]], sizes, repeats, lambda line: typer.echo(line, err=True))
    except KeyboardInterrupt:
        code, why = INTERRUPTED, "ended early"
    except (MeasurementError, OSError) as error:
        why = str(error)
    if json_file is not None:
        rows = [slope.as_dict() for slope in found]
        json_file.write_text(
            json.dumps({**conditions(repeats), "slopes": rows}, indent=1) + "\n", encoding="utf-8"
        )
    print(table(found))
    if why:
        fail(f"scale slopes: {why}: what had been measured stands above", code)


@app.command()
def budget(
    file: Annotated[
        Path, typer.Argument(metavar="FILE.json", help="As `cartweir scale slopes --json` writes it.")
    ],
) -> None:
    """What measured slopes come to at the size in two years, beside the budget of each."""
    from ..scale.budget import Figures, FiguresError, table

    try:
        print(table(Figures(json.loads(file.read_text(encoding="utf-8")))))
    except OSError as error:
        fail(f"{file}: {error.strerror}: a file of `cartweir scale slopes --json` is needed")
    except FiguresError as error:
        fail(f"{file}: {error}")
    except ValueError:
        fail(f"{file}: is no JSON: a file of `cartweir scale slopes --json` is needed")


def _writable(path: Path) -> None:
    """Before minutes are spent on figures that could not be written."""
    try:
        with open(path, "a", encoding="utf-8"):
            pass
    except OSError as error:
        fail(f"--json {path}: {error.strerror}: a file that can be written would be right")
