"""When the supervisor kills a hung child process and restarts one. No I/O; times are microseconds."""

from __future__ import annotations

import random

MS, S = 1_000, 1_000_000
MIN_BACKOFF = 20 * MS
MAX_BACKOFF = S
STABLE_TIME = 10 * S  # a child that ran longer than this is restarted at once


class RestartPolicy:
    """Hang detection and restart backoff of one child process.

    Args:
        hang_time: A child whose event loop has not sent a heartbeat for longer than this hangs.
        chance: Source of the jitter.

    Attributes:
        last_heartbeat: When the last heartbeat arrived.
        started_at: When the child was last started.
    """

    def __init__(self, hang_time: int, chance: random.Random) -> None:
        self.hang_time, self.chance = hang_time, chance
        self.last_heartbeat = self.started_at = 0
        self._backoff = 0

    def record_start(self, now: int) -> None:
        """Records that the child was started."""
        self.started_at = self.last_heartbeat = now

    def is_hung(self, now: int, lag: int) -> bool:
        """Returns whether the child hangs.

        Args:
            now: Present time.
            lag: How late the supervisor itself runs, which delays the reading of heartbeats as well.
        """
        return now - self.last_heartbeat - lag > self.hang_time

    def next_start(self, now: int) -> int:
        """Returns when to restart a child that has just ended.

        The first restart is immediate; then the backoff doubles until a child runs for `STABLE_TIME`.
        """
        was_stable = now - self.started_at > STABLE_TIME
        wait = 0 if was_stable else self._backoff
        self._backoff = (
            MIN_BACKOFF if was_stable or not self._backoff else min(2 * self._backoff, MAX_BACKOFF)
        )
        return now + (self.chance.randrange(wait // 2, wait + 1) if wait else 0)
