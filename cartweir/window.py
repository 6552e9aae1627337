"""A budget over a sliding window: in any span of time within it, a share of what was taken may be sent.

It makes no decision and has no tuned value: who may send, at what cap, is decided in `cartweir.logic`.
"""

from __future__ import annotations

from collections import deque
from math import inf

EQUAL_WITHIN = 1e-6  # bounds that differ by no more are the same bound
ROUNDING_MARGIN = 1e-9  # subtracted from what is allowed, because sums are rounded


class WindowBudget:
    """Keeps the sends of every span of a window within free + cap x taken.

    This includes spans that end between events. For the i-th send, count - i <= free + cap x (taken - taken
    at it) has to hold. The tightest of these bounds is kept, and searched for again only when it may have
    left.

    Attributes:
        window: length in microseconds.
        free: sends that are allowed although nothing was taken.
        taken: number of invocations taken so far.
        sends: for each send in the window, its time and `taken` at that time.
    """

    def __init__(self, window: int, free: float) -> None:
        self.window = window
        self.free = free
        self.taken = 0
        self.sends: deque[list[int]] = deque()
        self._departed = 0  # sends that have left the window since the bounds were last recomputed
        self._taken_before = 0  # value of `taken` from which the bounds count
        self._tightest = -inf  # the largest value of cap x (taken at a send - _taken_before) - its number
        self._cap: float | None = None  # the cap that _tightest is valid for; None: to be recomputed

    def take(self, now: int) -> None:
        """Counts an invocation, which allows for further sends."""
        self.taken += 1
        for send in reversed(self.sends):  # others do not know the order of events at one time
            if send[0] != now:
                break
            send[1] = self.taken
            self._cap = None

    def add(self, now: int) -> list[int]:
        """Counts a send; returns the entry by which `drop` takes it back."""
        send = [now, self.taken]
        self.sends.append(send)
        if self._cap is not None:
            number = self._departed + len(self.sends) - 1
            self._tightest = max(self._tightest, self._cap * (self.taken - self._taken_before) - number)
        return send

    def drop(self, send: list[int] | None) -> None:
        """Takes back a send that did not happen."""
        if send in self.sends:
            self.sends.remove(send)
            self._cap = None

    def room(self, now: int, cap: float) -> bool:
        """Returns whether one more send at this cap keeps every span within its bound."""
        self._forget_before(now - self.window)
        if self._cap != cap:
            self._recompute(cap)
        count = self._departed + len(self.sends) + 1
        allowed = self.free + cap * (self.taken - self._taken_before) - ROUNDING_MARGIN
        return cap > 0 and self.free >= 1 and count + self._tightest <= allowed

    def _forget_before(self, start: int) -> None:
        while self.sends and self.sends[0][0] < start:
            taken = self.sends.popleft()[1]
            self._departed += 1
            if self._cap is None:
                continue
            bound = self._cap * (taken - self._taken_before) - (self._departed - 1)
            if bound >= self._tightest - EQUAL_WITHIN:
                self._cap = None

    def _recompute(self, cap: float) -> None:
        self._cap = cap
        self._departed = 0
        self._taken_before = self.sends[0][1] if self.sends else self.taken
        bounds = (cap * (taken - self._taken_before) - number for number, (_, taken) in enumerate(self.sends))
        self._tightest = max(bounds, default=-inf)
