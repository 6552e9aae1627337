"""The clock of one agent: the monotonic clock in whole microseconds, and what a stall does to it."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections import deque
from collections.abc import Callable

OVERSLEEP_US = 10_000  # a select that returns so long after its timeout was held up by a stall
BUSY_SELECT_US = 200  # a select that returns sooner found its events already there


def monotonic() -> int:
    """Returns the machine's monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


class ArrivalSelector(selectors.DefaultSelector):
    """An event loop's selector that knows the earliest time at which the data of a turn may have arrived.

    Data that was there as soon as the selector was asked cannot have arrived before the turn before. If the
    selector returned much later than its timeout, the process was stopped or starved, and the data may have
    arrived at any time since the selector began to wait. Otherwise it arrived when the selector returned.
    """

    def __init__(self) -> None:
        super().__init__()
        self._back = monotonic()  # when the latest select returned
        self._overslept = False
        self._since = deque([self._back] * 3, 3)  # of this turn and the two before

    def select(self, timeout: float | None = None) -> list:
        """Waits for events, and records since when their data may have been waiting."""
        entered = monotonic()
        found = super().select(timeout)
        back = monotonic()
        overslept = timeout is not None and back > entered + int(timeout * 1e6) + OVERSLEEP_US
        if overslept:
            since = entered
        elif self._overslept:  # the select that was held up has not looked for events after it
            since = self._since[-1]
        else:
            since = self._back if back - entered < BUSY_SELECT_US else back
        self._since.append(since)
        self._back, self._overslept = back, overslept
        return found

    @property
    def since(self) -> int:
        """The earliest time at which the data in hand may have arrived.

        Data is read in one turn of the loop and handled up to two turns later.
        """
        return min(self._since)


class Clock:
    """The time of an agent, and how long its process was held up.

    `measure_stall` has to be called every `heartbeat`, which also keeps any turn of the loop from waiting
    longer.

    Attributes:
        heartbeat: The interval of the calls, in microseconds.
        arrivals: The selector of the running loop. Without one, data counts as having arrived when it is
            handled.
        now: Reads the clock, in microseconds.
        last: When the latest heartbeat was.
    """

    def __init__(
        self, heartbeat: int, arrivals: ArrivalSelector | None = None, read: Callable[[], int] = monotonic
    ) -> None:
        self.heartbeat = heartbeat
        self.arrivals = arrivals
        self.now = read
        self.last = self.now()

    def measure_stall(self) -> int:
        """Returns for how many microseconds the process was held up since the last call; 0 if it was not."""
        now, due = self.now(), self.last + self.heartbeat
        self.last = now
        return now - due if now > due + self.heartbeat else 0

    def arrival_time(self) -> int:
        """Returns the earliest time at which the data in hand may have arrived.

        A client's time limit counts from then, so that none is promised time that it does not have.
        """
        return self.now() if self.arrivals is None else min(self.arrivals.since, self.now())


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop with an `ArrivalSelector`."""
    return asyncio.SelectorEventLoop(ArrivalSelector())


def arrival_selector(running: asyncio.AbstractEventLoop) -> ArrivalSelector | None:
    """Returns the loop's `ArrivalSelector`, or None if it has another selector."""
    selector = getattr(running, "_selector", None)
    return selector if isinstance(selector, ArrivalSelector) else None
