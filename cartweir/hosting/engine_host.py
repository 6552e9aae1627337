"""The Door of a running agent: its objects, and the decisions' wishes handed on to the sockets. No socket here:
the daemon gives it a World and real calls and links, a test gives it others.

Whatever happens outside comes in by the methods under 'in', each of which first lets overdue timers run, so that
nothing is begun for an invocation whose time passed while the process stood still.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import wraps
from typing import Any, Protocol

from .. import interface as ours
from ..engine import Engine
from ..interface import Appliance, Dispatch, Invocation, Operation, Outcome, Stage, Tally, Throttle
from .appliance_list import ApplianceList, ListEntry

Headers = Sequence[tuple[bytes, bytes]]  # of an answer, whatever it came by


class Call(Protocol):
    """The client's side of one invocation."""

    def succeed(self, head: Headers, body: list[bytes], tail: Headers) -> None: ...
    def throttle(self, retry_after: int) -> None: ...
    def terminate(self) -> None: ...


class Attempt(Protocol):
    """The appliance's side of one dispatch."""

    def abandon(self, late: bool) -> None:
        """Stop waiting for its answer; late: because its time is up."""


class Environment(Protocol):
    """What the seat needs of its surroundings."""

    def now(self) -> int: ...
    def schedule_alarm(self, due: int) -> None: ...
    def run_soon(self, do: Callable[[], None]) -> None: ...
    def start(self, dispatch: Dispatch, call: Call) -> Attempt: ...
    def probe(self, appliance: Appliance) -> None: ...
    def vote(self, build: int, stage: int, verdict: str) -> None: ...
    def subscribe(self) -> None: ...
    def fetch_list(self) -> None: ...
    def message(self, to: int | None, figures: list[int]) -> None: ...
    def log_event(self, event: str, **facts: Any) -> None: ...


def answering(method: Callable[..., Any]) -> Callable[..., Any]:
    """Guards against faults of ours: they are raised as they were, but whoever they have broken off is answered first."""

    @wraps(method)
    def entered(self: EngineHost, *arguments: Any, **more: Any) -> Any:
        try:
            return method(self, *arguments, **more)
        except Exception:
            for invocation in [invocation for invocation in self.calls if self.engine.is_broken(invocation)]:
                invocation.concluded = True
                self.terminate(invocation)
            raise

    return entered


class EngineHost:
    """One instance. known: the plain map of settings, with its operations."""

    def __init__(self, environment: Environment, settings: Mapping[str, Any], seed: int) -> None:
        self.environment = environment
        self.settings = settings
        self.operations: dict[str, Operation] = {
            operation.name: operation for operation in settings["operations"]
        }
        self.appliance_list = ApplianceList()
        self.calls: dict[Invocation, Call] = {}  # invocations that are owed an answer
        self.attempts: dict[Dispatch, Attempt] = {}  # dispatches that are out
        self.lag = 0  # by how long what is told now was held up before it came here
        self._count = 0
        self._word: tuple | None = None  # of the newest build, as last noted
        self.engine = Engine(environment.now(), seed, settings, self)

    # ---- out: the Door ----
    def dispatch(self, dispatch: Dispatch) -> None:
        invocation = dispatch.invocation
        call = self.calls.get(invocation)
        if (
            call is None
            or invocation.streaming
            or self.engine.now >= invocation.deadline
            or (dispatch.number >= self.settings["dispatch_limit"])
            or dispatch.appliance.state == ours.GONE
        ):
            self.environment.run_soon(lambda: self.dispatch_ended(dispatch, ours.OBSOLETE))
            return
        self.attempts[dispatch] = self.environment.start(dispatch, call)
        self.environment.log_event(
            "dispatch",
            invocation=invocation.id,
            dispatch=dispatch.number,
            appliance=dispatch.appliance.id,
            build=dispatch.appliance.build,
        )

    def cancel(self, dispatch: Dispatch) -> None:
        attempt = self.attempts.get(dispatch)
        if attempt is not None:
            # given up at the very moment at which its own time is up: the alarm was only the first to tell
            late = self.engine.now >= dispatch.sent + dispatch.timeout > dispatch.sent
            attempt.abandon(late)
            self.environment.run_soon(
                lambda: self.dispatch_ended(dispatch, ours.TIMEOUT if late else ours.CANCELLED)
            )

    def throttle(self, invocation: Invocation, retry_after: int) -> None:
        self._answer(invocation, "throttled", lambda call: call.throttle(retry_after))

    def terminate(self, invocation: Invocation) -> None:
        self._answer(invocation, "terminated", lambda call: call.terminate())

    def _answer(self, invocation: Invocation, how: str, give: Callable[[Call], None]) -> None:
        call = self.calls.pop(invocation, None)
        if call is not None:
            give(call)
            self.environment.log_event(
                "answer",
                invocation=invocation.id,
                operation=invocation.operation.name,
                how=how,
                dispatches=len(invocation.dispatches),
                took=self.engine.now - invocation.arrived_at,
            )

    def set_timer(self, due: int) -> None:
        self.environment.schedule_alarm(due)

    def log(self, text: str) -> None:
        self.environment.log_event("decision", text=text)

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self.environment.vote(build, stage, verdict)

    def subscribe(self) -> None:
        self.environment.subscribe()

    def fetch_list(self) -> None:
        self.environment.fetch_list()

    def probe(self, appliance: Appliance) -> None:
        self.environment.probe(appliance)

    def message(self, to: int | None, figures: list[int]) -> None:
        self.environment.message(to, figures)

    # ---- a life before this one ----
    def binds_key(self, appliance: Appliance) -> bool:
        """Whether a dispatch to it may bind its key."""
        return self.settings["one_way"] and self.engine.agent.binds_key(appliance)

    def restore(self, recalled: Any) -> None:
        """bound, forgot and spent, as fleet/key_journal.py has them."""
        self.engine.agent.restore(recalled.bound, bool(recalled.forgot), recalled.spent)

    # ---- in ----
    def catch_up(self) -> None:
        """The present moment; what is overdue comes before any news."""
        now = max(self.environment.now(), self.engine.now)
        self.engine.advance_to(now)
        self.engine.run_overdue_timers()
        if self.lag > self.engine.lag:
            self.engine.lag = self.lag

    @answering
    def run_timers(self) -> None:
        self.engine.advance_to(max(self.environment.now(), self.engine.now))
        self.engine.run_timers()
        self.engine.resume_woken()

    @answering
    def accept(
        self,
        call: Call,
        operation: Operation,
        arrived: int,
        limit: int,
        invocation_id: int | None = None,
        **facts: Any,
    ) -> Invocation:
        """A whole call has come in; limit: how long after `arrived` its client waits; ident: where it has one."""
        self.catch_up()
        self._count += 1
        invocation = Invocation(
            self._count if invocation_id is None else invocation_id,
            operation,
            min(arrived, self.engine.now),
            arrived + min(limit, operation.time_limit),
            **facts,
        )
        self.calls[invocation] = call
        self.engine.accept(invocation)
        self.engine.resume_woken()
        return invocation

    @answering
    def client_left(self, invocation: Invocation) -> None:
        """The client has gone; nothing is owed."""
        if self.calls.pop(invocation, None) is not None:
            self.catch_up()
            self.environment.log_event("left", invocation=invocation.id)
            self.engine.client_left(invocation)
            self.engine.resume_woken()

    def may_send(self, dispatch: Dispatch) -> bool:
        """A dispatch has its connection at last; False: it must not go out any more."""
        if dispatch.result is not None or dispatch.invocation not in self.calls:
            return False
        self.catch_up()
        return self.engine.may_send(dispatch)

    def claim_answer(self, dispatch: Dispatch) -> bool:
        """The dispatch's answer starts to be passed on; False: another one has been before it."""
        invocation = dispatch.invocation
        if invocation not in self.calls or invocation.streaming:
            return False
        invocation.streaming = True
        return True

    @answering
    def dispatch_ended(
        self,
        dispatch: Dispatch,
        how: str,
        load: Mapping[str, float] | None = None,
        answer: tuple[Headers, list[bytes], Headers] | None = None,
        passed: bool = False,
    ) -> None:
        """A dispatch has ended. answer: what succeeded, to be passed on; passed: it was already being."""
        if dispatch.result is not None:
            return
        self.attempts.pop(dispatch, None)
        self.catch_up()
        invocation = dispatch.invocation
        if how == ours.SUCCEEDED and (answer is not None or passed):
            self._answer(invocation, "succeeded", lambda call: call.succeed(*(answer or ((), [], ()))))
        elif passed:
            self._answer(invocation, "terminated", lambda call: call.terminate())
        self.engine.dispatch_ended(
            Outcome(dispatch, how, self.engine.now - dispatch.sent, invocation not in self.calls, load)
        )
        self.engine.resume_woken()
        if invocation.generator is None and all(d.result is not None for d in invocation.dispatches):
            invocation.dispatches = []  # each knows its invocation: no cycle is left to the collector

    @answering
    def probe_ended(
        self, appliance: Appliance, answered: bool, took: int, load: Mapping[str, float] | None
    ) -> None:
        self.catch_up()
        self.engine.probe_ended(appliance, answered, took, load)
        self.engine.resume_woken()

    @answering
    def apply_list(self, how: str, rows: Iterable[ListEntry] = (), waited: int | None = 0) -> list[Appliance]:
        """how: one of interface.py's; waited: without an answer, how long one was waited for; None if not known."""
        self.catch_up()
        told = how in (ours.DELTA, ours.SNAPSHOT, ours.CACHED)
        changed = self.appliance_list.apply(how != ours.DELTA, rows) if told else []
        self.engine.agent.on_list(how, changed, waited)
        self.engine.resume_woken()
        return changed

    @answering
    def apply_stage(self, stage: Stage) -> None:
        if stage.vote_answer in (None, "ok") and self._word != (stage.identity, stage.cap):
            self._word = (stage.identity, stage.cap)
            self.environment.log_event(
                "stage", build=stage.build, stage=stage.number, phase=stage.phase, cap=stage.cap
            )
        self.catch_up()
        self.engine.agent.on_stage(stage)
        self.engine.resume_woken()

    @answering
    def apply_tally(self, tally: Tally) -> None:
        self.catch_up()
        self.engine.agent.on_tally(tally)
        self.engine.resume_woken()

    @answering
    def apply_flag(self, operation: str, appliance: str, age: int) -> None:
        self.catch_up()
        if operation in self.operations and appliance in self.appliance_list.appliances:
            self.engine.agent.on_flag(
                self.operations[operation], self.appliance_list.appliances[appliance], age
            )
        self.engine.resume_woken()

    @answering
    def receive_message(self, sender: int, figures: list[int]) -> None:
        self.catch_up()
        self.engine.agent.on_message(sender, figures)
        self.engine.resume_woken()

    def give_up_all(self) -> None:
        """The process ends now: what is owed is answered as the decisions say."""
        self.catch_up()
        for invocation in list(self.calls):
            match self.engine.agent.give_up(invocation):
                case Throttle(retry_after):
                    self.throttle(invocation, retry_after)
                case _:
                    self.terminate(invocation)
            self.engine.client_left(invocation)
        self.engine.resume_woken()
