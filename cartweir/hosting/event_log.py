"""The callback through which the parts of an agent log events."""

from __future__ import annotations

from typing import Any, Protocol


class EventLogger(Protocol):
    """Logs an event with its fields.

    Operators' tools read the names of events and fields.
    """

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        """Logs an event.

        Args:
            event: The event's name.
            level: `debug`, `info`, `warning` or `error`.
            fields: The event's fields.
        """
