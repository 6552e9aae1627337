"""Keeps what clients can cause from flooding the log: a few lines in each interval, the others counted."""

from __future__ import annotations

LINES_PER_INTERVAL = 10
INTERVAL = 1_000_000  # microseconds


class LogLimiter:
    """Lets a few lines of one kind through in each interval.

    Attributes:
        suppressed: Lines that were not let through since the last one that was.
    """

    def __init__(self) -> None:
        self.suppressed = 0
        self._interval, self._lines = 0, 0

    def allows(self, now: int) -> bool:
        """Returns whether a line may be written now, in microseconds; counts one that may not."""
        interval = now // INTERVAL
        if interval != self._interval:
            self._interval, self._lines = interval, 0
        self._lines += 1
        if self._lines > LINES_PER_INTERVAL:
            self.suppressed += 1
            return False
        return True

    def take_suppressed(self) -> int:
        """Returns the number of suppressed lines, and counts anew."""
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed
