"""The guard between the decisions and the sockets: invariants of the rules, checked at run time. No I/O.

It goes by what has been sent and answered, and by no decision. Whatever would violate an invariant is not
sent; it is counted and logged with its ids. No violation is expected: each one is a fault of the program.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import Any

from ..interface import FINGERPRINTED, IDEMPOTENT, NEVER_RAN, READY, Appliance, Dispatch
from .agent import Agent
from .slow_start import COLD_MULTIPLE, DEFAULT_FALL_TIME, warmth

DEVIATIONS = 3  # standard deviations by which chance may exceed a cold appliance's mean, and dispatches


class Invariant(StrEnum):
    """What must hold, by the name that the log has for a violation."""

    CLOSED_UNANSWERED = "closed_unanswered"  # a request that was read is answered, unless its client has gone
    UNSAFE_REPEAT = "unsafe_repeat"  # what may have run is not sent again, unless that is harmless
    SECOND_COPY = "second_copy"  # one copy at a time, where the settings allow no second one
    SENT_TO_LEAVING = "sent_to_leaving"  # nothing new goes to an appliance that leaves
    COLD_OVERLOAD = "cold_overload"  # a cold appliance gets no more than this agent's part of what it bears
    START_IN_FUTURE = "start_in_future"  # no appliance has started later than now


class DispatchGuard:
    """Checks sending, repeating, closing and starting for one agent.

    Attributes:
        agent: The decisions, for what they know of the fleet.
        settings: Their settings.
        log_event: Logs an event.
        violations: Violations so far, by invariant.
    """

    def __init__(self, agent: Agent, settings: Mapping[str, Any], log_event: Callable[..., None]) -> None:
        self.agent, self.settings, self.log_event = agent, settings, log_event
        self.violations: Counter[Invariant] = Counter()
        self._fall_time = settings.get("fall_time", DEFAULT_FALL_TIME)
        self._taken: deque[int] = deque()  # times of requests within the fall time
        self._sent_cold: dict[Appliance, deque[int]] = {}  # and of dispatches to cold appliances

    def record_taken(self, now: int) -> None:
        """Takes note of a request."""
        if self.agent.slow_start.appliances:
            self._taken.append(now)
            _drop_before(self._taken, now - self._fall_time)

    def allows(self, dispatch: Dispatch, now: int) -> bool:
        """Returns whether a dispatch may be sent now; one that may not is a violation.

        One that has waited for its connection is asked for again, and counts from then.
        """
        violated = self._violated(dispatch, now)
        if violated is not None:
            self.report(
                violated,
                invocation=dispatch.invocation.id,
                dispatch=dispatch.number,
                appliance=dispatch.appliance.id,
                build=dispatch.appliance.build,
            )
        return violated is None

    def _violated(self, dispatch: Dispatch, now: int) -> Invariant | None:
        if dispatch.appliance.state != READY:
            return Invariant.SENT_TO_LEAVING
        if dispatch.number:
            violated = self._violated_by_repeat(dispatch, now)
            if violated is not None:
                return violated
        if warmth(self.agent, dispatch.appliance) < 1.0 and self._overloads(dispatch, now):
            return Invariant.COLD_OVERLOAD
        return None

    def _violated_by_repeat(self, dispatch: Dispatch, now: int) -> Invariant | None:
        operation = dispatch.invocation.operation
        others = [
            other
            for other in dispatch.invocation.dispatches
            if other is not dispatch and other.result not in NEVER_RAN
        ]
        if not self.settings["may_duplicate"] and any(other.result is None for other in others):
            return Invariant.SECOND_COPY
        if operation.effect == IDEMPOTENT or not others:
            return None
        in_window = all(now < other.sent + operation.window for other in others)
        return None if operation.effect == FINGERPRINTED and in_window else Invariant.UNSAFE_REPEAT

    def _overloads(self, dispatch: Dispatch, now: int) -> bool:
        """Counts a dispatch to a cold appliance; returns whether it is past this agent's part."""
        appliance = dispatch.appliance
        since = now - self._fall_time
        sent = self._sent_cold.setdefault(appliance, deque())
        if dispatch.sent in sent and dispatch.sent < now:
            sent.remove(dispatch.sent)
        _drop_before(sent, since)
        _drop_before(self._taken, since)
        part = appliance.weight * warmth(self.agent, appliance) / self.agent.usual_weight
        mean = len(self._taken) * part * COLD_MULTIPLE
        if len(sent) + 1 > mean + DEVIATIONS * math.sqrt(mean) + DEVIATIONS:
            return True
        sent.append(now)
        return False

    def record_list(self, changed: Iterable[Appliance], now: int) -> None:
        """Takes note of an update of the list of appliances."""
        cold = set(self.agent.slow_start.appliances)
        for appliance in self._sent_cold.keys() - cold:
            del self._sent_cold[appliance]
        for appliance in changed:
            if appliance.started > now:
                self.report(Invariant.START_IN_FUTURE, appliance=appliance.id, by=appliance.started - now)

    def report(self, invariant: Invariant, **fields: Any) -> None:
        """Counts and logs a violation."""
        self.violations[invariant] += 1
        self.log_event("invariant_violated", level="error", invariant=str(invariant), **fields)


def _drop_before(times: deque[int], since: int) -> None:
    while times and times[0] < since:
        times.popleft()
