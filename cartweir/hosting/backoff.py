"""Waits between tries to connect."""

from __future__ import annotations

import random


class Backoff:
    """Of tries to connect: doubling from the least to the most, each cut by chance to at least half."""

    def __init__(self, least: int, most: int, chance: random.Random) -> None:
        self.least, self.most, self.chance = least, most, chance
        self._next = least

    def next_delay(self) -> float:
        """Seconds to wait before the next try."""
        wait, self._next = self._next, min(2 * self._next, self.most)
        return wait * (0.5 + self.chance.random() / 2) / 1e6

    def reset(self) -> None:
        self._next = self.least
