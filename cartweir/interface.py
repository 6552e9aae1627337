"""Types that pass between the decisions (`cartweir.logic`) and their host (`cartweir.engine`).

Times are whole microseconds on the host's clock. Objects refer to each other directly; the identifiers that
other processes use are translated at the boundary.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

# effect of an operation
IDEMPOTENT = "idempotent"  # may run any number of times
FINGERPRINTED = "fingerprinted"  # appliances drop repeats by key, in a group and for a window of time
SIDE_EFFECTING = "side-effecting"  # must never run twice

# state of an appliance
READY = "ready"
DRAINING = "draining"
GONE = "gone"

# phase of a build
ON_TRIAL = "on trial"
GOING_BACK = "going back"
RELEASED = "released"
WITHDRAWN = "withdrawn"

# votes
NO_VOTE = "none"
ON = "on"  # go on to the next stage
HOLD = "hold"  # wait
BACK = "back"  # send the build back

# result of a dispatch
SUCCEEDED = "succeeded"
ERROR = "error"
TIMEOUT = "timeout"
RESET = "reset"
CANCELLED = "cancelled"
FULL = "full"  # the appliance refused it because it has no room
UNCONNECTED = "unconnected"  # no connection to the appliance
OBSOLETE = "moot"  # it was no longer wanted, or allowed, when it could be sent
NEVER_RAN = frozenset((FULL, UNCONNECTED, OBSOLETE))  # results that prove that the appliance did not run it

# result of a request for the list of appliances
DELTA = "changes"  # changed entries
SNAPSHOT = "whole"  # all entries
CACHED = "cached"  # the list that an earlier process kept
UNCHANGED = "current"  # nothing has changed up to now
FAILED = "failed"  # a call failed for an unknown reason
UNREACHABLE = "away"  # discovery is not running
UNANSWERED = "unanswered"  # discovery gave no usable answer, and may be running


# ---- input ---------------------------------------------------------------------------------------
@dataclass(eq=False, slots=True)
class Operation:
    """A kind of request.

    Attributes:
        name: the name in the settings.
        effect: `IDEMPOTENT`, `FINGERPRINTED` or `SIDE_EFFECTING`.
        group: which appliances share the memory of fingerprints: `all`, `zone` or `cell`.
        window: how long appliances remember a fingerprint.
        slo_time: an answer is worth its full value up to this time.
        time_limit: no client waits for longer.
        billed_value: worth of an answer within the SLO time.
        late_value: worth of a later answer.
        stream: whether the answer is a stream.
        decision_state: opaque to the host.
    """

    name: str
    effect: str = IDEMPOTENT
    group: str = "all"
    window: int = 0
    slo_time: int = 0
    time_limit: int = 0
    billed_value: float = 1.0
    late_value: float = 0.0
    stream: bool = False
    decision_state: Any = None


@dataclass(eq=False, slots=True)
class Appliance:
    """One process of one machine. A restart or another build makes a new object.

    Attributes:
        id: the identifier that the list of appliances gives.
        build: version of its software.
        zone: failure domain.
        cell: failure domain within a zone.
        kind: type of machine.
        weight: share of the traffic, relative to other appliances.
        started: when the process started; 0 if long ago.
        state: `READY`, `DRAINING` or `GONE`.
        decision_state: opaque to the host.
    """

    id: str
    build: int = 0
    zone: str = ""
    cell: int = 0
    kind: str = ""
    weight: float = 1.0
    started: int = 0
    state: str = READY
    decision_state: Any = None


@dataclass(eq=False, slots=True)
class Invocation:
    """One client request as the agent handles it.

    Attributes:
        id: unique within the agent.
        operation: what is requested.
        arrived_at: when the agent received it.
        deadline: the client waits no longer than this.
        customer: who is billed.
        key: the fingerprint, or the key that binds a client to a build.
        work_hint: rough amount of work in microseconds; 0 if unknown.
        retry: whether the client has sent it before.
        write: whether it changes data.
        dispatches: every attempt so far, in order.
        concluded: the client has its final answer, or has left.
        streaming: the answer has begun to flow to the client.
        decision_state: opaque to the host.
        generator: the running generator of its decisions; None once it has ended. The engine's.
        wait_id: identifies the wait that the generator is in. The engine's.
    """

    id: int
    operation: Operation
    arrived_at: int
    deadline: int
    customer: str = ""
    key: str | None = None
    work_hint: int = 0
    retry: bool = False
    write: bool = False
    dispatches: list[Dispatch] = field(default_factory=list)
    concluded: bool = False
    streaming: bool = False
    decision_state: Any = None
    generator: Generator | None = None
    wait_id: int = 0


@dataclass(eq=False, slots=True)
class Dispatch:
    """An attempt: an invocation that is sent to one appliance.

    A generator that yields it is resumed with an `Outcome`, or with None once `until` has come.

    Attributes:
        appliance: where it goes.
        timeout: the attempt is given up after this long; 0: when the client's deadline passes.
        until: when to resume the generator at the latest; None: only with an outcome.
        invocation: what is sent.
        number: its place among the dispatches of the invocation.
        sent: when it was sent.
        result: one of the constants above; None while it is outstanding.
        unsent: nothing of it has been sent so far; False where the host does not know.
        decision_state: opaque to the host.
    """

    appliance: Appliance
    timeout: int = 0
    until: int | None = None
    invocation: Invocation | None = None
    number: int = 0
    sent: int = 0
    result: str | None = None
    unsent: bool = False
    decision_state: Any = None

    @property
    def never_ran(self) -> bool:
        """Whether the appliance is known not to have run it so far."""
        return self.result in NEVER_RAN or self.unsent


@dataclass(eq=False, slots=True)
class Outcome:
    """How a dispatch ended.

    Attributes:
        dispatch: the attempt.
        result: one of the constants above.
        duration: time since it was sent.
        complete: the invocation needs no further answer.
        load: load report of the appliance, if it gave one.
    """

    dispatch: Dispatch
    result: str
    duration: int
    complete: bool
    load: Mapping[str, float] | None = None


@dataclass(slots=True)
class Stage:
    """State of the newest build's roll-out, as the release controller reports it.

    Attributes:
        build: the newest build.
        number: index of the stage.
        phase: `ON_TRIAL`, `GOING_BACK`, `RELEASED` or `WITHDRAWN`.
        cap: largest share of the invocations in a window that the build may get.
        age: how long ago the stage began.
        vote_answer: answer to a vote (ok, moot, full, error, timeout); None if no vote was sent.
    """

    build: int
    number: int
    phase: str
    cap: float
    age: int
    vote_answer: str | None = None

    @property
    def identity(self) -> tuple[int, int, str]:
        """Two messages are about the same stage if these values are equal."""
        return self.build, self.number, self.phase


@dataclass(slots=True)
class Tally:
    """Counts of a sample of answers, which the platform collects over all agents.

    Attributes:
        build: the build that answered.
        operation: the operation that was requested.
        count: number of answers.
        failures: failed ones among them.
        mean_time: mean duration of the others.
        age: how long ago the period of the sample ended.
    """

    build: int
    operation: Operation
    count: int
    failures: int
    mean_time: int
    age: int


# ---- what the generator of an invocation yields, besides Dispatch ---------------------------------
@dataclass(slots=True)
class Wait:
    """Waits for the next `Outcome`; resumed with None at `until`, or when woken."""

    until: int | None


@dataclass(slots=True)
class Probe:
    """Probes appliances; resumed when one of them has answered, or with None at `until`."""

    appliances: list[Appliance]
    until: int


@dataclass(slots=True)
class Cancel:
    """Stops waiting for a dispatch; resumed at once."""

    dispatch: Dispatch


@dataclass(slots=True)
class Throttle:
    """Final answer: nothing ran that a repeat would harm; retry after this many microseconds."""

    retry_after: int = 0


@dataclass(slots=True)
class Terminate:
    """Final answer: failed, without a promise whether the invocation took effect."""


Action = Dispatch | Wait | Probe | Cancel | Throttle | Terminate
ActionGenerator = Generator[Action, Outcome | None, None]


class Host(Protocol):
    """What the decisions may ask of the engine that hosts them.

    Attributes:
        now: the present time.
        lag: by how long the earliest timer was overdue when the clock last advanced; above 0 only after a
            stall.
    """

    now: int
    lag: int

    def call_at(self, due: int, callback: Callable[[], None]) -> None:
        """Calls back once, at `due` or as soon as possible afterwards."""

    def wake(self, invocation: Invocation) -> None:
        """Resumes an invocation that waits, once the present event has been handled."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Sends a vote on a stage to the release controller."""

    def subscribe(self) -> None:
        """Asks discovery to send changes of the list of appliances."""

    def fetch_list(self) -> None:
        """Asks discovery for the whole list of appliances."""

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends numbers to another agent, or to all agents if `to` is None."""
