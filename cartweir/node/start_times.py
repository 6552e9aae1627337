"""Dates the starts of servers on the monotonic clock. No I/O.

Discovery tells a start as Unix time, and this machine's wall clock may be stepped at any moment, also before
the agent started. So it is never read: Unix times are compared with each other alone. A start counts from the
moment at which it is learnt, and the starts of the first list from the latest of them. No server is taken for
older than it is.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

LONG_AGO = 0  # in place of a start on either clock


@dataclass(frozen=True, slots=True)
class ServerStart:
    """A start of a server, as discovery tells it.

    Attributes:
        name: The server.
        since: Unix time of the start in milliseconds; `LONG_AGO`; None where it is not told.
        build: The build that has started; None where it is not told.
    """

    name: str
    since: float | None
    build: int | None


class StartTimes:
    """The starts of the servers that are listed."""

    def __init__(self) -> None:
        self._known: dict[str, tuple[ServerStart, int]] = {}  # with the time on the monotonic clock
        self._first = True

    def date(self, starts: Iterable[ServerStart], now: int) -> list[int]:
        """Returns when servers started, in microseconds of the monotonic clock.

        Args:
            starts: The starts in one message of discovery.
            now: The present.
        """
        told = list(starts)
        latest = max((start.since or LONG_AGO for start in told), default=LONG_AGO)
        dated = [self._date(start, now, latest) for start in told]
        self._known.update((start.name, (start, at)) for start, at in zip(told, dated, strict=True))
        self._first = self._first and not told
        return dated

    def _date(self, start: ServerStart, now: int, latest: float) -> int:
        known, known_at = self._known.get(start.name, (None, LONG_AGO))
        if start.since == LONG_AGO or (start.since is None and self._first):
            return LONG_AGO
        if known is not None and known.build == start.build and start.since in (known.since, None):
            return known_at
        age = round((latest - start.since) * 1000) if self._first else 0
        return max(1, now - age)

    def forget(self, name: str) -> None:
        """Forgets a server that is no longer listed."""
        self._known.pop(name, None)
