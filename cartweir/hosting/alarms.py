"""The alarms that an engine asks for, on the loop's clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop


class AlarmScheduler:
    """`callback` is called at each moment that was asked for, or soon after."""

    def __init__(self, loop: IOLoop, now: Callable[[], int], callback: Callable[[], None]) -> None:
        self.loop, self.now, self.callback = loop, now, callback
        self._next: tuple[int, Any] | None = None
        self._dues: list[int] = []

    def schedule(self, due: int) -> None:
        """Each one that is asked for fires: the engine may have run what an earlier one was for, and asked anew."""
        heapq.heappush(self._dues, due)
        self._schedule()

    def _schedule(self) -> None:
        if self._dues and (self._next is None or self._dues[0] < self._next[0]):
            if self._next is not None:
                self.loop.remove_timeout(self._next[1])
            due = self._dues[0]
            self._next = (due, self.loop.call_later(max(0, due - self.now()) / 1e6, self._fire))

    def _fire(self) -> None:
        """The loop's clock is finer than ours: it may wake us up to 1 us early, and then is asked again."""
        self._next, now, due = None, self.now(), False
        while self._dues and self._dues[0] <= now:
            heapq.heappop(self._dues)
            due = True
        try:
            if due:
                self.callback()
        finally:  # whatever goes wrong there, the next one fires
            self._schedule()
