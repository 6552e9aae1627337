"""What several groups of commands share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, NoReturn, Optional

import typer

Tap = Annotated[Optional[Path], typer.Option(help="Write what passes on each socket into this file.")]
Seed = Annotated[int, typer.Option(help="All chance comes from it.")]


def fail(text: str, code: int = 2) -> NoReturn:
    typer.echo(text, err=True)
    raise typer.Exit(code)


def open_tap(path: Path | None) -> Any:
    from ..wire.tap import FileTap

    if path is None:
        return None
    try:
        return FileTap(path)
    except OSError as error:
        fail(f"--tap {path}: {error.strerror}: a file that can be written is due")
