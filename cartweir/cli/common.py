"""What several groups of commands share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, NoReturn

import typer

from ..wire.tap import FileTap

Tap = Annotated[Path | None, typer.Option(help="Write what passes on each socket into this file.")]
Seed = Annotated[int, typer.Option(help="All chance comes from it.")]


def fail(text: str, code: int = 2) -> NoReturn:
    """Ends the command with a message on standard error.

    Args:
        text: The message.
        code: The exit code.
    """
    typer.echo(text, err=True)
    raise typer.Exit(code)


def open_tap(path: Path | None) -> FileTap | None:
    """Opens the file of the option `--tap`, if given; ends the command if it cannot be written."""
    if path is None:
        return None
    try:
        return FileTap(path)
    except OSError as error:
        fail(f"--tap {path}: {error.strerror}: a file that can be written is due")
