"""A discrete-event simulation with clocks, disks and a network; one seed reproduces a whole run.

Clocks drift and jump, the network loses, delays, duplicates and blocks messages, and a disk loses in a crash
what was not synced. Times are whole microseconds.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from ..fleet.raft.records import PersistentState, Record

WRITE_TIMES = (200, 500, 1_000, 3_000, 20_000)  # microseconds for a write and its fsync
MEAN_LATENCY = 800  # microseconds for a message, beside the least latency
LEAST_LATENCY = 200  # microseconds
LONGEST_RELEASE_DELAY = 2_000  # microseconds until a held message arrives once it is released


class Simulator:
    """The queue of events, and the source of all randomness.

    Attributes:
        rng: draws everything that is random.
        now: the true time.
        event_count: the events scheduled so far, which orders events at the same time.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0
        self.event_count = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        """Schedules a call at a time, or now if that has passed."""
        self.event_count += 1
        heapq.heappush(self._heap, (max(when, self.now), self.event_count, callback))

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Schedules a call after a delay."""
        self.call_at(self.now + delay, callback)

    def run(self, until: int) -> None:
        """Runs all events up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until


class Clock:
    """The monotonic clock of one machine: it has a start and a rate of its own, and may jump forward."""

    def __init__(self, simulator: Simulator, start: int, rate: float) -> None:
        self.simulator, self.start, self.rate = simulator, start, rate

    def monotonic(self) -> int:
        """Returns what the clock shows now."""
        return self.start + int(self.simulator.now * self.rate)

    def true_delay(self, until: int) -> int:
        """Returns the true time until the clock shows `until`."""
        return max(0, int((until - self.monotonic()) / self.rate) + 1)


class Disk:
    """The disk of one member; a crash keeps a random number of the first records that were not synced.

    Attributes:
        state: what the synced records add up to.
        honors_fsync: False is a seeded fault: an fsync does nothing, so a crash loses every record.
        slowdown: the factor by which writes take longer.
    """

    def __init__(self, simulator: Simulator, state: PersistentState, honors_fsync: bool = True) -> None:
        self.simulator, self.state, self.honors_fsync = simulator, state, honors_fsync
        self.slowdown = 1.0
        self.unsynced: list[Record] = []

    def draw_write_time(self) -> int:
        """Returns how long the next write takes."""
        return int(self.simulator.rng.choice(WRITE_TIMES) * self.slowdown)

    def write(self, records: list[Record]) -> None:
        """Writes records, which are not synced yet."""
        self.unsynced += records

    def sync(self) -> None:
        """Makes the written records durable, if the disk honors fsync."""
        if self.honors_fsync:
            for record in self.unsynced:
                self.state.add(record)
            self.unsynced = []

    def crash(self) -> None:
        """Drops the records that are not durable."""
        kept = self.unsynced[: self.simulator.rng.randint(0, len(self.unsynced))] if self.honors_fsync else ()
        for record in kept:
            self.state.add(record)
        self.unsynced = []


class Network:
    """Links between named places.

    Attributes:
        blocked: pairs (from, to) whose messages are lost.
        held: by pair, the messages that wait until the pair is released.
        loss, duplication: the probability that a message is lost, or is sent twice.
        slowdown: the factor by which messages take longer.
        sent: the number of messages.
    """

    def __init__(self, simulator: Simulator) -> None:
        self.simulator = simulator
        self.blocked: set[tuple[str, str]] = set()
        self.held: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self.loss, self.duplication, self.slowdown = 0.0, 0.0, 1.0
        self.sent = 0

    def send(self, sender: str, to: str, deliver: Callable[[], None]) -> None:
        """Sends a message: `deliver` is called when, and as often as, it arrives."""
        rng, pair = self.simulator.rng, (sender, to)
        self.sent += 1
        if pair in self.held:
            self.held[pair].append(deliver)
            return
        for _ in range(1 + (rng.random() < self.duplication)):
            if rng.random() >= self.loss:
                latency = int(rng.expovariate(1 / MEAN_LATENCY) * self.slowdown) + LEAST_LATENCY
                self.simulator.call_later(latency, lambda: pair not in self.blocked and deliver())

    def release(self, pair: tuple[str, str]) -> None:
        """Delivers the held messages of a pair, in random order, and holds no more of them."""
        for deliver in self.held.pop(pair, []):
            delay = self.simulator.rng.randrange(1, LONGEST_RELEASE_DELAY)
            self.simulator.call_later(delay, deliver)
