"""Hosts one instance of the decisions: its clock, its timers, and the generators that wait. Mechanical."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, Protocol

from .interface import Appliance, Cancel, Dispatch, Invocation, Outcome, Probe, Terminate, Throttle, Wait
from .logic import Agent


class ActionSink(Protocol):
    """Carries the instance's actions out to the world."""

    def dispatch(self, dispatch: Dispatch) -> None: ...
    def cancel(self, dispatch: Dispatch) -> None: ...
    def throttle(self, invocation: Invocation, retry_after: int) -> None: ...
    def terminate(self, invocation: Invocation) -> None: ...
    def set_timer(self, due: int) -> None: ...
    def log(self, text: str) -> None: ...
    def vote(self, build: int, stage: int, verdict: str) -> None: ...
    def subscribe(self) -> None: ...
    def fetch_list(self) -> None: ...
    def probe(self, appliance: Appliance) -> None: ...
    def message(self, to: int | None, figures: list[int]) -> None: ...


class Engine:
    """One instance. The door's actions of the same names are offered to the decisions as they are."""

    def __init__(self, now: int, seed: int, settings: Mapping[str, Any], sink: ActionSink) -> None:
        self.now, self.lag = now, 0
        self.sink = sink
        self.log, self.vote, self.subscribe = sink.log, sink.vote, sink.subscribe
        self.fetch_list, self.message = sink.fetch_list, sink.message
        self._timers: list[tuple[int, int, Callable[[], None]]] = []
        self._order = self._turns = 0
        self._waits: dict[
            int, Invocation
        ] = {}  # by turn: who waits; timers know turns alone, and keep nothing alive
        self._woken: deque[int] = deque()
        self._probing: list[tuple[Invocation, int, list[Appliance]]] = []
        self._next_alarm: int | None = None
        self.agent = Agent(self, settings, random.Random(seed))

    # ---- the clock ----
    def call_at(self, due: int, do: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._timers, (due, self._order, do))
        self._arm()

    def advance_to(self, now: int) -> None:
        """The clock moves on: a timer that is overdue by then tells of a stall."""
        if now != self.now:
            self.lag = max(0, now - self._timers[0][0]) if self._timers else 0
            self.now = now

    def _arm(self) -> None:
        if self._timers and (self._next_alarm is None or self._timers[0][0] < self._next_alarm):
            self._next_alarm = max(self._timers[0][0], self.now)
            self.sink.set_timer(self._next_alarm)

    def run_timers(self) -> None:
        """A timer has fired: run what is due. A stale one finds nothing to run."""
        if self._next_alarm is not None and self._next_alarm <= self.now:
            self._next_alarm = None
        last = self._order
        try:
            while self._timers and self._timers[0][0] <= self.now and self._timers[0][1] <= last:
                heapq.heappop(self._timers)[2]()
        finally:  # a fault in one of them withholds none of the others
            self._arm()

    def run_overdue_timers(self) -> None:
        """Run what should have run before the event in hand, without waiting for its alarm."""
        if self._timers and self._timers[0][0] <= self.now:
            self.run_timers()

    # ---- invocations ----
    def accept(self, invocation: Invocation) -> None:
        invocation.generator = self.agent.handle(invocation)
        self._resume(invocation, None)

    def dispatch_ended(self, outcome: Outcome) -> None:
        dispatch = outcome.dispatch
        invocation = dispatch.invocation
        dispatch.result = outcome.result
        if outcome.complete:
            invocation.concluded = True
        self.agent.observe(outcome)
        if invocation.generator is not None:
            self._resume(invocation, outcome)

    def probe_ended(
        self, appliance: Appliance, answered: bool, took: int, load: Mapping[str, float] | None
    ) -> None:
        self.agent.on_probe(appliance, answered, took, load)
        if answered:
            self._woken.extend(turn for _, turn, asked in self._probing if appliance in asked)

    def may_send(self, dispatch: Dispatch) -> bool:
        """A dispatch that had to wait outside could go out now. False: it must not any more."""
        return self.agent.may_send(dispatch)

    def client_left(self, invocation: Invocation) -> None:
        """The client has left; nothing more is owed."""
        invocation.concluded = True
        if invocation.generator is not None:
            self._resume(invocation, None)

    def is_broken(self, invocation: Invocation) -> bool:
        """A fault has ended its generator, or keeps it from ever being resumed."""
        return invocation.generator is None or not (
            invocation.generator.gi_running or self._waits.get(invocation.wait_id) is invocation
        )

    def wake(self, invocation: Invocation) -> None:
        """Resume a waiting invocation once the event in hand has been dealt with."""
        self._woken.append(invocation.wait_id)

    def resume_woken(self) -> None:
        """To be called when the events in hand have been dealt with."""
        while self._woken:
            self._rouse(self._woken.popleft())

    def _rouse(self, turn: int) -> None:
        invocation = self._waits.get(turn)
        if invocation is not None:
            self._resume(invocation, None)

    def _resume(self, invocation: Invocation, value: Outcome | None) -> None:
        self._waits.pop(invocation.wait_id, None)
        self._turns += 1
        invocation.wait_id = self._turns
        while True:
            try:
                wish = invocation.generator.send(value)
            except StopIteration:
                invocation.generator = None
                return
            value = None
            match wish:
                case Dispatch():
                    wish.invocation, wish.number, wish.sent = invocation, len(invocation.dispatches), self.now
                    invocation.dispatches.append(wish)
                    self.sink.dispatch(wish)
                case Wait():
                    pass
                case Probe(appliances):
                    self._probing = [waiting for waiting in self._probing if waiting[0].wait_id == waiting[1]]
                    self._probing.append((invocation, invocation.wait_id, appliances))
                    for appliance in appliances:
                        self.sink.probe(appliance)
                case Cancel(dispatch):
                    self.sink.cancel(dispatch)
                    continue
                case Throttle(retry_after):
                    invocation.concluded = True
                    self.sink.throttle(invocation, retry_after)
                    continue
                case Terminate():
                    invocation.concluded = True
                    self.sink.terminate(invocation)
                    continue
            self._waits[invocation.wait_id] = invocation
            if wish.until is not None:
                self.call_at(wish.until, partial(self._rouse, invocation.wait_id))
            return
