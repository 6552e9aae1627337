"""Hosts one instance of the decisions: its clock, its timers, and the generators that wait.

It makes no decisions itself.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, NamedTuple, Protocol

from .interface import Appliance, Cancel, Dispatch, Invocation, Outcome, Probe, Terminate, Throttle, Wait
from .logic import Agent


class ActionSink(Protocol):
    """Carries out the actions of the decisions."""

    def dispatch(self, dispatch: Dispatch) -> None:
        """Sends an invocation to an appliance."""

    def cancel(self, dispatch: Dispatch) -> None:
        """Stops waiting for a dispatch."""

    def throttle(self, invocation: Invocation, retry_after: int) -> None:
        """Gives the client its final answer: refused, retry after so many microseconds."""

    def terminate(self, invocation: Invocation) -> None:
        """Gives the client its final answer: failed, without a promise."""

    def set_timer(self, due: int) -> None:
        """Calls `Engine.run_timers` at this time."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Sends a vote on a stage to the release controller."""

    def subscribe(self) -> None:
        """Asks discovery to send changes of the list of appliances."""

    def fetch_list(self) -> None:
        """Asks discovery for the whole list of appliances."""

    def probe(self, appliance: Appliance) -> None:
        """Sends a health check to an appliance."""

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends numbers to another agent, or to all agents if `to` is None."""


class ProbeWait(NamedTuple):
    """An invocation that waits for the first answer to its probes."""

    invocation: Invocation
    wait_id: int
    appliances: list[Appliance]


class Engine:
    """One instance of the decisions.

    It hands the sink's methods of the same names to the decisions as they are.

    Attributes:
        now: the present time in microseconds.
        lag: by how long the earliest timer was overdue when the clock last advanced.
        agent: the decisions.
    """

    def __init__(self, now: int, seed: int, settings: Mapping[str, Any], sink: ActionSink) -> None:
        self.now, self.lag = now, 0
        self.sink = sink
        self.log, self.vote, self.subscribe = sink.log, sink.vote, sink.subscribe
        self.fetch_list, self.message = sink.fetch_list, sink.message
        self._timers: list[tuple[int, int, Callable[[], None]]] = []
        self._timer_count = self._wait_count = 0
        # Timers hold the number of a wait, not the invocation, so that they keep nothing alive.
        self._waits: dict[int, Invocation] = {}
        self._woken: deque[int] = deque()
        self._probing: list[ProbeWait] = []
        self._next_alarm: int | None = None
        self.agent = Agent(self, settings, random.Random(seed))

    # ---- the clock ----
    def call_at(self, due: int, callback: Callable[[], None]) -> None:
        """Calls back once, at `due` or as soon as possible afterwards."""
        self._timer_count += 1
        heapq.heappush(self._timers, (due, self._timer_count, callback))
        self._arm()

    def advance_to(self, now: int) -> None:
        """Advances the clock. A timer that is overdue by then shows that the process stalled."""
        if now != self.now:
            self.lag = max(0, now - self._timers[0][0]) if self._timers else 0
            self.now = now

    def _arm(self) -> None:
        if self._timers and (self._next_alarm is None or self._timers[0][0] < self._next_alarm):
            self._next_alarm = max(self._timers[0][0], self.now)
            self.sink.set_timer(self._next_alarm)

    def run_timers(self) -> None:
        """Runs the timers that are due.

        To be called at the time that `set_timer` gave; a call at another time does no harm.
        """
        if self._next_alarm is not None and self._next_alarm <= self.now:
            self._next_alarm = None
        last = self._timer_count
        try:
            while self._timers and self._timers[0][0] <= self.now and self._timers[0][1] <= last:
                heapq.heappop(self._timers)[2]()
        finally:  # an exception in one of them must not hold up the others
            self._arm()

    def run_overdue_timers(self) -> None:
        """Runs what should have run before the present event, without waiting for `set_timer`."""
        if self._timers and self._timers[0][0] <= self.now:
            self.run_timers()

    # ---- invocations ----
    def accept(self, invocation: Invocation) -> None:
        """Starts to handle a client's request."""
        invocation.generator = self.agent.handle(invocation)
        self._resume(invocation, None)

    def dispatch_ended(self, outcome: Outcome) -> None:
        """Reports how a dispatch ended."""
        dispatch = outcome.dispatch
        invocation = dispatch.invocation
        dispatch.result = outcome.result
        if outcome.complete:
            invocation.concluded = True
        self.agent.observe(outcome)
        if invocation.generator is not None:
            self._resume(invocation, outcome)

    def probe_ended(
        self, appliance: Appliance, answered: bool, duration: int, load: Mapping[str, float] | None
    ) -> None:
        """Reports how a probe ended; an answer wakes the invocations that wait for one."""
        self.agent.on_probe(appliance, answered, duration, load)
        if answered:
            self._woken.extend(wait_id for _, wait_id, asked in self._probing if appliance in asked)

    def may_send(self, dispatch: Dispatch) -> bool:
        """Returns whether a dispatch that waited for a connection may still be sent, now that it has one."""
        return self.agent.may_send(dispatch)

    def client_left(self, invocation: Invocation) -> None:
        """The client has left: the invocation needs no answer."""
        invocation.concluded = True
        if invocation.generator is not None:
            self._resume(invocation, None)

    def is_broken(self, invocation: Invocation) -> bool:
        """Returns whether an exception has ended the generator, or left it where it is never resumed."""
        return invocation.generator is None or not (
            invocation.generator.gi_running or self._waits.get(invocation.wait_id) is invocation
        )

    def wake(self, invocation: Invocation) -> None:
        """Resumes a waiting invocation once the present event has been handled."""
        self._woken.append(invocation.wait_id)

    def resume_woken(self) -> None:
        """Resumes what was woken. To be called when the present events have been handled."""
        while self._woken:
            self._resume_wait(self._woken.popleft())

    def _resume_wait(self, wait_id: int) -> None:
        invocation = self._waits.get(wait_id)
        if invocation is not None:
            self._resume(invocation, None)

    def _resume(self, invocation: Invocation, value: Outcome | None) -> None:
        """Runs the generator of an invocation until it waits or ends."""
        self._waits.pop(invocation.wait_id, None)
        self._wait_count += 1
        invocation.wait_id = self._wait_count
        while True:
            try:
                action = invocation.generator.send(value)
            except StopIteration:
                invocation.generator = None
                return
            value = None
            match action:
                case Dispatch():
                    number = len(invocation.dispatches)
                    action.invocation, action.number, action.sent = invocation, number, self.now
                    invocation.dispatches.append(action)
                    self.sink.dispatch(action)
                case Wait():
                    pass
                case Probe(appliances):
                    self._start_probes(invocation, appliances)
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
            if action.until is not None:
                self.call_at(action.until, partial(self._resume_wait, invocation.wait_id))
            return

    def _start_probes(self, invocation: Invocation, appliances: list[Appliance]) -> None:
        self._probing = [wait for wait in self._probing if wait.invocation.wait_id == wait.wait_id]
        self._probing.append(ProbeWait(invocation, invocation.wait_id, appliances))
        for appliance in appliances:
            self.sink.probe(appliance)
