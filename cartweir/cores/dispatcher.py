"""The invocations of one worker, which wait for the decider.

The dispatcher stands in place of an EngineHost for the front and the connection pools.

An invocation belongs to the worker that owns its client's stream, and that worker decides last: it
has a grant renewed that arrives too late, it drops a grant for an invocation that it has answered, and no
other worker can answer. Without a decider the worker goes on standalone, with decisions of its own that never
use a build on trial or a cold appliance.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, ClassVar

from tornado.ioloop import IOLoop

from .. import interface as ours
from ..agent.appliance_pools import AppliancePools
from ..agent.front import ClientCall
from ..hosting.alarms import AlarmScheduler
from ..hosting.appliance_list import ApplianceList, ListEntry
from ..hosting.clock import Clock
from ..hosting.engine_host import EngineHost
from ..interface import READY, Appliance, Dispatch, Invocation, Operation, Stage, Throttle
from ..wire.grpc import Headers
from . import messages
from .forwarding import DispatchForwarding
from .grants import RENEW, USE, answer_must_wait, check_grant
from .messages import DispatchOrder, DispatchReport, InvocationMessage
from .pipe import Message, Pipe
from .standalone import (
    DeciderMonitor,
    answer_deadline,
    can_serve_standalone,
    can_use_standalone,
    standalone_settings,
    was_suspended,
)

EventLogger = Callable[..., None]
OUTCOMES = (
    ours.SUCCEEDED,
    ours.ERROR,
    ours.TIMEOUT,
    ours.RESET,
    ours.CANCELLED,
    ours.FULL,
    ours.UNCONNECTED,
    ours.OBSOLETE,
)
OUTCOME_CODES = {outcome: code for code, outcome in enumerate(OUTCOMES)}


@dataclass(slots=True)
class Grant:
    """The decider's permission for one dispatch.

    Attributes:
        instance: The appliance to send it to.
        timeout: The dispatch is given up this long after the decision.
        decided_at: When the decider chose the appliance.
        granted_at: When the grant was given or last renewed.
        sender: Number of the worker that is to send it.
    """

    instance: str
    timeout: int
    decided_at: int
    granted_at: int
    sender: int


class PendingInvocation:
    """One invocation that this worker owns.

    Attributes:
        invocation: The invocation.
        call: The client's call.
        attributes: The further arguments with which it was accepted, such as key and customer.
        grants: By dispatch, the grants that have not been used up.
        attempts: By dispatch, the attempts that have not ended.
        answers: By dispatch, whole answers that have not been passed on.
        decider_generation: Generation of the decider that knows of it; 0 if none does.
        answered: Whether the client has its answer, or needs none.
    """

    __slots__ = (
        "answered",
        "answers",
        "attempts",
        "attributes",
        "call",
        "decider_generation",
        "grants",
        "invocation",
    )

    def __init__(self, invocation: Invocation, call: ClientCall, attributes: dict[str, Any]) -> None:
        self.invocation, self.call, self.attributes = invocation, call, attributes
        self.grants: dict[int, Grant] = {}
        self.attempts: dict[int, Any] = {}
        self.answers: dict[int, tuple] = {}
        self.decider_generation = 0
        self.answered = False


@dataclass(frozen=True, slots=True)
class DispatcherConfig:
    """What sets one worker apart.

    Attributes:
        number: Number of the worker, from 1.
        workers: Number of workers of the agent.
        settings: Settings of the decisions, with the operations.
        seed: Seed of the decisions that the worker makes standalone.
    """

    number: int
    workers: int
    settings: Mapping[str, Any]
    seed: int


class Dispatcher:
    """Submits a worker's invocations to the decider and carries out its orders.

    Args:
        config: What sets the worker apart.
        clock: The worker's clock.
        appliance_pools: Connections to appliances.
        log_event: Logs an event.
        invocation_ids: Numbers of invocations that no other worker uses.
    """

    def __init__(
        self,
        config: DispatcherConfig,
        clock: Clock,
        appliance_pools: AppliancePools,
        log_event: EventLogger,
        invocation_ids: Iterator[int],
    ) -> None:
        self.number, self.workers, self.settings = config.number, config.workers, config.settings
        self.clock, self.appliance_pools, self.log_event = clock, appliance_pools, log_event
        self.invocation_ids, self.seed, self.loop = invocation_ids, config.seed, IOLoop.current()
        self.operations: dict[str, Operation] = {
            operation.name: operation for operation in self.settings["operations"]
        }
        self._operation_index = {
            operation: place for place, operation in enumerate(self.settings["operations"])
        }
        self.pending: dict[int, PendingInvocation] = {}  # by number of the invocation
        self.appliance_list = ApplianceList()
        self.appliances: dict[str, Appliance] = {}  # by instance
        self.instances: dict[Appliance, str] = {}
        # Operations of what is sent for other workers: the pools ask only whether the answer is a stream.
        self.forwarded_operations = {stream: Operation("", stream=stream) for stream in (False, True)}
        self.stage: Stage | None = None
        self.stage_received_at = 0
        self.monitor = DeciderMonitor(clock.now())
        self.decider: Pipe | None = None
        self.decider_generation = 0
        self.forwarding = DispatchForwarding(self)
        self.draining = False
        self._standalone_host: EngineHost | None = None
        self._alarms = AlarmScheduler(self.loop, clock.now, self._run_standalone_timers)
        self._deadlines: list[tuple[int, int]] = []  # heap: when to look at an invocation that still waits
        self._deadline_alarms = AlarmScheduler(self.loop, clock.now, self._check_deadlines)
        self._resumed_at = clock.now()
        self._ticked_at = clock.now()
        self._tick()

    # ---- the decider ----
    def connect_decider(self, decider: Pipe, generation: int) -> None:
        """Takes up the connection to a new decider and submits what the last one never dispatched."""
        self.decider, self.decider_generation = decider, generation
        decider.send([messages.HELLO, self.number])
        for pending in list(self.pending.values()):
            if not pending.answered:
                # one that an earlier decider dispatched: this worker awaits the outcome
                if pending.invocation.dispatches:
                    self._resolve_without_decider(pending)
                else:
                    self._submit(pending)

    def disconnect_decider(self, generation: int) -> None:
        """Drops the connection to a decider that has ended.

        Invocations that it never dispatched wait for the next one.
        """
        if generation == self.decider_generation:
            self.decider, self.decider_generation = None, 0
            for pending in list(self.pending.values()):
                pending.decider_generation = 0
                pending.grants.clear()
                if not pending.answered:
                    self._resolve_without_decider(pending)

    def on_message(self, message: Message) -> None:
        """Handles a message of the decider."""
        if self.monitor.record_message(self.clock.now()):
            self.log_event("together", held=len(self.pending))
            for pending in self.pending.values():
                if (
                    not pending.answered
                    and not pending.decider_generation
                    and not pending.invocation.dispatches
                ):
                    self._submit(pending)
        self._HANDLERS[message[0]](self, *message[1:])

    def _on_heartbeat(self) -> None: ...

    def _on_list(self, how: str, rows: list[list[Any]]) -> None:
        entries = []
        for appliance_id, build, run, started, state, zone, cell, kind, weight, address in rows:
            self.appliance_pools.addresses[appliance_id] = address
            entries.append(ListEntry(appliance_id, build, run, started, state, zone, cell, kind, weight))
        changed = self.appliance_list.apply(how == "whole", entries)
        for entry in entries:
            self.appliances[instance_id(entry)] = self.appliance_list.appliances[entry.id]
        self.appliances = {
            instance: appliance
            for instance, appliance in self.appliances.items()
            if appliance.state != ours.GONE
        }
        self.instances = {appliance: instance for instance, appliance in self.appliances.items()}
        self.appliance_pools.retire_gone(changed)
        if self._standalone_host is not None:
            self._update_standalone_host()

    def _on_stage(self, build: int, number: int, phase: str, age: int) -> None:
        self.stage, self.stage_received_at = Stage(build, number, phase, 0.0, age), self.clock.now()

    # ---- from the front ----
    def accept(
        self, call: ClientCall, operation: Operation, arrived: int, limit: int, **attributes: Any
    ) -> Invocation:
        """Accepts a whole call, as `EngineHost.accept()` does."""
        now = self.clock.now()
        invocation = Invocation(
            next(self.invocation_ids),
            operation,
            min(arrived, now),
            arrived + min(limit, operation.time_limit),
            **attributes,
        )
        if self.monitor.standalone and self._can_serve_standalone(invocation):
            return self._accept_standalone(invocation, call, limit, attributes)
        pending = self.pending[invocation.id] = PendingInvocation(invocation, call, attributes)
        self._watch_deadline(invocation, answer_deadline(invocation.deadline, self.settings["tick"], False))
        if self.decider is not None and not self.monitor.standalone:
            self._submit(pending)
        return invocation

    def _submit(self, pending: PendingInvocation) -> None:
        """Sends the decider an invocation to decide on."""
        invocation, attributes = pending.invocation, pending.attributes
        pending.decider_generation = self.decider_generation
        message = InvocationMessage(
            invocation.id,
            self._operation_index[invocation.operation],
            invocation.arrived_at,
            invocation.deadline - invocation.arrived_at,
            attributes.get("customer", ""),
            attributes.get("key"),
            attributes.get("work_hint", 0),
            attributes.get("retry", False),
            attributes.get("write", False),
        )
        self.decider.send([messages.INVOCATION, *message])

    def client_left(self, invocation: Invocation) -> None:
        """Gives up an invocation whose client has gone."""
        pending = self._find(invocation)
        if pending is None:
            if self._standalone_host is not None:
                self._standalone_host.client_left(invocation)
        elif not pending.answered:
            self._withdraw(pending)

    def _withdraw(self, pending: PendingInvocation) -> None:
        """Tells the decider that an invocation needs nothing more; its open attempts end unnoticed."""
        pending.answered = pending.invocation.concluded = True
        self.log_event("withdrawn", level="debug", invocation=pending.invocation.id)
        self._withdraw_from_decider(pending)
        self._forget_if_done(pending)

    def forward_peer_message(self, message: bytes) -> None:
        """Passes another agent's message on to the decider."""
        if self.decider is not None:
            self.decider.send([messages.PEER_MESSAGE, message])

    # ---- orders of the decider ----
    def _on_dispatch(self, *fields: Any) -> None:
        order = DispatchOrder(*fields)
        pending = self.pending.get(order.invocation)
        if pending is not None:
            pending.grants[order.number] = Grant(
                order.instance, order.timeout, order.granted_at, order.granted_at, order.sender
            )
        self._use_grant(order.invocation, order.number)

    def _use_grant(self, invocation_id: int, number: int) -> None:
        """Uses a grant, has it renewed, or drops it."""
        pending = self.pending.get(invocation_id)
        grant = pending.grants.get(number) if pending else None
        if grant is None:
            self._report_ended(invocation_id, number, ours.OBSOLETE)
            return
        now, invocation, appliance = self.clock.now(), pending.invocation, self.appliances.get(grant.instance)
        needed = (
            self._needs_dispatch(pending)
            and now < min(invocation.deadline, grant.decided_at + grant.timeout)
            and appliance is not None
        )
        action = check_grant(now, grant.granted_at, self.settings["tick"], needed)
        if action == USE:
            self._start_dispatch(pending, number, grant, appliance, now)
        elif action == RENEW:
            self.decider.send([messages.RENEW_GRANT, invocation_id, number])
        else:
            self._drop_grant(pending, number)

    def _needs_dispatch(self, pending: PendingInvocation) -> bool:
        """Returns whether an invocation has no answer yet; the decider may not know of one that is here."""
        return not (pending.answered or pending.answers or pending.invocation.streaming)

    def _drop_grant(self, pending: PendingInvocation, number: int) -> None:
        del pending.grants[number]
        self._forget_if_done(pending)
        self._report_ended(pending.invocation.id, number, ours.OBSOLETE)

    def on_grant_expired(self, dispatch: Dispatch) -> None:
        """Has a grant renewed that expired before its sender could use it; the dispatch was not sent."""
        pending = self._find(dispatch.invocation)
        if pending is not None and dispatch.result is None:
            pending.attempts.pop(dispatch.number, None)
            if dispatch.number in pending.grants and self._is_with_decider(pending):
                dispatch.result = ours.OBSOLETE
                self.decider.send([messages.RENEW_GRANT, pending.invocation.id, dispatch.number])
            else:
                self.dispatch_ended(dispatch, ours.OBSOLETE)

    def renew_for_sender(self, dispatch: Dispatch) -> None:
        """Answers a sender that found a connection only after the grant had expired."""
        pending, may_send = self._find(dispatch.invocation), None
        if pending is not None:
            may_send = self.may_send(dispatch)
        attempt = pending.attempts.get(dispatch.number) if pending else None
        if may_send is not None and attempt is not None:
            attempt.cleared(may_send)

    def _start_dispatch(
        self, pending: PendingInvocation, number: int, grant: Grant, appliance: Appliance, now: int
    ) -> None:
        invocation, timeout = pending.invocation, grant.decided_at + grant.timeout - now
        dispatch = Dispatch(appliance, timeout, None, invocation, number, self.clock.now())
        dispatch.decision_state = grant.granted_at
        # dispatches before it whose grants were never used
        while len(invocation.dispatches) <= number:
            unused = Dispatch(
                appliance,
                invocation=invocation,
                number=len(invocation.dispatches),
                result=ours.OBSOLETE,
            )
            invocation.dispatches.append(unused)
        invocation.dispatches[number] = dispatch
        if grant.sender in (self.number, 0):
            pending.attempts[number] = self.appliance_pools.start(dispatch, pending.call)
        else:
            pending.attempts[number] = self.forwarding.forward(dispatch, pending.call, grant.sender)

    def _on_grant_renewed(self, invocation_id: int, number: int, may_send: bool, granted_at: int) -> None:
        pending = self.pending.get(invocation_id)
        if pending is None:
            return
        grant, attempt = pending.grants.get(number), pending.attempts.get(number)
        if not may_send and attempt is None:
            if grant is not None:
                self._drop_grant(pending, number)
            return
        if grant is not None and may_send:
            grant.granted_at = granted_at
        if attempt is not None:
            attempt.dispatch.decision_state = granted_at
            attempt.cleared(may_send)
        else:
            self._use_grant(invocation_id, number)

    def _on_cancel(self, invocation_id: int, number: int, late: bool) -> None:
        pending = self.pending.get(invocation_id)
        if pending is None:
            return
        pending.grants.pop(number, None)
        attempt = pending.attempts.pop(number, None)
        if attempt is not None:
            attempt.dispatch.result = ours.TIMEOUT if late else ours.CANCELLED
            attempt.abandon(late)
        self._forget_if_done(pending)

    def _on_answer(self, invocation_id: int, answer: int, figure: int) -> None:
        pending = self.pending.get(invocation_id)
        if pending is None or pending.answered:
            return
        if answer == messages.SUCCEED and figure not in pending.answers:
            return
        if answer != messages.SUCCEED and pending.answers:  # the decider gave up while the answer arrived
            answer, figure = messages.SUCCEED, next(iter(pending.answers))
        self._answer_client(pending, answer, figure)

    def _answer_client(self, pending: PendingInvocation, answer: int, figure: int) -> None:
        """Gives the client its one final answer.

        Args:
            pending: The invocation.
            answer: SUCCEED, THROTTLE or TERMINATE.
            figure: Number of the dispatch whose answer it is, or when the client may try again.
        """
        pending.answered = pending.invocation.concluded = True
        if answer == messages.SUCCEED:
            pending.call.succeed(*pending.answers.pop(figure))
        elif answer == messages.THROTTLE:
            pending.call.throttle(figure)
        else:
            pending.call.terminate()
        pending.answers.clear()
        self._forget_if_done(pending)

    def _on_probe(self, instance: str) -> None:
        appliance = self.appliances.get(instance)
        if appliance is not None:
            self.appliance_pools.probe(appliance)

    _HANDLERS: ClassVar[dict[int, Callable[..., None]]] = {
        messages.DISPATCH: _on_dispatch,
        messages.CANCEL: _on_cancel,
        messages.ANSWER: _on_answer,
        messages.GRANT_RENEWED: _on_grant_renewed,
        messages.PROBE: _on_probe,
        messages.APPLIANCE_LIST: _on_list,
        messages.STAGE: _on_stage,
        messages.DECIDER_HEARTBEAT: _on_heartbeat,
    }

    # ---- from the pools ----
    def may_send(self, dispatch: Dispatch) -> bool | None:
        """Returns whether a dispatch that has waited for its connection may still be sent.

        None means that the grant is being renewed: the attempt's `cleared()` is called with the reply.
        """
        if self.forwarding.is_sending(dispatch):
            return self.forwarding.may_send(dispatch)
        pending = self._find(dispatch.invocation)
        if pending is None:
            return self._standalone_host is not None and self._standalone_host.may_send(dispatch)
        needed = (
            self._needs_dispatch(pending) and dispatch.result is None and dispatch.appliance.state == READY
        )
        action = check_grant(self.clock.now(), dispatch.decision_state, self.settings["tick"], needed)
        if action == RENEW and self._is_with_decider(pending):
            self.decider.send([messages.RENEW_GRANT, pending.invocation.id, dispatch.number])
            return None
        return action == USE

    def claim_answer(self, dispatch: Dispatch) -> bool:
        """Returns whether the answer of a dispatch may be passed on as it comes.

        See `EngineHost.claim_answer()`.
        """
        if self.forwarding.is_sending(dispatch):
            return True  # the owner of the call abandons the dispatch if not
        pending = self._find(dispatch.invocation)
        if pending is None:
            return self._standalone_host is not None and self._standalone_host.claim_answer(dispatch)
        if pending.answered or pending.invocation.streaming:
            return False
        pending.invocation.streaming = True
        if self._is_with_decider(pending):
            self.decider.send([messages.STREAM_STARTED, pending.invocation.id])
        return True

    def dispatch_ended(
        self,
        dispatch: Dispatch,
        outcome: str,
        load: Mapping[str, float] | None = None,
        answer: tuple[Headers, list[bytes], Headers] | None = None,
        passed: bool = False,
    ) -> None:
        """Records the end of a dispatch and reports it to the decider, as `EngineHost.dispatch_ended()`."""
        if self.forwarding.is_sending(dispatch):
            self.forwarding.dispatch_ended(dispatch, outcome, load, answer, passed)
            return
        pending = self._find(dispatch.invocation)
        if pending is None:
            if self._standalone_host is not None:
                self._standalone_host.dispatch_ended(dispatch, outcome, load, answer, passed)
            return
        if dispatch.result is not None:
            return
        dispatch.result = outcome
        pending.attempts.pop(dispatch.number, None)
        pending.grants.pop(dispatch.number, None)
        answered = False
        if outcome == ours.SUCCEEDED and not pending.answered:
            pending.answers[dispatch.number] = answer or ((), [], ())
            # the first success is the answer
            if answered := not answer_must_wait(self.settings, pending.invocation):
                self._answer_client(pending, messages.SUCCEED, dispatch.number)
        if self._is_with_decider(pending):
            lag = max(0, self.clock.now() - self.clock.arrival_time())
            # the answer binds its key even if the decider has given the dispatch up meanwhile
            if outcome == ours.SUCCEEDED and not answered:
                self.decider.send([messages.KEY_BOUND, pending.invocation.key, dispatch.appliance.build])
            report = DispatchReport(
                pending.invocation.id,
                dispatch.number,
                OUTCOME_CODES[outcome],
                dict(load) if load else None,
                passed,
                lag,
                answered,
            )
            self.decider.send(
                [messages.DISPATCH_ENDED, *report], urgent=outcome != ours.SUCCEEDED or not answered
            )
        if not pending.answered and (not self._is_with_decider(pending) or self.monitor.standalone):
            self._resolve_without_decider(pending)
        self._forget_if_done(pending)

    def probe_ended(
        self, appliance: Appliance, answered: bool, took: int, load: Mapping[str, float] | None
    ) -> None:
        """Reports the result of a probe to the decider."""
        if self.decider is not None:
            self.decider.send(
                [
                    messages.PROBE_RESULT,
                    self.instances.get(appliance),
                    answered,
                    took,
                    dict(load) if load else None,
                ]
            )

    def _report_ended(self, invocation_id: int, number: int, outcome: str) -> None:
        """Reports the end of a dispatch that was not sent."""
        if self.decider is not None:
            report = DispatchReport(invocation_id, number, OUTCOME_CODES[outcome], None, False, 0, False)
            self.decider.send([messages.DISPATCH_ENDED, *report])

    def _is_with_decider(self, pending: PendingInvocation) -> bool:
        return pending.decider_generation == self.decider_generation != 0

    def _find(self, invocation: Invocation) -> PendingInvocation | None:
        pending = self.pending.get(invocation.id)
        return pending if pending is not None and pending.invocation is invocation else None

    def _forget_if_done(self, pending: PendingInvocation) -> None:
        if pending.answered and not pending.attempts and not pending.grants:
            self.pending.pop(pending.invocation.id, None)
            pending.invocation.dispatches = []  # leaves no reference cycle to the garbage collector

    # ---- without the decider ----
    def _resolve_without_decider(self, pending: PendingInvocation) -> None:
        """Answers a dispatched invocation on which no decider decides any more.

        An answer that is here is passed on, open attempts are awaited, and otherwise the invocation is given
        up as the decisions would. One that was never dispatched is left to the next decider or to standalone
        work.
        """
        invocation = pending.invocation
        if pending.answered or not invocation.dispatches:
            return
        if pending.answers:
            self._deliver_answer(pending)
        elif not pending.attempts and not pending.grants:
            self._give_up(pending)

    def _deliver_answer(self, pending: PendingInvocation) -> None:
        """Passes on an answer that waited for the decider."""
        self._answer_client(pending, messages.SUCCEED, next(iter(pending.answers)))
        self._withdraw_from_decider(pending)

    def report_key(self, key: str | None, build: int) -> None:
        """Reports at once that a build may have answered a key, since the owner of the call may die."""
        if self.settings["one_way"] and key and self.decider is not None:
            self.decider.send([messages.KEY_BOUND, key, build])
            self.decider.flush()

    def _give_up(self, pending: PendingInvocation) -> None:
        if pending.invocation.streaming:
            self._answer_client(pending, messages.TERMINATE, 0)
            self._withdraw_from_decider(pending)
            return
        match self.standalone_host.engine.agent.give_up(pending.invocation):
            case Throttle(retry_after):
                self._answer_client(pending, messages.THROTTLE, retry_after)
            case _:
                self._answer_client(pending, messages.TERMINATE, 0)
        self.log_event("gave_up", level="debug", invocation=pending.invocation.id)
        self._withdraw_from_decider(pending)

    def _withdraw_from_decider(self, pending: PendingInvocation) -> None:
        """Tells the decider that an invocation needs nothing more.

        If no decider knows of the invocation, its attempts are cancelled here.
        """
        if self._is_with_decider(pending):
            self.decider.send([messages.WITHDRAW, pending.invocation.id])
        elif self.settings["may_cancel"]:
            for number in list(pending.attempts):
                self._on_cancel(pending.invocation.id, number, False)

    def _can_serve_standalone(self, invocation: Invocation) -> bool:
        return bool(self.appliances) and can_serve_standalone(self.settings, invocation)

    @property
    def standalone_host(self) -> EngineHost:
        """The worker's own decisions, made when they are first needed."""
        if self._standalone_host is None:
            settings = standalone_settings(self.settings, self.workers)
            self._standalone_host = EngineHost(self, settings, self.seed)
        return self._standalone_host

    def _update_standalone_host(self) -> None:
        """Gives the worker's own decisions the present stage, and the appliances that they may use."""
        host, now = self.standalone_host, self.clock.now()
        host.catch_up()
        agent = host.engine.agent
        if self.stage is not None and (agent.stage is None or agent.stage.identity != self.stage.identity):
            agent.on_stage(Stage(*self.stage.identity, 0.0, self.stage.age + now - self.stage_received_at))
        usable = [
            appliance
            for appliance in self.appliance_list.appliances.values()
            if can_use_standalone(self.settings, appliance, now)
        ]
        agent.fleet = []
        agent.on_list("whole", usable)
        host.engine.resume_woken()

    def _accept_standalone(
        self, invocation: Invocation, call: ClientCall, limit: int, attributes: dict[str, Any]
    ) -> Invocation:
        accepted = self.standalone_host.accept(
            call,
            invocation.operation,
            invocation.arrived_at,
            limit,
            invocation_id=invocation.id,
            **attributes,
        )
        call.invocation = accepted
        return accepted

    def _start_standalone(self) -> None:
        """Goes on without the decider: resolves what was dispatched, decides itself on what was not."""
        self.log_event(
            "alone",
            level="warning",
            held=len(self.pending),
            silent=(self.clock.now() - self.monitor.last_heard) // 1000,
        )
        if self.appliances:
            self._update_standalone_host()
        for pending in list(self.pending.values()):
            if pending.answered:
                continue
            invocation = pending.invocation
            if invocation.dispatches or pending.grants:
                self._resolve_without_decider(pending)
            elif self._can_serve_standalone(invocation):
                if self._is_with_decider(pending):
                    self.decider.send([messages.WITHDRAW, invocation.id])
                del self.pending[invocation.id]
                limit = invocation.deadline - invocation.arrived_at
                self._accept_standalone(invocation, pending.call, limit, pending.attributes)

    # ---- time ----
    def _run_standalone_timers(self) -> None:
        self._standalone_host.run_timers()

    def _tick(self) -> None:
        """Checks once a tick whether the decider is still heard."""
        now = self.clock.now()
        if was_suspended(now, self._ticked_at, self.settings["tick"], self.clock.heartbeat):
            self._resumed_at = now
        self._ticked_at = now
        if self.monitor.check(now, self._resumed_at):
            self._start_standalone()
        self.loop.call_later(self.settings["tick"] / 1e6, self._tick)

    def _watch_deadline(self, invocation: Invocation, due: int) -> None:
        heapq.heappush(self._deadlines, (due, invocation.id))
        self._deadline_alarms.schedule(due)

    def _check_deadlines(self) -> None:
        now = self.clock.now()
        while self._deadlines and self._deadlines[0][0] <= now:
            _, invocation_id = heapq.heappop(self._deadlines)
            pending = self.pending.get(invocation_id)
            if pending is None or pending.answered:
                continue
            decided = self._is_with_decider(pending) and not self.monitor.standalone
            due = answer_deadline(pending.invocation.deadline, self.settings["tick"], decided)
            if now < due:
                self._watch_deadline(pending.invocation, due)
            else:
                self._answer_at_deadline(pending)

    def _answer_at_deadline(self, pending: PendingInvocation) -> None:
        """Answers an invocation shortly before the client's time is up, since the decider has not."""
        if pending.answers and not pending.invocation.streaming:
            self._deliver_answer(pending)
        else:
            self._give_up(pending)

    def send_heartbeat(self) -> None:
        """Sends the decider a heartbeat."""
        if self.decider is not None:
            self.decider.send([messages.HEARTBEAT, self.draining])

    # ---- shutdown ----
    @property
    def held(self) -> int:
        """Calls without an answer, and dispatches that are sent for other workers."""
        own = sum(not pending.answered for pending in self.pending.values())
        standalone = len(self._standalone_host.calls) if self._standalone_host else 0
        return own + len(self.forwarding.sending) + standalone

    def give_up_all(self) -> None:
        """Answers all calls at once."""
        for pending in list(self.pending.values()):
            if not pending.answered:
                self._answer_at_deadline(pending)
        if self._standalone_host is not None:
            self._standalone_host.give_up_all()

    # ---- the environment of the worker's own decisions ----
    def now(self) -> int:
        """Returns the time in microseconds."""
        return self.clock.now()

    def schedule_alarm(self, due: int) -> None:
        """Wakes the worker's own decisions at a time."""
        self._alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        """Calls a function in the next loop turn."""
        self.loop.add_callback(do)

    def start(self, dispatch: Dispatch, call: ClientCall) -> Any:
        """Starts a dispatch of the worker's own decisions."""
        return self.appliance_pools.start(dispatch, call)

    # Standalone work does none of these.
    def probe(self, appliance: Appliance) -> None:
        """Does nothing."""

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Does nothing."""

    def subscribe(self) -> None:
        """Does nothing."""

    def fetch_list(self) -> None:
        """Does nothing."""

    def message(self, to: int | None, figures: list[int]) -> None:
        """Does nothing."""


def instance_id(entry: ListEntry) -> str:
    """Returns the name by which the processes of one agent know one start of one appliance."""
    return f"{entry.id}/{entry.build}/{entry.run}"
