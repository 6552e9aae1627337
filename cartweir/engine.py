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


class Door(Protocol):
    """Carries the instance's actions out to the world."""

    def dispatch(self, dispatch: Dispatch) -> None: ...
    def cancel(self, dispatch: Dispatch) -> None: ...
    def throttle(self, inv: Invocation, retry_after: int) -> None: ...
    def terminate(self, inv: Invocation) -> None: ...
    def set_timer(self, due: int) -> None: ...
    def log(self, text: str) -> None: ...
    def vote(self, build: int, stage: int, verdict: str) -> None: ...
    def subscribe(self) -> None: ...
    def fetch_list(self) -> None: ...
    def probe(self, appliance: Appliance) -> None: ...
    def message(self, to: int | None, figures: list[int]) -> None: ...


class Engine:
    """One instance. The door's actions of the same names are offered to the decisions as they are."""

    def __init__(self, now: int, seed: int, known: Mapping[str, Any], door: Door) -> None:
        self.now, self.lag = now, 0
        self.door = door
        self.log, self.vote, self.subscribe = door.log, door.vote, door.subscribe
        self.fetch_list, self.message = door.fetch_list, door.message
        self._timers: list[tuple[int, int, Callable[[], None]]] = []
        self._order = self._turns = 0
        self._waits: dict[
            int, Invocation
        ] = {}  # by turn: who waits; timers know turns alone, and keep nothing alive
        self._woken: deque[int] = deque()
        self._probing: list[tuple[Invocation, int, list[Appliance]]] = []
        self._next_alarm: int | None = None
        self.agent = Agent(self, known, random.Random(seed))

    # ---- the clock ----
    def at(self, due: int, do: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._timers, (due, self._order, do))
        self._arm()

    def enter(self, now: int) -> None:
        """The clock moves on: a timer that is overdue by then tells of a stall."""
        if now != self.now:
            self.lag = max(0, now - self._timers[0][0]) if self._timers else 0
            self.now = now

    def _arm(self) -> None:
        if self._timers and (self._next_alarm is None or self._timers[0][0] < self._next_alarm):
            self._next_alarm = max(self._timers[0][0], self.now)
            self.door.set_timer(self._next_alarm)

    def alarm(self) -> None:
        """A timer has fired: run what is due. A stale one finds nothing to run."""
        if self._next_alarm is not None and self._next_alarm <= self.now:
            self._next_alarm = None
        last = self._order
        try:
            while self._timers and self._timers[0][0] <= self.now and self._timers[0][1] <= last:
                heapq.heappop(self._timers)[2]()
        finally:  # a fault in one of them withholds none of the others
            self._arm()

    def overdue(self) -> None:
        """Run what should have run before the event in hand, without waiting for its alarm."""
        if self._timers and self._timers[0][0] <= self.now:
            self.alarm()

    # ---- invocations ----
    def take(self, inv: Invocation) -> None:
        inv.steps = self.agent.handle(inv)
        self._resume(inv, None)

    def outcome(self, outcome: Outcome) -> None:
        dispatch = outcome.dispatch
        inv = dispatch.invocation
        dispatch.ended = outcome.how
        if outcome.complete:
            inv.concluded = True
        self.agent.observe(outcome)
        if inv.steps is not None:
            self._resume(inv, outcome)

    def probed(
        self, appliance: Appliance, answered: bool, took: int, load: Mapping[str, float] | None
    ) -> None:
        self.agent.on_probe(appliance, answered, took, load)
        if answered:
            self._woken.extend(turn for _, turn, asked in self._probing if appliance in asked)

    def leaves(self, dispatch: Dispatch) -> bool:
        """A dispatch that had to wait outside could go out now. False: it must not any more."""
        return self.agent.leaves(dispatch)

    def expired(self, inv: Invocation) -> None:
        """The client has left; nothing more is owed."""
        inv.concluded = True
        if inv.steps is not None:
            self._resume(inv, None)

    def broken(self, inv: Invocation) -> bool:
        """A fault has ended its generator, or keeps it from ever being resumed."""
        return inv.steps is None or not (inv.steps.gi_running or self._waits.get(inv.turn) is inv)

    def wake(self, inv: Invocation) -> None:
        """Resume a waiting invocation once the event in hand has been dealt with."""
        self._woken.append(inv.turn)

    def settle(self) -> None:
        """To be called when the events in hand have been dealt with."""
        while self._woken:
            self._rouse(self._woken.popleft())

    def _rouse(self, turn: int) -> None:
        inv = self._waits.get(turn)
        if inv is not None:
            self._resume(inv, None)

    def _resume(self, inv: Invocation, value: Outcome | None) -> None:
        self._waits.pop(inv.turn, None)
        self._turns += 1
        inv.turn = self._turns
        while True:
            try:
                wish = inv.steps.send(value)
            except StopIteration:
                inv.steps = None
                return
            value = None
            match wish:
                case Dispatch():
                    wish.invocation, wish.number, wish.sent = inv, len(inv.dispatches), self.now
                    inv.dispatches.append(wish)
                    self.door.dispatch(wish)
                case Wait():
                    pass
                case Probe(appliances):
                    self._probing = [waiting for waiting in self._probing if waiting[0].turn == waiting[1]]
                    self._probing.append((inv, inv.turn, appliances))
                    for appliance in appliances:
                        self.door.probe(appliance)
                case Cancel(dispatch):
                    self.door.cancel(dispatch)
                    continue
                case Throttle(retry_after):
                    inv.concluded = True
                    self.door.throttle(inv, retry_after)
                    continue
                case Terminate():
                    inv.concluded = True
                    self.door.terminate(inv)
                    continue
            self._waits[inv.turn] = inv
            if wish.until is not None:
                self.at(wish.until, partial(self._rouse, inv.turn))
            return
