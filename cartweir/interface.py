"""The types that pass between the decisions (logic.py) and whoever hosts them (engine.py).

Times are whole microseconds on the host's clock. Objects point to each other; ids stay at the door.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING = "idempotent", "fingerprinted", "side-effecting"
READY, DRAINING, GONE = "ready", "draining", "gone"
ON_TRIAL, GOING_BACK, RELEASED, WITHDRAWN = "on trial", "going back", "released", "withdrawn"
NO_VOTE, ON, HOLD, BACK = "none", "on", "hold", "back"
# How a dispatch ended. The last three prove that it never ran.
SUCCEEDED, ERROR, TIMEOUT, RESET, CANCELLED = "succeeded", "error", "timeout", "reset", "cancelled"
FULL, UNCONNECTED, OBSOLETE = "full", "unconnected", "moot"
NEVER_RAN = frozenset((FULL, UNCONNECTED, OBSOLETE))
# What became of the list of appliances: changed entries or all of them; the one kept from an earlier process; nothing has
# changed up to now; a call failed, nobody knows why; discovery is away; it gave no usable answer, and may be there.
DELTA, SNAPSHOT, CACHED, UNCHANGED = "changes", "whole", "cached", "current"
FAILED, UNREACHABLE, UNANSWERED = "failed", "away", "unanswered"


# ---- what comes in ------------------------------------------------------------------------------
@dataclass(eq=False, slots=True)
class Operation:
    name: str
    effect: str = IDEMPOTENT
    group: str = "all"  # fingerprinted: which appliances drop repeats (all, zone, cell)
    window: int = 0  # fingerprinted: for how long they do
    slo_time: int = 0
    time_limit: int = 0
    billed_value: float = 1.0
    late_value: float = 0.0
    stream: bool = False
    decision_state: Any = None  # the decisions' own notes


@dataclass(eq=False, slots=True)
class Appliance:
    """One process of one machine; a restart or another build makes a new object."""

    id: str
    build: int = 0
    zone: str = ""
    cell: int = 0
    kind: str = ""
    weight: float = 1.0
    started: int = 0  # 0: long ago
    state: str = READY
    decision_state: Any = None


@dataclass(eq=False, slots=True)
class Invocation:
    id: int
    operation: Operation
    arrived_at: int
    deadline: int  # the client waits no longer than this
    customer: str = ""
    key: str | None = None
    work_hint: int = 0  # rough work in microseconds; 0: not told
    retry: bool = False
    write: bool = False
    dispatches: list[Dispatch] = field(default_factory=list)
    concluded: bool = False
    streaming: bool = False
    decision_state: Any = None
    generator: Generator | None = None  # the host's: the running generator and the turn it waits in
    wait_id: int = 0


@dataclass(eq=False, slots=True)
class Dispatch:
    """Yield: send the invocation to an appliance; resumed with an Outcome, or None once `until` has come."""

    appliance: Appliance
    timeout: int = 0  # give the dispatch up after so long; 0: as long as the client waits
    until: int | None = None
    invocation: Invocation | None = None
    number: int = 0
    sent: int = 0
    result: str | None = None
    decision_state: Any = None


@dataclass(eq=False, slots=True)
class Outcome:
    dispatch: Dispatch
    result: str
    duration: int
    complete: bool  # nothing more is owed for the invocation
    load: Mapping[str, float] | None = None


@dataclass(slots=True)
class Stage:
    """The platform's word on the newest build."""

    build: int
    number: int
    phase: str
    cap: float
    age: int
    vote_answer: str | None = None  # to a vote: ok, moot, full, error, timeout; None: unasked

    @property
    def identity(self) -> tuple[int, int, str]:
        """What a change of makes this another stage."""
        return self.build, self.number, self.phase


@dataclass(slots=True)
class Tally:
    build: int
    operation: Operation
    count: int
    failures: int
    mean_time: int
    age: int


# ---- what an invocation's generator yields, besides Dispatch --------------------------------------
@dataclass(slots=True)
class Wait:
    """Resumed with the next Outcome, or with None at `until` or when woken."""

    until: int | None


@dataclass(slots=True)
class Probe:
    """Probe these; resumed when one has answered, or with None at `until`."""

    appliances: list[Appliance]
    until: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for a dispatch; resumed at once."""

    dispatch: Dispatch


@dataclass(slots=True)
class Throttle:
    """Final answer: trying again is harmless, after so long."""

    retry_after: int = 0


@dataclass(slots=True)
class Terminate:
    """Final answer: no promise on the effect."""


Action = Dispatch | Wait | Probe | Cancel | Throttle | Terminate
ActionGenerator = Generator[Action, Outcome | None, None]


class Host(Protocol):
    """What the decisions may ask of their host."""

    now: int
    lag: int  # by how long the earliest timer was overdue: 0 but after a stall

    def call_at(self, due: int, do: Callable[[], None]) -> None: ...
    def wake(self, invocation: Invocation) -> None: ...
    def log(self, text: str) -> None: ...
    def vote(self, build: int, stage: int, verdict: str) -> None: ...
    def subscribe(self) -> None: ...
    def fetch_list(self) -> None: ...
    def message(self, to: int | None, figures: list[int]) -> None: ...
