"""A fault of the program's own: told with its place, and the process goes on."""

from __future__ import annotations

import traceback
from collections.abc import Callable


def log_internal_error(log_event: Callable[..., None], what: str | None, error: BaseException | None) -> None:
    where = traceback.extract_tb(error.__traceback__)[-1] if error and error.__traceback__ else None
    log_event(
        "internal_error",
        level="error",
        what=what,
        error=repr(error)[:200],
        where=f"{where.filename.rpartition('/')[2]}:{where.name}:{where.lineno}" if where else None,
    )
