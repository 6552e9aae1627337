"""Decides on one invocation from its arrival to its final answer: hold, probe, dispatch, copy, retry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Generator
from functools import partial
from typing import Any

from ..interface import (
    ERROR,
    SIDE_EFFECTING,
    UNCONNECTED,
    ActionGenerator,
    Appliance,
    Cancel,
    Dispatch,
    Invocation,
    Outcome,
    Probe,
    Terminate,
    Throttle,
    Wait,
)
from ..state import AgentState
from .selection import load_score, to_probe
from .timing import MILLISECOND, STALL_TIME

SECOND_COPY_PRICE = 3.0  # what a second copy takes from the retry budget
FAILED_RETRY_PRICE = 0.25  # the same for a retry after an error or without a connection
RETRY_PRICE = 1.0  # for any other

RETRY_MARGIN = 20 * MILLISECOND  # before the time from which on an answer is of no use
HOLD_STEP = 50 * MILLISECOND  # after which a held invocation is looked at again
HOLD_PART = 6  # an invocation is held for one part in this many of its SLO time
PROBE_PART = 15  # a probe is waited for as long as one part in this many of the SLO time
SECOND_COPY_PART = 16  # a second copy that was not allowed is tried again after one part in this many
SECOND_COPY_USE = 0.8  # of the bound on outstanding dispatches; above, no second copy is sent
MAX_ERRORS = 1  # an invocation that has failed more often fails at any appliance
MAX_VALUE_FACTOR = 2.0  # in overload, up to this much more room is left for what is worth most

# What a part of the decisions on an invocation yields, takes and returns.
Choice = Generator[Any, Outcome | None, list[Appliance]]


class Decisions(AgentState, ABC):
    """What the handlers of invocations share.

    Attributes:
        least_value: the least worth of an answer, over all operations.
    """

    least_value: float

    @abstractmethod
    def pick(self, invocation: Invocation) -> list[Appliance]:
        """Picks the appliances of which one gets the next dispatch."""

    @abstractmethod
    def may_go(self, invocation: Invocation, appliance: Appliance) -> bool:
        """Returns whether the invocation may be sent to the appliance."""

    @abstractmethod
    def may_repeat(self, invocation: Invocation, appliance: Appliance) -> bool:
        """Returns whether the effect of the operation allows another dispatch to this appliance."""

    @abstractmethod
    def may_retry(self, invocation: Invocation, price: float) -> bool:
        """Returns whether one more dispatch is within the retry budget, and takes it from the budget."""

    @abstractmethod
    def send(self, invocation: Invocation, appliance: Appliance, timeout: int, until: int) -> Dispatch:
        """Returns the dispatch to yield, and counts it."""

    @abstractmethod
    def give_up(self, invocation: Invocation) -> Throttle | Terminate:
        """Returns the final answer of an invocation that no appliance has answered."""


class InvocationHandler:
    """Handles one invocation.

    Attributes:
        agent: the decisions of the instance.
        invocation: the invocation.
        end: the last moment for the agent's answer.
        useful: from then on an answer is worth nothing.
    """

    __slots__ = ("_part", "_value_factor", "agent", "end", "invocation", "useful")

    def __init__(self, agent: Decisions, invocation: Invocation) -> None:
        operation = invocation.operation
        self.agent, self.invocation = agent, invocation
        self.end = invocation.deadline - 2 * agent.settings["tick"]
        in_time = min(self.end, invocation.arrived_at + operation.slo_time)
        self.useful = self.end if operation.late_value > 0 else in_time
        # in overload, what is worth most goes first
        self._value_factor = min(MAX_VALUE_FACTOR, operation.billed_value / agent.least_value)
        self._part = agent.rng.random()  # chance stands for what is less than one dispatch

    def run(self) -> ActionGenerator:
        """Yields the actions until the invocation has its final answer."""
        invocation = self.invocation
        while True:
            pair = yield from self._hold()
            if pair and not invocation.concluded and (asked := to_probe(self.agent, pair)):
                pair = yield from self._probe(pair, asked)
                if not pair and not invocation.concluded:
                    continue
            if not pair or invocation.concluded:
                break
            yield from self._dispatch(pair)
            if invocation.concluded or not self._may_retry():
                break
        if not invocation.concluded:
            yield self.agent.give_up(invocation)
        for dispatch in invocation.dispatches:
            if dispatch.result is None and self.agent.settings["may_cancel"]:
                yield Cancel(dispatch)

    def _hold(self) -> Choice:
        """Picks appliances, and holds the invocation until there are some; returns none if none come."""
        agent, invocation, host = self.agent, self.invocation, self.agent.host
        held_until = min(self.useful, host.now + invocation.operation.slo_time // HOLD_PART)
        while not invocation.concluded:
            # a stall of this process held up what comes now
            if self._has_room() or host.lag > STALL_TIME:
                pair = agent.pick(invocation)
                if pair:
                    return pair
            if host.now >= held_until:
                break
            agent.held.append(invocation)
            yield Wait(min(held_until, host.now + HOLD_STEP))
            agent.held.remove(invocation)
        return []

    def _has_room(self) -> bool:
        agent = self.agent
        return agent.open_dispatches + self._part < agent.concurrency_limit * self._value_factor

    def _probe(self, pair: list[Appliance], asked: list[Appliance]) -> Choice:
        """Probes some of the appliances; returns those that the invocation may go to afterwards."""
        agent, invocation, now = self.agent, self.invocation, self.agent.host.now
        for appliance in asked:
            appliance.decision_state.last_probe_at = now
        yield Probe(asked, min(self.useful, now + invocation.operation.slo_time // PROBE_PART))
        return [] if invocation.concluded else [each for each in pair if agent.may_go(invocation, each)]

    def _dispatch(self, pair: list[Appliance]) -> ActionGenerator:
        """Dispatches to the better one, and once more where a second copy is allowed and few are held."""
        agent, invocation, host = self.agent, self.invocation, self.agent.host
        timeout, second_at = self.end - host.now, self.end
        if invocation.operation.effect != SIDE_EFFECTING:
            if agent.settings["may_duplicate"]:
                second_at = host.now + (self.useful - host.now) // 2
            elif not invocation.dispatches:
                timeout = (self.useful - host.now) * 9 // 10
        chosen = min(pair, key=partial(load_score, agent))
        yield agent.send(invocation, chosen, timeout, second_at)
        while self._is_open():
            if host.now < second_at or invocation.streaming:
                yield Wait(second_at if host.now < second_at else None)
            elif self._is_crowded():
                # not now, perhaps a little later
                later = host.now + invocation.operation.slo_time // SECOND_COPY_PART
                second_at = later if host.now < self.useful else self.end
            else:
                second_at, tried = self.end, [dispatch.appliance for dispatch in invocation.dispatches]
                copy = min(agent.pick(invocation), key=partial(load_score, agent), default=None)
                if copy and copy not in tried and agent.may_retry(invocation, SECOND_COPY_PRICE):
                    yield agent.send(invocation, copy, self.end - host.now, self.end)

    def _is_open(self) -> bool:
        """Returns whether the answer to a dispatch is waited for."""
        invocation = self.invocation
        if invocation.concluded or invocation.streaming:
            return not invocation.concluded
        outstanding = any(dispatch.result is None for dispatch in invocation.dispatches)
        return outstanding and self.agent.host.now < self.end

    def _is_crowded(self) -> bool:
        """Returns whether other invocations need the room that a second copy would take."""
        agent = self.agent
        return bool(agent.held) or agent.open_dispatches >= SECOND_COPY_USE * agent.concurrency_limit

    def _may_retry(self) -> bool:
        """Returns whether one more dispatch is of use and allowed."""
        agent, invocation = self.agent, self.invocation
        results = [dispatch.result for dispatch in invocation.dispatches]
        price = FAILED_RETRY_PRICE if results[-1] in (ERROR, UNCONNECTED) else RETRY_PRICE
        return (
            agent.host.now < self.useful - RETRY_MARGIN
            and results.count(ERROR) <= MAX_ERRORS
            and agent.may_retry(invocation, price)
            and any(agent.may_repeat(invocation, appliance) for appliance in agent.fleet)
        )
