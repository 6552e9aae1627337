"""Hosts the decision engine of one running agent, and passes the engine's actions on to the sockets.

There is no socket here: a daemon supplies an `Environment` with real calls and connections, a test supplies
others.

Everything that happens outside enters by the methods of `EngineHost` under "events". Each of them first runs
the timers that are overdue, so that nothing is begun for an invocation whose time ran out while the process
was held up.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import wraps
from typing import TYPE_CHECKING, Any, Protocol

from .. import interface as ours
from ..engine import Engine
from ..interface import Appliance, Dispatch, Invocation, Operation, Outcome, Stage, Tally, Throttle
from ..logic.dispatch_guard import DispatchGuard
from .appliance_list import ApplianceList, ListEntry

if TYPE_CHECKING:
    from ..fleet.key_journal import RecoveredKeys

Headers = Sequence[tuple[bytes, bytes]]  # of an answer, in any protocol
Answer = tuple[Headers, list[bytes], Headers]  # headers, pieces of the body, trailers


class Call(Protocol):
    """The client's side of one invocation; exactly one of its methods is called, once."""

    def succeed(self, head: Headers, body: list[bytes], tail: Headers) -> None:
        """Passes an appliance's answer on."""

    def throttle(self, retry_after: int) -> None:
        """Answers that trying again is harmless, after so many microseconds; 0 gives no advice."""

    def terminate(self) -> None:
        """Answers without any promise about the effect."""


class Attempt(Protocol):
    """The appliance's side of one dispatch."""

    def abandon(self, late: bool) -> None:
        """Stops waiting for the answer.

        Args:
            late: Whether this is because the dispatch has timed out.
        """


class Environment(Protocol):
    """What carries the actions of the decisions out: a daemon, or a test in its place."""

    def now(self) -> int:
        """Returns the time in microseconds."""

    def schedule_alarm(self, due: int) -> None:
        """Has `EngineHost.run_timers` called at this time."""

    def run_soon(self, do: Callable[[], None]) -> None:
        """Calls a function in the next turn of the event loop."""

    def start(self, dispatch: Dispatch, call: Call) -> Attempt:
        """Sends a client's call to an appliance."""

    def probe(self, appliance: Appliance) -> None:
        """Sends a health check; `EngineHost.probe_ended` reports the result."""

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Casts a vote; `EngineHost.apply_stage` reports the answer."""

    def subscribe(self) -> None:
        """Starts to watch the list of appliances."""

    def fetch_list(self) -> None:
        """Asks for the list of appliances once."""

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends figures to another agent, or to all of them if `to` is None."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Logs an event with its fields."""


def answers_broken_invocations(method: Callable[..., Any]) -> Callable[..., Any]:
    """Answers the invocations whose processing an exception in the program has broken off.

    The exception is raised on as it was, after those invocations have been terminated.
    """

    @wraps(method)
    def guarded(self: EngineHost, *arguments: Any, **more: Any) -> Any:
        try:
            return method(self, *arguments, **more)
        except Exception:
            for invocation in [invocation for invocation in self.calls if self.engine.is_broken(invocation)]:
                invocation.concluded = True
                self.terminate(invocation)
            raise

    return guarded


class EngineHost:
    """Hosts one instance of the decisions.

    Attributes:
        environment: Carries the actions out.
        settings: The settings map of the decisions, with the operations.
        operations: The operations by name.
        appliance_list: The appliances as the registry has listed them.
        calls: The invocations that have not been answered yet, with their clients' calls.
        attempts: The dispatches that are out.
        lag: For how many microseconds the event in hand was held up on its way here.
        engine: The engine that runs the decisions.
        guard: Checks what is sent.
        counts: Answers and further dispatches so far, with the reason for each.
    """

    def __init__(self, environment: Environment, settings: Mapping[str, Any], seed: int) -> None:
        self.environment = environment
        self.settings = settings
        self.operations: dict[str, Operation] = {
            operation.name: operation for operation in settings["operations"]
        }
        self.appliance_list = ApplianceList()
        self.calls: dict[Invocation, Call] = {}
        self.attempts: dict[Dispatch, Attempt] = {}
        self.lag = 0
        self._count = 0
        self._logged_stage: tuple | None = None  # identity and cap of the stage that was logged last
        self.engine = Engine(environment.now(), seed, settings, self)
        self.guard = DispatchGuard(self.engine.agent, settings, self._log_event)
        self.counts: Counter[str] = Counter()
        self._slow_started: set[Appliance] = set()  # cold appliances that have been logged

    # ---- actions of the engine ----
    def dispatch(self, dispatch: Dispatch) -> None:
        """Starts a dispatch, or reports it as obsolete if it must not go out any more."""
        invocation = dispatch.invocation
        call = self.calls.get(invocation)
        if (
            call is None
            or invocation.streaming
            or self.engine.now >= invocation.deadline
            or (dispatch.number >= self.settings["dispatch_limit"])
            or dispatch.appliance.state == ours.GONE
            or not self.guard.allows(dispatch, self.engine.now)
        ):
            dispatch.unsent = True
            self.environment.run_soon(lambda: self.dispatch_ended(dispatch, ours.OBSOLETE))
            return
        if dispatch.number:
            self.counts[f"retry_after_{invocation.dispatches[dispatch.number - 1].result or 'none'}"] += 1
        self.attempts[dispatch] = self.environment.start(dispatch, call)
        self.environment.log_event(
            "dispatch",
            invocation=invocation.id,
            dispatch=dispatch.number,
            appliance=dispatch.appliance.id,
            build=dispatch.appliance.build,
        )

    def cancel(self, dispatch: Dispatch) -> None:
        """Abandons a dispatch and reports its end."""
        attempt = self.attempts.get(dispatch)
        if attempt is not None:
            # cancelled exactly when its own timeout ends: the engine's timer merely ran before the attempt's
            late = self.engine.now >= dispatch.sent + dispatch.timeout > dispatch.sent
            attempt.abandon(late)
            self.environment.run_soon(
                lambda: self.dispatch_ended(dispatch, ours.TIMEOUT if late else ours.CANCELLED)
            )

    def throttle(self, invocation: Invocation, retry_after: int) -> None:
        """Gives the client the final answer `throttled`."""
        self._answer(invocation, "throttled", lambda call: call.throttle(retry_after))

    def terminate(self, invocation: Invocation) -> None:
        """Gives the client the final answer `terminated`."""
        self._answer(invocation, "terminated", lambda call: call.terminate())

    def _answer(self, invocation: Invocation, answer: str, give: Callable[[Call], None]) -> None:
        call = self.calls.pop(invocation, None)
        if call is not None:
            give(call)
            last = invocation.dispatches[-1].result if invocation.dispatches else "unsent"
            self.counts[f"{answer}_after_{last or 'waiting'}" if answer != "succeeded" else answer] += 1
            self.environment.log_event(
                "answer",
                invocation=invocation.id,
                operation=invocation.operation.name,
                how=answer,
                dispatches=len(invocation.dispatches),
                took=self.engine.now - invocation.arrived_at,
            )

    def set_timer(self, due: int) -> None:
        """Has `run_timers` called at this time."""
        self.environment.schedule_alarm(due)

    def _log_event(self, event: str, **fields: Any) -> None:
        self.environment.log_event(event, **fields)

    def log(self, text: str) -> None:
        """Logs a line of the decisions."""
        self.environment.log_event("decision", text=text)

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Casts a vote."""
        self.environment.vote(build, stage, verdict)

    def subscribe(self) -> None:
        """Starts to watch the list of appliances."""
        self.environment.subscribe()

    def fetch_list(self) -> None:
        """Asks for the list of appliances once."""
        self.environment.fetch_list()

    def probe(self, appliance: Appliance) -> None:
        """Sends a health check to an appliance."""
        self.environment.probe(appliance)

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends figures to another agent, or to all of them if `to` is None."""
        self.environment.message(to, figures)

    # ---- keys bound to builds ----
    def binds_key(self, appliance: Appliance) -> bool:
        """Whether a dispatch to this appliance may bind the invocation's key to its build."""
        return self.settings["one_way"] and self.engine.agent.binds_key(appliance)

    def restore(self, recovered: RecoveredKeys) -> None:
        """Gives the decisions the bound keys that an earlier process of this agent has written down."""
        self.engine.agent.restore(recovered.bound, bool(recovered.forgot), recovered.spent)

    # ---- events ----
    def catch_up(self) -> None:
        """Advances the engine to the present and runs overdue timers, before an event is handled."""
        now = max(self.environment.now(), self.engine.now)
        self.engine.advance_to(now)
        self.engine.run_overdue_timers()
        self.engine.lag = max(self.engine.lag, self.lag)

    @answers_broken_invocations
    def run_timers(self) -> None:
        """Runs the engine's timers that are due."""
        self.engine.advance_to(max(self.environment.now(), self.engine.now))
        self.engine.run_timers()
        self.engine.resume_woken()

    @answers_broken_invocations
    def accept(
        self,
        call: Call,
        operation: Operation,
        arrived: int,
        limit: int,
        invocation_id: int | None = None,
        **fields: Any,
    ) -> Invocation:
        """Takes a call that has arrived completely.

        Args:
            call: The client's side.
            operation: What the client asks for.
            arrived: When the call arrived, in microseconds.
            limit: How long the client waits from then on, in microseconds.
            invocation_id: The invocation's id, if it has one already.
            fields: Further fields of the invocation.
        """
        self.catch_up()
        self._count += 1
        invocation = Invocation(
            self._count if invocation_id is None else invocation_id,
            operation,
            min(arrived, self.engine.now),
            arrived + min(limit, operation.time_limit),
            **fields,
        )
        self.calls[invocation] = call
        self.guard.record_taken(self.engine.now)
        self.engine.accept(invocation)
        self.engine.resume_woken()
        return invocation

    @answers_broken_invocations
    def client_left(self, invocation: Invocation) -> None:
        """Ends an invocation whose client has disconnected; it gets no answer."""
        if self.calls.pop(invocation, None) is not None:
            self.catch_up()
            self.environment.log_event("left", invocation=invocation.id)
            self.engine.client_left(invocation)
            self.engine.resume_woken()

    def may_send(self, dispatch: Dispatch) -> bool:
        """Whether a dispatch that had to wait for a connection may still go out."""
        if dispatch.result is not None or dispatch.invocation not in self.calls:
            return False
        self.catch_up()
        return self.engine.may_send(dispatch) and self.guard.allows(dispatch, self.engine.now)

    def claim_answer(self, dispatch: Dispatch) -> bool:
        """Marks the answer of this dispatch as the one that is passed on, from its first bytes.

        Returns:
            False if the answer of another dispatch is passed on, or the invocation has been answered.
        """
        invocation = dispatch.invocation
        if invocation not in self.calls or invocation.streaming:
            return False
        invocation.streaming = True
        return True

    @answers_broken_invocations
    def dispatch_ended(
        self,
        dispatch: Dispatch,
        result: str,
        load: Mapping[str, float] | None = None,
        answer: Answer | None = None,
        passed: bool = False,
    ) -> None:
        """Handles the end of a dispatch.

        Args:
            dispatch: The dispatch.
            result: How it ended; one of the constants in `interface`.
            load: The appliance's load report, if there is one.
            answer: The answer to pass on, if the dispatch succeeded.
            passed: Whether a part of the answer has already been passed on.
        """
        if dispatch.result is not None:
            return
        self.attempts.pop(dispatch, None)
        self.catch_up()
        invocation = dispatch.invocation
        if result == ours.SUCCEEDED and (answer is not None or passed):
            self._answer(invocation, "succeeded", lambda call: call.succeed(*(answer or ((), [], ()))))
        elif passed:
            self._answer(invocation, "terminated", lambda call: call.terminate())
        self.engine.dispatch_ended(
            Outcome(dispatch, result, self.engine.now - dispatch.sent, invocation not in self.calls, load)
        )
        self.engine.resume_woken()
        if invocation.generator is None and all(d.result is not None for d in invocation.dispatches):
            invocation.dispatches = []  # breaks the reference cycle between an invocation and its dispatches

    @answers_broken_invocations
    def probe_ended(
        self, appliance: Appliance, answered: bool, took: int, load: Mapping[str, float] | None
    ) -> None:
        """Handles the end of a probe.

        Args:
            appliance: The appliance that was probed.
            answered: Whether it answered that it serves.
            took: How long that took, in microseconds.
            load: Its load report, if there is one.
        """
        self.catch_up()
        self.engine.probe_ended(appliance, answered, took, load)
        self.engine.resume_woken()

    @answers_broken_invocations
    def apply_list(
        self,
        kind: str,
        entries: Iterable[ListEntry] = (),
        waited: int | None = 0,
        confirms: bool = True,
    ) -> list[Appliance]:
        """Applies an update of the list of appliances, or reports that there is none.

        Args:
            kind: What became of the list; one of the constants in `interface`.
            entries: The entries of the update.
            waited: Without an answer, for how many microseconds one was waited for, None if that is unknown;
                of an update, for how many microseconds it has been arriving.
            confirms: It is the last that has arrived, and comes from the address of discovery in use.

        Returns:
            The appliances that the update concerns.
        """
        self.catch_up()
        has_entries = kind in (ours.DELTA, ours.SNAPSHOT, ours.CACHED)
        changed = self.appliance_list.apply(kind != ours.DELTA, entries) if has_entries else []
        self.engine.agent.on_list(kind, changed, waited, confirms)
        self.guard.record_list(changed, self.engine.now)
        self._log_slow_start(changed)
        self.engine.resume_woken()
        return changed

    def list_incomplete(self, since: int) -> None:
        """Handles that an update of the list is arriving in pieces; nothing was missing up to that time."""
        self.engine.agent.on_incomplete_list(since)

    def discovery_moved(self) -> None:
        """Handles that discovery may have another address from now on."""
        self.catch_up()
        self.engine.agent.on_discovery_moved()

    def _log_slow_start(self, changed: list[Appliance]) -> None:
        """Logs the appliances among these that begin as cold."""
        cold = self.engine.agent.slow_start.appliances
        told = set(changed)
        begun = [each for each in cold if each in told and each not in self._slow_started]
        self._slow_started = set(cold)
        if begun:
            self.environment.log_event(
                "slow_start",
                appliances=len(begun),
                cold=len(cold),
                first=begun[0].id,
                build=begun[0].build,
                age_ms=(self.engine.now - begun[0].started) // 1000,
            )

    @answers_broken_invocations
    def apply_stage(self, stage: Stage) -> None:
        """Applies a stage of the newest build or the answer to a vote; logs the stage if it is new."""
        self.catch_up()
        followed = self.engine.agent.on_stage(stage)
        if stage.vote_answer in (None, "ok"):
            self._log_stage(stage, followed)
        self.engine.resume_woken()

    def _log_stage(self, stage: Stage, followed: bool) -> None:
        """Logs a stage that is new, and one that came too late to be followed."""
        fields = {"build": stage.build, "stage": stage.number, "phase": stage.phase, "cap": stage.cap}
        if not followed:
            source = "notification" if stage.vote_answer is None else "vote"
            self.environment.log_event("stage_outdated", source=source, age_ms=stage.age // 1000, **fields)
        elif self._logged_stage != (stage.identity, stage.cap):
            self._logged_stage = (stage.identity, stage.cap)
            self.environment.log_event("stage", **fields)

    @answers_broken_invocations
    def apply_tally(self, tally: Tally) -> None:
        """Applies the counts of a build's answers that the conveyor reports."""
        self.catch_up()
        self.engine.agent.on_tally(tally)
        self.engine.resume_woken()

    @answers_broken_invocations
    def apply_flag(self, operation: str, appliance: str, age: int) -> None:
        """Applies the conveyor's report that an operation failed at an appliance.

        Args:
            operation: The operation's name; an unknown one is ignored.
            appliance: The appliance's id; an unknown one is ignored.
            age: How old the report is, in microseconds.
        """
        self.catch_up()
        if operation in self.operations and appliance in self.appliance_list.appliances:
            self.engine.agent.on_flag(
                self.operations[operation], self.appliance_list.appliances[appliance], age
            )
        self.engine.resume_woken()

    @answers_broken_invocations
    def receive_message(self, sender: int, figures: list[int]) -> None:
        """Takes figures that another agent has sent."""
        self.catch_up()
        self.engine.agent.on_message(sender, figures)
        self.engine.resume_woken()

    def give_up_all(self) -> None:
        """Answers every open invocation as the decisions require, because the process ends now."""
        self.catch_up()
        for invocation in list(self.calls):
            match self.engine.agent.give_up(invocation):
                case Throttle(retry_after):
                    self.throttle(invocation, retry_after)
                case _:
                    self.terminate(invocation)
            self.engine.client_left(invocation)
        self.engine.resume_woken()
