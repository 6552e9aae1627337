"""Logs exceptions that are faults of the program itself; the process goes on."""

from __future__ import annotations

import traceback

from .event_log import EventLogger

MAX_ERROR_LENGTH = 200  # characters of an exception's text in the log


def log_internal_error(log_event: EventLogger, what: str | None, error: BaseException | None) -> None:
    """Logs an exception with the place in the code that raised it.

    Args:
        log_event: The callback that logs an event.
        what: What the program was doing.
        error: The exception, if there is one.
    """
    where = traceback.extract_tb(error.__traceback__)[-1] if error and error.__traceback__ else None
    log_event(
        "internal_error",
        level="error",
        what=what,
        error=repr(error)[:MAX_ERROR_LENGTH],
        where=f"{where.filename.rpartition('/')[2]}:{where.name}:{where.lineno}" if where else None,
    )
