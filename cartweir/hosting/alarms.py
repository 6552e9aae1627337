"""Runs the timers that a decision engine asks for on the clock of the event loop."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop


class AlarmScheduler:
    """Calls `callback` at each time that was asked for, or shortly after it.

    Attributes:
        loop: The event loop.
        now: The clock, in microseconds.
        callback: Called when one or more alarms are due.
    """

    def __init__(self, loop: IOLoop, now: Callable[[], int], callback: Callable[[], None]) -> None:
        self.loop = loop
        self.now = now
        self.callback = callback
        self._next: tuple[int, Any] | None = None  # time and handle of the timer that is set on the loop
        self._dues: list[int] = []

    def schedule(self, due: int) -> None:
        """Asks for an alarm at the given time, in microseconds.

        Each alarm fires, even if the engine has already run the timers of an earlier one: it may have asked
        for another in the meantime.
        """
        heapq.heappush(self._dues, due)
        self._schedule()

    def _schedule(self) -> None:
        if self._dues and (self._next is None or self._dues[0] < self._next[0]):
            if self._next is not None:
                self.loop.remove_timeout(self._next[1])
            due = self._dues[0]
            self._next = (due, self.loop.call_later(max(0, due - self.now()) / 1e6, self._fire))

    def _fire(self) -> None:
        """Calls back if an alarm is due, and sets the timer of the next one.

        The loop's clock is finer than ours, so it may fire up to 1 us early; the timer is then set again.
        """
        self._next, now, due = None, self.now(), False
        while self._dues and self._dues[0] <= now:
            heapq.heappop(self._dues)
            due = True
        try:
            if due:
                self.callback()
        finally:  # an exception in the callback must not keep the next alarm from firing
            self._schedule()
