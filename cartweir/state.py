"""What one instance remembers: plain fields and counters, no decision and no tuned value."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

from .interface import (
    CANCELLED,
    ERROR,
    FULL,
    OBSOLETE,
    RESET,
    SUCCEEDED,
    TIMEOUT,
    UNCONNECTED,
    Appliance,
    Invocation,
    Stage,
)


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


@dataclass(eq=False)
class Counts:
    """Of one stream of evidence: its block size, prior width and what came in."""

    block: int
    width: float
    half: float = 0.5  # half a failure, as this stream counts
    level: float = 0.0  # of an error by this agent alone
    of: str = ""  # whose answers it counts, and what in them
    least: float = 3.0  # half failures of the trial from which on an open block counts
    totals: list[float] = field(default_factory=lambda: [0.0] * 4)  # A, S, outcomes, failures
    blocks: int = 0  # closed ones
    counts: list[float] = field(default_factory=lambda: [0, 0])  # of the open one: earlier, trial
    failures: list[float] = field(default_factory=lambda: [0.0, 0.0])
    last_earlier: tuple[float, float] = (0, 0.0)  # earlier side of the last closed one

    def __str__(self) -> str:
        sides = " against ".join(f"{self.failures[side]:.0f} of {self.counts[side]:.0f}" for side in (1, 0))
        return f"{self.of}: {self.blocks} blocks of {self.block}, open {sides}"


class Ledger:
    """Counts to be told to others: for each kind answers of earlier builds and the trial, then failures of both."""

    def __init__(self, figures: Sequence[int] = (0,) * 12) -> None:
        self.figures = list(figures)

    def note(self, kind: int, trial: bool, count: int, failures: int) -> None:
        self.figures[4 * kind + trial] += count
        self.figures[4 * kind + 2 + trial] += failures

    def merge(self, figures: Sequence[int]) -> None:
        self.figures = [old + new for old, new in zip(self.figures, figures)]

    def take(self) -> list[int]:
        figures, self.figures = self.figures, [0] * len(self.figures)
        return figures

    def of_trial(self) -> bool:
        return any(self.figures[1::2])

    def rows(self) -> Iterator[tuple[int, bool, int, int]]:
        """Kind, trial, count, failures."""
        for at in range(0, len(self.figures), 4):
            for trial in (0, 1):
                if self.figures[at + trial] or self.figures[at + 2 + trial]:
                    yield at // 4, bool(trial), self.figures[at + trial], self.figures[at + 2 + trial]


@dataclass(eq=False, slots=True)
class Notes:
    """On one appliance."""

    open_dispatches: int = 0  # own dispatches out
    good: float = 0.0  # recent outcomes, halved now and then
    bad: float = 0.0
    closed_until: int = 0
    closures: int = 0
    unanswered_count: int = 0  # silent ends since its last answer
    load: float = 0.0  # as reported, with own dispatches since
    load_at: int = 0
    heard: int = 0  # when it last answered
    probed: int = 0  # when it was last probed
    told_in: tuple | None = None  # stage in which it was last counted against the time before
    linked: int = 0  # when it last showed an open connection; 0: none is known

    def note(self, how: str, most: int) -> None:
        """One of our dispatches has ended; at `most` outcomes the counts are halved."""
        self.open_dispatches -= 1
        if how in (SUCCEEDED, ERROR, FULL):
            self.unanswered_count = 0
        elif how in (TIMEOUT, RESET, UNCONNECTED):
            self.unanswered_count += 1
        if how == SUCCEEDED:
            self.good, self.closures = self.good + 1, 0
        elif how not in (CANCELLED, OBSOLETE):
            self.bad += 1
        if self.good + self.bad >= most:
            self.good, self.bad = self.good / 2, self.bad / 2

    def bad_share(self) -> float:
        return self.bad / (self.good + self.bad + 2)


@dataclass(eq=False)
class Memory:
    """Of one instance."""

    host: Any
    settings: Mapping[str, Any]  # the settings
    chance: Any
    fleet: list[Appliance] = field(default_factory=list)  # ready ones
    trial: list[Appliance] = field(default_factory=list)  # of them: builds on trial
    earlier: list[Appliance] = field(default_factory=list)  # the others
    cold: list[Appliance] = field(default_factory=list)
    lowest_build: int = 0  # of the ready ones
    alone: bool = True  # no machine of an earlier build is left
    places: float = 1.0  # weight of the machines that bear the usual traffic
    stage: Stage | None = None
    stage_since: int = 0
    due: float = 0.0  # machines that the stage is to have
    undecided_since: int = 0  # when evidence was first undecided in this stage
    current_vote: tuple | None = None  # build, stage, verdict: standing or about to be cast
    is_voter: bool = False  # this instance is one of the voters of the stage
    may_recast: bool = False
    cast_at: int = 0  # when it was last cast
    subscribed: bool = False
    failed_calls: int = 0  # calls to discovery without an answer, since its last list
    next_subscribe_at: int = 0  # when discovery is next asked, unless it tells something before
    bound_keys: dict[str, int] = field(default_factory=dict)  # one-way keys -> newest build that answered
    bound_keys_incomplete: bool = False  # a life before this one may have bound others
    recent: deque[str] = field(default_factory=lambda: deque(maxlen=128))  # one-way keys taken of late
    pace: float = 0.0  # dispatches at cold machines that an invocation earns
    owed: float = 0.0  # dispatches that the trial's part comes to, less those it got
    keys_out: dict[tuple, list[int]] = field(default_factory=dict)  # key, build -> when what is out was sent
    held: list[Invocation] = field(default_factory=list)
    open_dispatches: int = 0  # own dispatches out
    concurrency_limit: float = 0.0  # and their bound
    crawling: bool = False  # the latest answer was slow
    retry_budget: float = 0.0
    links: dict[str, float] = field(default_factory=dict)  # zone -> share that got no connection of late
    strain: float = 0.0  # share of late answers in the own zone of late
    probes_answered: float = 1.0  # share of the latest
    probes_report_load: bool = True  # of a load
    cold_credit: float = 0.0  # dispatches earned at cold machines
    asked: float = 0.0  # invocations taken, and succeeded; halved now and then
    answered: float = 0.0
    relay: Ledger = field(default_factory=Ledger)  # counts of others to be told
