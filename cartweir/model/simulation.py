"""A world of simulated time: one heap of events, clocks that run off, a network that loses, holds, doubles and cuts, disks
that forget what was not synced. One seed replays all."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from ..fleet.raft.records import PersistentState, Record


class World:
    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now = 0  # microseconds, true time
        self.events = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []

    def at(self, when: int, do: Callable[[], None]) -> None:
        self.events += 1
        heapq.heappush(self._heap, (max(when, self.now), self.events, do))

    def after(self, wait: int, do: Callable[[], None]) -> None:
        self.at(self.now + wait, do)

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, do = heapq.heappop(self._heap)
            do()
        self.now = until


class Clock:
    """One machine's monotonic clock: off by a start and a rate; may jump ahead, never goes back."""

    def __init__(self, world: World, start: int, rate: float) -> None:
        self.world, self.start, self.rate = world, start, rate

    def mono(self) -> int:
        return self.start + int(self.world.now * self.rate)

    def true_wait(self, until: int) -> int:
        """True time until mono() reads `until`."""
        return max(0, int((until - self.mono()) / self.rate) + 1)


class Disk:
    """What is saved and not yet synced is lost in a crash, but for a part of it from the front."""

    def __init__(self, world: World, kept: PersistentState, honest: bool = True) -> None:
        self.world, self.kept, self.honest = world, kept, honest
        self.slow = 1.0
        self._pending: list[Record] = []

    def wait(self) -> int:
        return int(self.world.chance.choice((200, 500, 1_000, 3_000, 20_000)) * self.slow)

    def write(self, saves: list[Record]) -> None:
        self._pending += saves

    def sync(self) -> None:
        """An fsync that lies (a seeded fault) leaves all where a crash loses it."""
        if self.honest:
            for save in self._pending:
                self.kept.add(save)
            self._pending = []

    def crash(self) -> None:
        for save in self._pending[: self.world.chance.randint(0, len(self._pending))] if self.honest else ():
            self.kept.add(save)
        self._pending = []


class Network:
    """Between named places. cut: pairs (from, to) over which nothing comes; hold: pairs whose words wait."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.cut: set[tuple[str, str]] = set()
        self.held: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self.loss, self.double, self.slow = 0.0, 0.0, 1.0
        self.sent = 0

    def send(self, sender: str, to: str, deliver: Callable[[], None]) -> None:
        chance, pair = self.world.chance, (sender, to)
        self.sent += 1
        if pair in self.held:
            self.held[pair].append(deliver)
            return
        for _ in range(1 + (chance.random() < self.double)):
            if chance.random() >= self.loss:
                wait = int(chance.expovariate(1 / 800) * self.slow) + 200
                self.world.after(wait, lambda: pair not in self.cut and deliver())

    def release(self, pair: tuple[str, str]) -> None:
        for deliver in self.held.pop(pair, []):
            self.world.after(self.world.chance.randrange(1, 2_000), deliver)


Note = Callable[..., Any]
