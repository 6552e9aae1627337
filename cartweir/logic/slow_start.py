"""Slow start: what appliances get whose caches are cold (rule 4)."""

from __future__ import annotations

from ..interface import READY, Appliance
from ..state import AgentState
from .timing import SECOND

MAX_TAKEN = 40  # invocations taken, at which the counts of them and of those that succeeded are halved
COLD_FALL_PART = 0.55  # of the multiple at which a cold appliance falls over: what it gets at most
COLD_MULTIPLE = 2  # of its even part
MAX_WAIT_PART = 0.25  # of the fall time: what waits for longer to be sent would leave in one burst
DEFAULT_FALL_TIME = SECOND  # where the settings have none
IN_PLACE_REDUCTION = 0.5  # of this multiple, where builds change in place


def warmth(state: AgentState, appliance: Appliance) -> float:
    """Returns the share of its usual traffic that an appliance can bear; it rises linearly from its start."""
    age, warm_time = max(0, state.host.now - appliance.started), state.settings["warm_time"]
    ramp = age / warm_time if appliance.started and age < warm_time else 1.0
    return ramp + (1 - ramp) * state.settings["cold_share"]


class SlowStart:
    """Paces the dispatches to cold appliances, so that the sum of all agents pushes none of them over.

    Each invocation earns the cold appliances their even part of it, cut to what is warm and to what succeeds.
    Whenever a dispatch has been earned, chance names the appliance that may get it, by its part. The others
    get none of it if that one cannot be reached: each agent would spend all it earns on the few that can.

    Attributes:
        state: the state of the agent.
        appliances: those that have not warmed up yet.
        rate: dispatches that one invocation earns.
        credit: dispatches earned and not yet used.
        candidate: the appliance that may get the one that has been earned.
    """

    def __init__(self, state: AgentState) -> None:
        self.state = state
        self.appliances: list[Appliance] = []
        self.rate = 0.0
        self.credit = state.rng.random() - 1
        self.candidate: Appliance | None = None

    def regroup(self) -> None:
        """Takes note of a change of the fleet."""
        self.appliances = [a for a in self.state.fleet if warmth(self.state, a) < 1.0]

    def earn(self) -> None:
        """Counts an invocation taken."""
        state = self.state
        state.taken += 1
        if state.taken > MAX_TAKEN:
            state.taken, state.succeeded = MAX_TAKEN / 2, state.succeeded / 2
        self.rate = 0.0
        if not self.appliances:
            return
        self.appliances = [a for a in self.appliances if a.state == READY and warmth(state, a) < 1.0]
        now = state.host.now
        parts = [
            a.weight * warmth(state, a) * (a.decision_state.ejected_until <= now) for a in self.appliances
        ]
        self.rate = sum(parts) / state.usual_weight * self._multiple()
        if self.credit >= 0:
            # Credit that is not spent at once lapses, or all agents would save up for a burst.
            self.credit = state.rng.random() - 1
        self.credit += self.rate
        if self.credit >= 0:
            self.candidate = state.rng.choices(self.appliances, parts)[0]

    def _multiple(self) -> float:
        state = self.state
        served = min(1.0, (state.succeeded + 2) / (state.taken + 2))
        return served * min(
            COLD_MULTIPLE - IN_PLACE_REDUCTION * state.settings["in_place"],
            state.settings["fall_multiple"] * COLD_FALL_PART,
        )

    def earned(self) -> list[Appliance]:
        """Returns the cold appliance that may get a dispatch now, if there is one."""
        return [self.candidate] if self.credit >= 0 and self.candidate in self.appliances else []

    def allows(self, appliance: Appliance) -> bool:
        """Returns whether an appliance may get a dispatch now: it is warm, or has earned one."""
        if self.credit >= 0 and appliance is self.candidate:
            return True
        return warmth(self.state, appliance) >= 1.0

    def still_allows(self, appliance: Appliance, earned_at: int) -> bool:
        """Returns whether a dispatch that was earned then, and had to wait, may be sent now.

        Guards against dispatches of all agents that wait until a server begins to accept connections.
        """
        waited = self.state.host.now - earned_at
        most = MAX_WAIT_PART * self.state.settings.get("fall_time", DEFAULT_FALL_TIME)
        return waited <= most or warmth(self.state, appliance) >= 1.0

    def spend(self, appliance: Appliance) -> None:
        """Counts a dispatch that is sent."""
        self.credit -= warmth(self.state, appliance) < 1.0
