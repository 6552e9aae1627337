"""The time of one agent: the machine's monotonic clock in whole microseconds, and what a stall does to it."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections import deque
from collections.abc import Callable

OVERSLEPT = 10_000  # microseconds beyond its time-out by which a selector that was not stopped has returned


def monotonic() -> int:
    return time.monotonic_ns() // 1000


class ArrivalSelector(selectors.DefaultSelector):
    """The loop's selector, which knows since when the bytes of a turn may have been waiting: not before the turn
    before it, if they were there at once; not before it went to wait, if it was woken far too late (the process was
    stopped, or starved); else they came as it was woken."""

    def __init__(self) -> None:
        super().__init__()
        self._back = monotonic()
        self._overslept = False
        self._since = deque([self._back] * 3, 3)  # of this turn and the two before

    def select(self, timeout: float | None = None) -> list:
        entered = monotonic()
        found = super().select(timeout)
        back = monotonic()
        overslept = timeout is not None and back > entered + int(timeout * 1e6) + OVERSLEPT
        if overslept:
            since = entered
        elif self._overslept:  # a wait that was broken off has not even looked
            since = self._since[-1]
        else:
            since = self._back if back - entered < 200 else back
        self._since.append(since)
        self._back, self._overslept = back, overslept
        return found

    @property
    def since(self) -> int:
        """Of what is dealt with now: bytes are read in one turn, and dealt with up to two turns later."""
        return min(self._since)


class Clock:
    """Told by beat() every `heartbeat`, so that no turn waits longer than that. `turns` is the selector of the loop
    that runs; without one, what is dealt with now is taken to have come now."""

    def __init__(
        self, heartbeat: int, turns: ArrivalSelector | None = None, read: Callable[[], int] = monotonic
    ) -> None:
        self.heartbeat, self.turns, self.now = heartbeat, turns, read
        self.last = self.now()

    def measure_stall(self) -> int:
        """Returns by how long the process was held up, 0 for not at all."""
        now, due = self.now(), self.last + self.heartbeat
        self.last = now
        return now - due if now > due + self.heartbeat else 0

    def arrival_time(self) -> int:
        """The earliest moment at which what is dealt with now may have come in: no client is promised time that
        it has not got."""
        return self.now() if self.turns is None else min(self.turns.since, self.now())


def new_event_loop() -> asyncio.AbstractEventLoop:
    """A loop whose clock knows its turns."""
    return asyncio.SelectorEventLoop(ArrivalSelector())


def arrival_selector(running: asyncio.AbstractEventLoop) -> ArrivalSelector | None:
    selector = getattr(running, "_selector", None)
    return selector if isinstance(selector, ArrivalSelector) else None
