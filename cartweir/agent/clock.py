"""The time of one agent: the machine's monotonic clock in whole microseconds, and what a stall does to it."""
from __future__ import annotations

import time
from collections.abc import Callable


def monotonic() -> int:
    return time.monotonic_ns() // 1000


class Clock:
    """Told by beat() every `heartbeat` while the process runs. If it did not run for twice that (stopped, or
    starved), what is read up to the next beat in time may have waited since then; arrived() then gives the
    earliest moment, so that no client is promised time that it has not got."""

    def __init__(self, heartbeat: int, read: Callable[[], int] = monotonic) -> None:
        self.heartbeat, self.now = heartbeat, read
        self.last = self.now()
        self._since: int | None = None      # start of the gap that the latest beat ended

    def beat(self) -> int:
        """Returns by how long the process was held up, 0 for not at all."""
        now, due = self.now(), self.last + self.heartbeat
        self.last = now
        self._since = due if now > due + self.heartbeat else None
        return now - due if self._since is not None else 0

    def arrived(self) -> int:
        now = self.now()
        if now > self.last + 2 * self.heartbeat:        # no beat yet since the gap
            return self.last + self.heartbeat
        return now if self._since is None else self._since
