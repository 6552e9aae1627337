"""What one instance remembers: plain fields and counters, no decision and no tuned value."""
from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

from .interface import Appliance, Invocation, Stage


class Histogram:
    """Counts in a few coarse bins, halved whenever they reach `most`."""

    def __init__(self, edges: Sequence[int], most: int) -> None:
        self.edges, self.most = edges, most
        self.bins, self.total = [0.0] * (len(edges) + 1), 0.0

    def add(self, value: int) -> None:
        self.bins[bisect_left(self.edges, value)] += 1
        self.total += 1
        if self.total >= self.most:
            self.bins, self.total = [n / 2 for n in self.bins], self.total / 2

    def edge(self, share: float) -> int:
        """The upper edge of the bin below which that share lies."""
        place = next(i for i, below in enumerate(accumulate(self.bins)) if below >= share * self.total)
        return self.edges[min(place, len(self.edges) - 1)]


@dataclass(eq=False, slots=True)
class Notes:
    """On one appliance."""
    open: int = 0                   # own dispatches out
    good: float = 0.0               # recent outcomes, halved now and then
    bad: float = 0.0
    shut_until: int = 0
    strikes: int = 0
    silences: int = 0               # silent ends since its last answer
    unanswered: int = 0             # when the first dispatch since its last answer was sent
    sampled: int = 0                # when its slowness was last taken as evidence
    load: float = 0.0               # as reported, with own dispatches since
    load_at: int = 0
    heard: int = 0                  # when it last answered
    probed: int = 0                 # when it was last probed

    def bad_share(self) -> float:
        return self.bad / (self.good + self.bad + 2)


@dataclass(eq=False)
class Memory:
    """Of one instance."""
    host: Any
    known: Mapping[str, Any]        # the settings
    chance: Any
    fleet: list[Appliance] = field(default_factory=list)        # ready ones
    trial: list[Appliance] = field(default_factory=list)        # of them: builds on trial
    earlier: list[Appliance] = field(default_factory=list)      # the others
    cold: list[Appliance] = field(default_factory=list)
    places: float = 1.0             # weight of the machines that bear the usual traffic
    stage: Stage | None = None
    stage_since: int = 0
    undecided_since: int = 0        # when evidence was first undecided in this stage
    vote: tuple | None = None       # build, stage, verdict: standing or about to be cast
    votes: bool = False             # this instance is one of the voters of the stage
    may_recast: bool = False
    subscribed: bool = False
    bound_keys: dict[str, int] = field(default_factory=dict)    # one-way keys -> newest build that answered
    held: list[Invocation] = field(default_factory=list)
    probing: list[Invocation] = field(default_factory=list)     # held until a probe is answered
    open: int = 0                   # own dispatches out
    limit: float = 0.0              # and their bound
    crawling: bool = False          # the latest answer was slow
    spare_retries: float = 0.0
    probes_answered: float = 1.0    # share of the latest
    watch: float = 0.0              # this instance's lot among watchers of a trial
    pace: float = 0.0               # invocations taken in an exposure window
    taken: int = 0                  # since last looked
    credit: float = 0.0             # dispatches earned at cold machines
    asked: float = 0.0              # invocations taken, and succeeded; halved now and then
    answered: float = 0.0
    relay: list[int] = field(default_factory=list)              # counts of others to be told
