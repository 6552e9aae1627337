"""Exponential backoff between attempts to connect."""

from __future__ import annotations

import random


class Backoff:
    """Delays that double from a minimum to a maximum, each with random jitter.

    The jitter takes off up to half of a delay, so that clients that lost a server together do not return
    together.

    Attributes:
        least: The first delay, in microseconds.
        most: The longest delay, in microseconds.
        rng: The source of the jitter.
    """

    def __init__(self, least: int, most: int, rng: random.Random) -> None:
        self.least = least
        self.most = most
        self.rng = rng
        self._next = least

    def next_delay(self) -> float:
        """Returns the seconds to wait before the next attempt, and doubles the delay behind it."""
        delay, self._next = self._next, min(2 * self._next, self.most)
        return delay * (0.5 + self.rng.random() / 2) / 1e6

    def reset(self) -> None:
        """Starts from the shortest delay again, after a connection that worked."""
        self._next = self.least
