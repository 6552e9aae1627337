"""What one instance of the decisions remembers: plain fields and counters, no decision and no tuned value."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any, NamedTuple

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
    Host,
    Invocation,
    Operation,
    Stage,
)
from .window import WindowBudget

# kinds of counts that agents share
FLAG_COUNTS = 0  # answers that were reported as wrong
SLOW_COUNTS = 1
ERROR_COUNTS = 2

COUNT_KINDS = 3
COUNTS_PER_KIND = 4  # answers of earlier builds and of the trial, then the failures of both


class Histogram:
    """Counts values in a few coarse bins; all counts are halved whenever their sum reaches a maximum.

    Attributes:
        edges: upper edges of all bins but the last.
        max_total: the sum of the counts at which they are halved.
        bins: the counts.
        total: their sum.
    """

    def __init__(self, edges: Sequence[int], max_total: int) -> None:
        self.edges, self.max_total = edges, max_total
        self.bins, self.total = [0.0] * (len(edges) + 1), 0.0

    def add(self, value: int) -> None:
        """Counts a value."""
        self.bins[bisect_left(self.edges, value)] += 1
        self.total += 1
        if self.total >= self.max_total:
            self.bins, self.total = [count / 2 for count in self.bins], self.total / 2

    def quantile(self, share: float) -> int:
        """Returns the upper edge of the bin below which this share of the values lies."""
        place = next(i for i, below in enumerate(accumulate(self.bins)) if below >= share * self.total)
        return self.edges[min(place, len(self.edges) - 1)]


@dataclass(eq=False)
class StreamCounts:
    """Counts of one stream of evidence, in blocks of outcomes.

    Attributes:
        block: trial outcomes that close a block.
        prior_width: standard deviation of the Normal prior.
        half_failure: half a failure, in the unit in which this stream counts failures.
        level: probability at which this agent alone may be wrong.
        label: which operation and stream it counts, for the log.
        min_half_failures: half failures of the trial above which an open block counts.
        totals: sums over the closed blocks: precision, weighted difference, outcomes, failures.
        blocks: number of closed blocks.
        counts: outcomes in the open block: of the earlier builds, of the trial.
        failures: failures in the open block, likewise.
        last_earlier: outcomes and failures of the earlier builds in the block closed last.
    """

    block: int
    prior_width: float
    half_failure: float = 0.5
    level: float = 0.0
    label: str = ""
    min_half_failures: float = 3.0
    totals: list[float] = field(default_factory=lambda: [0.0] * 4)
    blocks: int = 0
    counts: list[float] = field(default_factory=lambda: [0, 0])
    failures: list[float] = field(default_factory=lambda: [0.0, 0.0])
    last_earlier: tuple[float, float] = (0, 0.0)

    def __str__(self) -> str:
        sides = " against ".join(f"{self.failures[side]:.0f} of {self.counts[side]:.0f}" for side in (1, 0))
        return f"{self.label}: {self.blocks} blocks of {self.block}, open {sides}"


class CountRow(NamedTuple):
    """Answers of one kind, of the trial or of the earlier builds."""

    kind: int
    trial: bool
    count: int
    failures: int


class SharedCounts:
    """Counts that an agent sends to others.

    Attributes:
        figures: for each kind the answers of earlier builds and of the trial, then the failures of both.
    """

    def __init__(self, figures: Sequence[int] = (0,) * COUNT_KINDS * COUNTS_PER_KIND) -> None:
        self.figures = list(figures)

    def add(self, kind: int, trial: bool, count: int, failures: int) -> None:
        """Adds answers of one kind."""
        self.figures[COUNTS_PER_KIND * kind + trial] += count
        self.figures[COUNTS_PER_KIND * kind + 2 + trial] += failures

    def merge(self, figures: Sequence[int]) -> None:
        """Adds the counts of another agent."""
        self.figures = [old + new for old, new in zip(self.figures, figures, strict=False)]

    def drain(self) -> list[int]:
        """Returns the counts and sets them to 0."""
        figures, self.figures = self.figures, [0] * len(self.figures)
        return figures

    def has_trial(self) -> bool:
        """Returns whether anything of the build on trial has been counted."""
        return any(self.figures[1::2])

    def rows(self) -> Iterator[CountRow]:
        """Yields what is not 0."""
        for start in range(0, len(self.figures), COUNTS_PER_KIND):
            for trial in (0, 1):
                if self.figures[start + trial] or self.figures[start + 2 + trial]:
                    yield CountRow(
                        start // COUNTS_PER_KIND,
                        bool(trial),
                        self.figures[start + trial],
                        self.figures[start + 2 + trial],
                    )


@dataclass(eq=False, slots=True)
class ApplianceHealth:
    """What an agent has seen of one appliance.

    Attributes:
        open_dispatches: own dispatches that are outstanding.
        good: recent outcomes that succeeded; halved now and then.
        bad: recent outcomes that failed; halved now and then.
        ejected_until: until when no dispatch is sent to it (outlier ejection).
        ejections: how often in a row it was ejected.
        unanswered_count: dispatches in a row that ended without an answer.
        load: as reported, plus own dispatches since.
        load_at: when it was reported.
        last_answer_at: when the appliance last answered.
        last_probe_at: when it was last probed.
        counted_in_stage: the stage in which it was last compared with the time before.
        connected_at: when it last showed an open connection; 0 if none is known.
    """

    open_dispatches: int = 0
    good: float = 0.0
    bad: float = 0.0
    ejected_until: int = 0
    ejections: int = 0
    unanswered_count: int = 0
    load: float = 0.0
    load_at: int = 0
    last_answer_at: int = 0
    last_probe_at: int = 0
    counted_in_stage: tuple | None = None
    connected_at: int = 0

    def record(self, result: str, max_outcomes: int) -> None:
        """Counts one of our dispatches that has ended; at `max_outcomes` the counts are halved."""
        self.open_dispatches -= 1
        if result in (SUCCEEDED, ERROR, FULL):
            self.unanswered_count = 0
        elif result in (TIMEOUT, RESET, UNCONNECTED):
            self.unanswered_count += 1
        if result == SUCCEEDED:
            self.good, self.ejections = self.good + 1, 0
        elif result not in (CANCELLED, OBSOLETE):
            self.bad += 1
        if self.good + self.bad >= max_outcomes:
            self.good, self.bad = self.good / 2, self.bad / 2

    def bad_share(self) -> float:
        """Returns the share of failed outcomes, drawn towards 0 where there are few."""
        return self.bad / (self.good + self.bad + 2)


@dataclass(eq=False)
class AgentState:
    """What one instance of the decisions remembers.

    Attributes:
        host: the engine.
        settings: the settings by the names of the decisions.
        rng: the only source of chance.
        fleet: the appliances that are ready.
        trial_appliances: those of them that run a build on trial.
        earlier_appliances: the others.
        lowest_build: the lowest build of the ready ones.
        earlier_build_gone: no appliance of an earlier build is left.
        usual_weight: weight of the appliances that bear the usual traffic.
        stage: the newest build's stage; None before the first message.
        stage_since: when the stage began.
        stage_told_at: when its present state was first told.
        expected_trial_appliances: how many appliances the stage is to have.
        undecided_since: when evidence was first undecided in this stage; 0 if it was not.
        current_vote: build, stage and verdict of the vote that stands or is about to be cast.
        is_voter: this instance is one of the voters of the stage.
        may_recast: the vote may be cast once more soon after a refusal.
        vote_cast_at: when the vote was last cast.
        subscribed: discovery sends changes of the list.
        failed_calls: calls to discovery without an answer since its last list.
        next_subscribe_at: when to subscribe next, unless discovery sends something before.
        bound_keys: one-way keys, and the newest build that answered each.
        bound_keys_incomplete: an earlier process may have bound keys that are not known here.
        exposure_budgets: for each operation, the budget of sends to a build on trial.
        recent_keys: one-way keys of the latest invocations.
        trial_deficit: dispatches that the trial's share comes to, less those that it got.
        keys_out: for a one-way key, the builds of its outstanding dispatches.
        held: invocations that wait for a dispatch to be allowed.
        open_dispatches: own dispatches that are outstanding.
        concurrency_limit: bound on them.
        last_answer_slow: the latest answer took long.
        retry_budget: further dispatches that may be sent.
        connect_failures: for a zone, the recent share of dispatches that got no connection.
        late_share: recent share of late answers in the own zone.
        probe_answer_share: recent share of probes that were answered.
        probes_report_load: answers to probes contain a load report.
        taken: invocations taken; halved now and then.
        succeeded: dispatches that succeeded; halved now and then.
        relayed: counts of other agents that this one is to add up and send to all.
    """

    host: Host
    settings: Mapping[str, Any]
    rng: random.Random
    fleet: list[Appliance] = field(default_factory=list)
    trial_appliances: list[Appliance] = field(default_factory=list)
    earlier_appliances: list[Appliance] = field(default_factory=list)
    lowest_build: int = 0
    earlier_build_gone: bool = True
    usual_weight: float = 1.0
    stage: Stage | None = None
    stage_since: int = 0
    stage_told_at: int = 0
    expected_trial_appliances: float = 0.0
    undecided_since: int = 0
    current_vote: tuple | None = None
    is_voter: bool = False
    may_recast: bool = False
    vote_cast_at: int = 0
    subscribed: bool = False
    failed_calls: int = 0
    next_subscribe_at: int = 0
    bound_keys: dict[str, int] = field(default_factory=dict)
    bound_keys_incomplete: bool = False
    exposure_budgets: dict[Operation, WindowBudget] = field(default_factory=dict)
    recent_keys: deque[str] = field(default_factory=lambda: deque(maxlen=128))
    trial_deficit: float = 0.0
    keys_out: dict[str, list[int]] = field(default_factory=dict)
    held: list[Invocation] = field(default_factory=list)
    open_dispatches: int = 0
    concurrency_limit: float = 0.0
    last_answer_slow: bool = False
    retry_budget: float = 0.0
    connect_failures: dict[str, float] = field(default_factory=dict)
    late_share: float = 0.0
    probe_answer_share: float = 1.0
    probes_report_load: bool = True
    taken: float = 0.0
    succeeded: float = 0.0
    relayed: SharedCounts = field(default_factory=SharedCounts)
