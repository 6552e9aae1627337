"""Where a carrying part's calls wait for the deciding part's word: in place of the EngineHost, for front and links.

Each invocation belongs to the part that holds its client's stream. That part has the last word on it: a grant that it
gets too late is asked for anew, one for what it has answered is dropped, and no other part can answer. Without a
deciding part it goes on with an understudy, an instance of the decisions that may meet nothing on trial and nothing cold.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Mapping
from typing import Any

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
from . import pipe as say
from .division import (
    ASK,
    GO,
    DeciderMonitor,
    fate,
    last_word,
    may_meet_alone,
    may_stand_in,
    must_wait,
    stood_still,
    understudy_known,
)
from .forwarding import DispatchForwarding
from .pipe import Pipe

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
CODES = {how: code for code, how in enumerate(OUTCOMES)}
SUCCEED, THROTTLE, TERMINATE = range(3)


class PendingInvocation:
    """One invocation that this part holds."""

    __slots__ = ("invocation", "call", "facts", "grants", "attempts", "answers", "life", "answered")

    def __init__(self, invocation: Invocation, call: ClientCall, facts: dict[str, Any]) -> None:
        self.invocation, self.call, self.facts = invocation, call, facts
        self.grants: dict[int, list] = {}  # by dispatch: what the deciding part said, until it has left
        self.attempts: dict[int, Any] = {}  # by dispatch: what is out
        self.answers: dict[int, tuple] = {}  # by dispatch: whole answers that nobody has ruled on
        self.life = 0  # of the deciding part that knows it; 0: none
        self.answered = False


class Dispatcher:
    """number: of this part, from 1; links and front report here. `idents` gives numbers that no other part uses."""

    def __init__(
        self,
        number: int,
        parts: int,
        settings: Mapping[str, Any],
        clock: Clock,
        appliance_pools: AppliancePools,
        log_event: EventLogger,
        idents: Iterator[int],
        seed: int,
    ) -> None:
        self.number, self.parts, self.settings, self.clock, self.appliance_pools, self.log_event = (
            number,
            parts,
            settings,
            clock,
            appliance_pools,
            log_event,
        )
        self.idents, self.seed, self.loop = idents, seed, IOLoop.current()
        self.operations: dict[str, Operation] = {
            operation.name: operation for operation in settings["operations"]
        }
        self._index = {operation: at for at, operation in enumerate(settings["operations"])}
        self.cases: dict[int, PendingInvocation] = {}
        self.appliance_list = ApplianceList()
        self.appliances: dict[str, Appliance] = {}  # by the mark that the parts know one start of one by
        self.marks: dict[Appliance, str] = {}
        # of what is carried for others, all that links ask: whether its answer is a stream
        self.shapes = {stream: Operation("", stream=stream) for stream in (False, True)}
        self.stage: Stage | None = None
        self.told_at = 0
        self.silence = DeciderMonitor(clock.now())
        self.decider: Pipe | None = None
        self.life = 0  # of the deciding part
        self.forwarding = DispatchForwarding(self)
        self.leaving = False
        self._understudy: EngineHost | None = None
        self._alarms = AlarmScheduler(self.loop, clock.now, lambda: self._understudy.run_timers())
        self._dues: list[tuple[int, int]] = []  # when a case is looked at, if it still waits
        self._watch = AlarmScheduler(self.loop, clock.now, self._look)
        self._woke = clock.now()
        self._ticked = clock.now()
        self._tick()

    # ---- the deciding part ----
    def meet(self, decider: Pipe, life: int) -> None:
        """A new deciding part. What the one before never dispatched is referred to it."""
        self.decider, self.life = decider, life
        decider.send([say.HELLO, self.number])
        for case in list(self.cases.values()):
            if not case.answered:
                if case.invocation.dispatches:  # of one that is gone: its outcome is awaited here
                    self._rule(case)
                else:
                    self._refer(case)

    def parted(self, life: int) -> None:
        """The deciding part has gone. What it never answered for waits for the next one."""
        if life == self.life:
            self.decider, self.life = None, 0
            for case in list(self.cases.values()):
                case.life = 0
                case.grants.clear()
                if not case.answered:
                    self._rule(case)

    def hear(self, message: list) -> None:
        if self.silence.hear(self.clock.now()):
            self.log_event("together", held=len(self.cases))
            for case in self.cases.values():
                if not case.answered and not case.life and not case.invocation.dispatches:
                    self._refer(case)
        self._ORDERS[message[0]](self, *message[1:])

    def _pulse(self) -> None: ...

    def _rows(self, how: str, rows: list[list]) -> None:
        found = []
        for appliance_id, build, run, started, state, zone, cell, kind, weight, address in rows:
            self.appliance_pools.addresses[appliance_id] = address
            found.append(ListEntry(appliance_id, build, run, started, state, zone, cell, kind, weight))
        changed = self.appliance_list.apply(how == "whole", found)
        for row in found:
            self.appliances[mark_of(row)] = self.appliance_list.appliances[row.id]
        self.appliances = {mark: a for mark, a in self.appliances.items() if a.state != ours.GONE}
        self.marks = {appliance: mark for mark, appliance in self.appliances.items()}
        self.appliance_pools.retire_gone(changed)
        if self._understudy is not None:
            self._prepare()

    def _stage(self, build: int, number: int, phase: str, age: int) -> None:
        self.stage, self.told_at = Stage(build, number, phase, 0.0, age), self.clock.now()

    # ---- from the front ----
    def accept(
        self, call: ClientCall, operation: Operation, arrived: int, limit: int, **facts: Any
    ) -> Invocation:
        """As the EngineHost's."""
        now = self.clock.now()
        invocation = Invocation(
            next(self.idents),
            operation,
            min(arrived, now),
            arrived + min(limit, operation.time_limit),
            **facts,
        )
        if self.silence.alone and self._can_stand_in(invocation):
            return self._hand_over(invocation, call, limit, facts)
        case = self.cases[invocation.id] = PendingInvocation(invocation, call, facts)
        self._guard(invocation, last_word(invocation.deadline, self.settings["tick"], False))
        if self.decider is not None and not self.silence.alone:
            self._refer(case)
        return invocation

    def _refer(self, case: PendingInvocation) -> None:
        invocation, facts = case.invocation, case.facts
        case.life = self.life
        self.decider.send(
            [
                say.TAKE,
                invocation.id,
                self._index[invocation.operation],
                invocation.arrived_at,
                invocation.deadline - invocation.arrived_at,
                facts.get("customer", ""),
                facts.get("key"),
                facts.get("work_hint", 0),
                facts.get("retry", False),
                facts.get("write", False),
            ]
        )

    def client_left(self, invocation: Invocation) -> None:
        """The client has gone; nothing is owed."""
        case = self._case(invocation)
        if case is None:
            if self._understudy is not None:
                self._understudy.client_left(invocation)
        elif not case.answered:
            self._withdraw(case)

    def _withdraw(self, case: PendingInvocation) -> None:
        """It is answered, or owes nothing: the deciding part is told, and what is out is awaited in silence."""
        case.answered = case.invocation.concluded = True
        self.log_event("withdrawn", level="debug", invocation=case.invocation.id)
        self._gone_from_decider(case)
        self._tidy(case)

    def tell(self, message: bytes) -> None:
        """Another agent's message: this part only passes it on."""
        if self.decider is not None:
            self.decider.send([say.TOLD, message])

    # ---- orders ----
    def _dispatch(
        self, invocation_id: int, number: int, mark: str, patience: int, given: int, carrier: int
    ) -> None:
        case = self.cases.get(invocation_id)
        if case is not None:
            case.grants[number] = [mark, patience, given, given, carrier]
        self._use(invocation_id, number)

    def _use(self, invocation_id: int, number: int) -> None:
        """A grant is about to be used: now, never, or once it has been asked for anew."""
        case = self.cases.get(invocation_id)
        grant = case.grants.get(number) if case else None
        if grant is None:
            self._report(invocation_id, number, ours.OBSOLETE)
            return
        mark, patience, decided, given, carrier = grant
        now, invocation, appliance = self.clock.now(), case.invocation, self.appliances.get(mark)
        owed = (
            self._wanted(case)
            and now < min(invocation.deadline, decided + patience)
            and appliance is not None
        )
        holds = fate(now, given, self.settings["tick"], owed)
        if holds == GO:
            self._start(case, number, appliance, carrier, decided + patience - now, given)
        elif holds == ASK:
            self.decider.send([say.MAY, invocation_id, number])
        else:
            self._unused(case, number)

    def _wanted(self, case: PendingInvocation) -> bool:
        """It still wants a dispatch: not once it has an answer, though the deciding part may not know yet."""
        return not (case.answered or case.answers or case.invocation.streaming)

    def _unused(self, case: PendingInvocation, number: int) -> None:
        del case.grants[number]
        self._tidy(case)
        self._report(case.invocation.id, number, ours.OBSOLETE)

    def stale(self, dispatch: Dispatch) -> None:
        """The grant ran out on its way to the part that was to carry it; nothing has left."""
        case = self._case(dispatch.invocation)
        if case is not None and dispatch.result is None:
            case.attempts.pop(dispatch.number, None)
            if dispatch.number in case.grants and case.life == self.life != 0:
                dispatch.result = ours.OBSOLETE
                self.decider.send([say.MAY, case.invocation.id, dispatch.number])
            else:
                self.dispatch_ended(dispatch, ours.OBSOLETE)

    def ask_again(self, dispatch: Dispatch) -> None:
        """Whoever carries it has found a connection for it, later than the grant holds."""
        case, goes = self._case(dispatch.invocation), None
        if case is not None:
            goes = self.may_send(dispatch)
        attempt = case.attempts.get(dispatch.number) if case else None
        if goes is not None and attempt is not None:
            attempt.cleared(goes)

    def _start(
        self, case: PendingInvocation, number: int, appliance: Appliance, carrier: int, patience: int, given: int
    ) -> None:
        dispatch = Dispatch(appliance, patience, None, case.invocation, number, self.clock.now())
        dispatch.decision_state = given
        while len(case.invocation.dispatches) <= number:  # those before that were never used stand as moot
            moot = Dispatch(
                appliance,
                invocation=case.invocation,
                number=len(case.invocation.dispatches),
                result=ours.OBSOLETE,
            )
            case.invocation.dispatches.append(moot)
        case.invocation.dispatches[number] = dispatch
        if carrier in (self.number, 0):
            case.attempts[number] = self.appliance_pools.start(dispatch, case.call)
        else:
            case.attempts[number] = self.forwarding.lend(dispatch, case.call, carrier)

    def _may_go(self, invocation_id: int, number: int, goes: bool, given: int) -> None:
        case = self.cases.get(invocation_id)
        if case is None:
            return
        grant, attempt = case.grants.get(number), case.attempts.get(number)
        if not goes and attempt is None:
            if grant is not None:
                self._unused(case, number)
            return
        if grant is not None and goes:
            grant[3] = given
        if attempt is not None:
            attempt.dispatch.decision_state = given
            attempt.cleared(goes)
        else:
            self._use(invocation_id, number)

    def _cancel(self, invocation_id: int, number: int, late: bool) -> None:
        case = self.cases.get(invocation_id)
        if case is None:
            return
        case.grants.pop(number, None)
        attempt = case.attempts.pop(number, None)
        if attempt is not None:
            attempt.dispatch.result = ours.TIMEOUT if late else ours.CANCELLED
            attempt.abandon(late)
        self._tidy(case)

    def _answer(self, invocation_id: int, how: int, figure: int) -> None:
        case = self.cases.get(invocation_id)
        if case is None or case.answered:
            return
        if how == SUCCEED and figure not in case.answers:
            return
        if how != SUCCEED and case.answers:  # it was given up on while its answer came
            how, figure = SUCCEED, next(iter(case.answers))
        self._give(case, how, figure)

    def _give(self, case: PendingInvocation, how: int, figure: int) -> None:
        """The one final answer. figure: the dispatch whose answer it is, or advice when to come back."""
        case.answered = case.invocation.concluded = True
        if how == SUCCEED:
            case.call.succeed(*case.answers.pop(figure))
        elif how == THROTTLE:
            case.call.throttle(figure)
        else:
            case.call.terminate()
        case.answers.clear()
        self._tidy(case)

    def _probe(self, mark: str) -> None:
        appliance = self.appliances.get(mark)
        if appliance is not None:
            self.appliance_pools.probe(appliance)

    _ORDERS: dict[int, Callable[..., None]] = {
        say.DISPATCH: _dispatch,
        say.CANCEL: _cancel,
        say.ANSWER: _answer,
        say.MAY_GO: _may_go,
        say.PROBE: _probe,
        say.ROWS: _rows,
        say.STAGE: _stage,
        say.PULSE: _pulse,
    }

    # ---- from the links ----
    def may_send(self, dispatch: Dispatch) -> bool | None:
        """A dispatch has waited for its connection; None: that it may still go is asked, and comes by cleared()."""
        if self.forwarding.has(dispatch):
            return self.forwarding.may_send(dispatch)
        case = self._case(dispatch.invocation)
        if case is None:
            return self._understudy is not None and self._understudy.may_send(dispatch)
        owed = self._wanted(case) and dispatch.result is None and dispatch.appliance.state == READY
        holds = fate(self.clock.now(), dispatch.decision_state, self.settings["tick"], owed)
        if holds == ASK and case.life == self.life != 0:
            self.decider.send([say.MAY, case.invocation.id, dispatch.number])
            return None
        return holds == GO

    def claim_answer(self, dispatch: Dispatch) -> bool:
        """As the EngineHost's."""
        if self.forwarding.has(dispatch):
            return True  # the holder drops it if not
        case = self._case(dispatch.invocation)
        if case is None:
            return self._understudy is not None and self._understudy.claim_answer(dispatch)
        if case.answered or case.invocation.streaming:
            return False
        case.invocation.streaming = True
        if case.life and case.life == self.life:
            self.decider.send([say.BEGUN, case.invocation.id])
        return True

    def dispatch_ended(
        self,
        dispatch: Dispatch,
        how: str,
        load: Mapping[str, float] | None = None,
        answer: tuple[Headers, list[bytes], Headers] | None = None,
        passed: bool = False,
    ) -> None:
        """As the EngineHost's."""
        if self.forwarding.has(dispatch):
            self.forwarding.dispatch_ended(dispatch, how, load, answer, passed)
            return
        case = self._case(dispatch.invocation)
        if case is None:
            if self._understudy is not None:
                self._understudy.dispatch_ended(dispatch, how, load, answer, passed)
            return
        if dispatch.result is not None:
            return
        dispatch.result = how
        case.attempts.pop(dispatch.number, None)
        case.grants.pop(dispatch.number, None)
        given = False
        if how == ours.SUCCEEDED and not case.answered:
            case.answers[dispatch.number] = answer or ((), [], ())
            if given := not must_wait(
                self.settings, case.invocation
            ):  # as the EngineHost: the first success is the answer
                self._give(case, SUCCEED, dispatch.number)
        if case.life and case.life == self.life:
            lag = max(0, self.clock.now() - self.clock.arrival_time())
            if how == ours.SUCCEEDED and not given:  # binds, though the dispatch was given up on meanwhile
                self.decider.send([say.BOUND, case.invocation.key, dispatch.appliance.build])
            self.decider.send(
                [
                    say.ENDED,
                    case.invocation.id,
                    dispatch.number,
                    CODES[how],
                    dict(load) if load else None,
                    passed,
                    lag,
                    given,
                ],
                urgent=how != ours.SUCCEEDED or not given,
            )
        if not case.answered and (case.life != self.life or not self.life or self.silence.alone):
            self._rule(case)
        self._tidy(case)

    def probe_ended(
        self, appliance: Appliance, answered: bool, took: int, load: Mapping[str, float] | None
    ) -> None:
        if self.decider is not None:
            self.decider.send(
                [say.PROBED, self.marks.get(appliance), answered, took, dict(load) if load else None]
            )

    def _report(self, invocation_id: int, number: int, how: str) -> None:
        if self.decider is not None:
            self.decider.send([say.ENDED, invocation_id, number, CODES[how], None, False, 0, False])

    def _case(self, invocation: Invocation) -> PendingInvocation | None:
        case = self.cases.get(invocation.id)
        return case if case is not None and case.invocation is invocation else None

    def _tidy(self, case: PendingInvocation) -> None:
        if case.answered and not case.attempts and not case.grants:
            self.cases.pop(case.invocation.id, None)
            case.invocation.dispatches = []  # no cycle is left to the collector

    # ---- without the deciding part ----
    def _rule(self, case: PendingInvocation) -> None:
        """Nobody else will: what has succeeded is passed on, what is out is awaited, the rest is given up as the
        decisions say. One that was never dispatched is theirs who come next, or the understudy's."""
        invocation = case.invocation
        if case.answered or not invocation.dispatches:
            return
        if case.answers:
            self._release(case)
        elif not case.attempts and not case.grants:
            self._give_up(case)

    def _release(self, case: PendingInvocation) -> None:
        """Passes on an answer that nobody has ruled on."""
        self._give(case, SUCCEED, next(iter(case.answers)))
        self._gone_from_decider(case)

    def bind(self, key: str | None, build: int) -> None:
        """A key may have been answered by that build, and whoever holds the call may not live to say so."""
        if self.settings["one_way"] and key and self.decider is not None:
            self.decider.send([say.BOUND, key, build])
            self.decider.flush()

    def _give_up(self, case: PendingInvocation) -> None:
        if case.invocation.streaming:
            self._give(case, TERMINATE, 0)
            self._gone_from_decider(case)
            return
        match self.understudy.engine.agent.give_up(case.invocation):
            case Throttle(retry_after):
                self._give(case, THROTTLE, retry_after)
            case _:
                self._give(case, TERMINATE, 0)
        self.log_event("gave_up", level="debug", invocation=case.invocation.id)
        self._gone_from_decider(case)

    def _gone_from_decider(self, case: PendingInvocation) -> None:
        if case.life and case.life == self.life:
            self.decider.send([say.LEFT, case.invocation.id])
        elif self.settings["may_cancel"]:
            for number in list(case.attempts):
                self._cancel(case.invocation.id, number, False)

    def _can_stand_in(self, invocation: Invocation) -> bool:
        return bool(self.appliances) and may_stand_in(self.settings, invocation)

    @property
    def understudy(self) -> EngineHost:
        if self._understudy is None:
            settings = understudy_known(self.settings, self.parts)
            self._understudy = EngineHost(self, settings, self.seed)
        return self._understudy

    def _prepare(self) -> None:
        """The understudy is told of what it may meet now."""
        engine_host, now = self.understudy, self.clock.now()
        engine_host.catch_up()
        agent = engine_host.engine.agent
        if self.stage is not None and (agent.stage is None or agent.stage.identity != self.stage.identity):
            agent.on_stage(Stage(*self.stage.identity, 0.0, self.stage.age + now - self.told_at))
        may = [a for a in self.appliance_list.appliances.values() if may_meet_alone(self.settings, a, now)]
        agent.fleet = []
        agent.on_list("whole", may)
        engine_host.engine.resume_woken()

    def _hand_over(
        self, invocation: Invocation, call: ClientCall, limit: int, facts: dict[str, Any]
    ) -> Invocation:
        taken = self.understudy.accept(
            call, invocation.operation, invocation.arrived_at, limit, invocation_id=invocation.id, **facts
        )
        call.invocation = taken
        return taken

    def _go_alone(self) -> None:
        self.log_event(
            "alone",
            level="warning",
            held=len(self.cases),
            silent=(self.clock.now() - self.silence.heard) // 1000,
        )
        if self.appliances:
            self._prepare()
        for case in list(self.cases.values()):
            if case.answered:
                continue
            if case.invocation.dispatches or case.grants:
                self._rule(case)
            elif self._can_stand_in(case.invocation):
                if case.life and case.life == self.life:
                    self.decider.send([say.LEFT, case.invocation.id])
                del self.cases[case.invocation.id]
                left = case.invocation.deadline - case.invocation.arrived_at
                self._hand_over(case.invocation, case.call, left, case.facts)

    # ---- time ----
    def _tick(self) -> None:
        """Once a tick: whether the deciding part is heard."""
        now = self.clock.now()
        if stood_still(now, self._ticked, self.settings["tick"], self.clock.heartbeat):
            self._woke = now
        self._ticked = now
        if self.silence.look(now, self._woke):
            self._go_alone()
        self.loop.call_later(self.settings["tick"] / 1e6, self._tick)

    def _guard(self, invocation: Invocation, due: int) -> None:
        heapq.heappush(self._dues, (due, invocation.id))
        self._watch.schedule(due)

    def _look(self) -> None:
        """At what is running out of time."""
        now = self.clock.now()
        while self._dues and self._dues[0][0] <= now:
            _, invocation_id = heapq.heappop(self._dues)
            case = self.cases.get(invocation_id)
            if case is None or case.answered:
                continue
            decided = case.life == self.life != 0 and not self.silence.alone
            due = last_word(case.invocation.deadline, self.settings["tick"], decided)
            if now < due:
                self._guard(case.invocation, due)
            else:
                self._in_time(case)

    def _in_time(self, case: PendingInvocation) -> None:
        """The client's time is all but up, and no word has come."""
        if case.answers and not case.invocation.streaming:
            self._release(case)
        else:
            self._give_up(case)

    def beat(self) -> None:
        if self.decider is not None:
            self.decider.send([say.BEAT, self.leaving])

    # ---- the end ----
    @property
    def held(self) -> int:
        """Calls that are owed an answer, and dispatches that are carried for other parts."""
        own = sum(not case.answered for case in self.cases.values())
        return own + len(self.forwarding.carried) + (len(self._understudy.calls) if self._understudy else 0)

    def give_up_all(self) -> None:
        for case in list(self.cases.values()):
            if not case.answered:
                self._in_time(case)
        if self._understudy is not None:
            self._understudy.give_up_all()

    # ---- the understudy's World ----
    def now(self) -> int:
        return self.clock.now()

    def schedule_alarm(self, due: int) -> None:
        self._alarms.schedule(due)

    def run_soon(self, do: Callable[[], None]) -> None:
        self.loop.add_callback(do)

    def start(self, dispatch: Dispatch, call: ClientCall) -> Any:
        return self.appliance_pools.start(dispatch, call)

    def probe(self, appliance: Appliance) -> None: ...
    def vote(self, build: int, stage: int, verdict: str) -> None: ...
    def subscribe(self) -> None: ...
    def fetch_list(self) -> None: ...
    def message(self, to: int | None, figures: list[int]) -> None: ...


def mark_of(row: ListEntry) -> str:
    """By which the parts know one start of one appliance."""
    return f"{row.id}/{row.build}/{row.run}"
