"""The duty `release`: the rollout of a build in stages, decided from the log alone.

Each member that applies the same entries comes to the same state. Times are whole microseconds on the clock
that the entries carry, which never runs backward.
"""

from __future__ import annotations

import copy
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, NamedTuple

SECOND = 1_000_000
HOLD_MARGIN = 50_000  # how long before the end of its time a stage that is held stands still
TIMER = "timer"  # the value of RolloutPlan.control with which stages advance by time


# keys of a snapshot, and the attributes that they hold; the keys are part of the format on disk
SNAPSHOT_KEYS = {
    "build": "build",
    "number": "stage",
    "phase": "phase",
    "since": "since",
    "places": "machines",
    "earlier": "previous_build",
    "clock": "running_since",
    "votes": "votes",
    "told": "answered",
    "asked": "recent_votes",
    "wanted": "wanted_machines",
}


class Phase(IntEnum):
    """The state of the newest build; the values are those of the wire."""

    ON_TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Choice(IntEnum):
    """What an agent votes for; the values are those of the wire."""

    NO_VOTE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class Answer(IntEnum):
    """The answer to a command; the values are those of the wire."""

    OK = 0
    MOOT = 1  # it does not apply to the present state
    FULL = 2  # too many votes arrived within a second


class StepsNeeded(NamedTuple):
    """Steps that have to be done before a stage of this build, or of a later one, begins."""

    stage: int
    steps: str
    build: int


class Vote(NamedTuple):
    """The latest vote of an agent."""

    build: int
    stage: int
    choice: int
    expires_at: int
    serial: int


class AnsweredVote(NamedTuple):
    """The serial number of an agent's latest vote, and the answer that it got."""

    serial: int
    answer: int


@dataclass
class RolloutPlan:
    """How builds are rolled out, as the settings say.

    Attributes:
        control: whether stages advance by votes of any agent or of a share of the agents, or by time.
        in_place: machines of the new build replace others, instead of being added to them.
        shares: the share of the machines that run the new build, by stage.
        caps: the share of the traffic that the new build may get, by stage.
        on_votes, hold_votes, back_votes: the number of votes that advance, hold or withdraw a build.
        vote_life: how long a vote counts.
        vote_allowance: the largest number of votes in a second.
        bake: the least time of a stage, once its machines run.
        step: the time of a stage, if stages advance by time.
        grace: the time between the decision to withdraw a build and the drain of its machines.
        needs: steps that have to be done before a stage begins.
    """

    control: str = "any"
    in_place: bool = False
    shares: tuple[float, ...] = (0.1, 0.35, 1.0)
    caps: tuple[float, ...] = (0.14, 0.49, 1.0)
    on_votes: int = 1
    hold_votes: int = 0
    back_votes: int = 1
    vote_life: int = 6 * SECOND
    vote_allowance: float = 100.0
    bake: int = 1 * SECOND
    step: int = 3_500_000
    grace: int = 2 * SECOND
    needs: tuple[StepsNeeded, ...] = ()


class RolloutView(NamedTuple):
    """The part of a rollout's state that its effects depend on."""

    build: int
    stage: int
    phase: int
    wanted_machines: dict[int, int]


StepsDone = Callable[[str], bool]


@dataclass
class Rollout:
    """The state of the rollout.

    Attributes:
        stage: the number of the current stage.
        since: when the stage or the phase began.
        machines: the number of machines of earlier builds when the build was offered.
        previous_build: the build that stays if this one is withdrawn.
        running_since: when all machines of the stage ran; None if they do not yet.
        votes, answered: by agent.
        recent_votes: when the votes of the last second arrived.
        wanted_machines: the number of machines by build; machines of other builds are to drain.
    """

    plan: RolloutPlan
    build: int = 1
    stage: int = 0
    phase: Phase = Phase.RELEASED
    since: int = 0
    machines: int = 0
    previous_build: int = 0
    running_since: int | None = None
    votes: dict[int, Vote] = field(default_factory=dict)
    answered: dict[int, AnsweredVote] = field(default_factory=dict)
    recent_votes: list[int] = field(default_factory=list)
    wanted_machines: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.stage = self.stage or max(0, len(self.plan.caps) - 1)

    @property
    def cap(self) -> float:
        """The share of the traffic that the build may get."""
        if self.phase == Phase.RELEASED:
            return 1.0
        is_limited = self.phase == Phase.ON_TRIAL and self.plan.caps
        return self.plan.caps[self.stage] if is_limited else 0.0

    def apply(self, command: Mapping[str, Any], at: int, steps_done: StepsDone) -> int:
        """Applies a command; `steps_done` tells whether the steps of a name are done. Returns the answer."""
        match command["what"]:
            case "vote":
                return self._vote(command, at, steps_done)
            case "offer":
                return self._offer(command["build"], command["machines"], at)
            case "running":
                return self._machines_running(command, at)
            case "look":
                self._update(at, steps_done)
                return Answer.OK
        return Answer.MOOT

    def _enter(self, stage: int, phase: Phase, at: int) -> None:
        self.stage, self.phase, self.since = stage, phase, at
        self.running_since = None
        share = math.ceil(self.plan.shares[stage] * self.machines)
        match phase:
            case Phase.ON_TRIAL:
                replaced = share if self.plan.in_place else 0
                self.wanted_machines = {self.previous_build: self.machines - replaced, self.build: share}
            case Phase.GOING_BACK:
                self.wanted_machines = {self.previous_build: self.machines, self.build: share}
            case Phase.RELEASED:
                self.wanted_machines = {self.build: max(share, self.machines)}
            case Phase.WITHDRAWN:
                self.wanted_machines = {self.previous_build: self.machines}

    def _offer(self, build: int, machines: int, at: int) -> Answer:
        """Begins the rollout of a newer build; one that is still on trial is replaced."""
        if build <= self.build or not machines:
            return Answer.MOOT
        if self.phase == Phase.RELEASED:
            self.previous_build = self.build
        self.build, self.machines, self.votes = build, machines, {}
        self._enter(0, Phase.ON_TRIAL, at)
        return Answer.OK

    def _machines_running(self, command: Mapping[str, Any], at: int) -> Answer:
        """Starts the clock of the stage, once."""
        is_current = (command["build"], command["stage"]) == (self.build, self.stage)
        if not is_current or self.phase != Phase.ON_TRIAL or self.running_since is not None:
            return Answer.MOOT
        self.running_since = at
        return Answer.OK

    def _vote(self, ballot: Mapping[str, Any], at: int, steps_done: StepsDone) -> int:
        agent, serial = ballot["agent"], ballot["serial"]
        known = self.answered.get(agent)
        if serial and known and known.serial == serial:
            return known.answer  # repeated after a time-out: it counts once, also with another owner
        self.recent_votes = [when for when in self.recent_votes if when > at - SECOND]
        answer = Answer.OK
        if len(self.recent_votes) >= self.plan.vote_allowance:
            answer = Answer.FULL
        elif not self._is_applicable(ballot):
            answer = Answer.MOOT
        self.recent_votes.append(at)
        if answer == Answer.OK:
            expires_at = at + self.plan.vote_life
            self.votes[agent] = Vote(ballot["build"], ballot["stage"], ballot["choice"], expires_at, serial)
            self._update(at, steps_done)
        self.answered[agent] = AnsweredVote(serial, answer)
        return answer

    def _is_applicable(self, ballot: Mapping[str, Any]) -> bool:
        if ballot["build"] != self.build or self.phase not in (Phase.ON_TRIAL, Phase.RELEASED):
            return False
        if ballot["choice"] == (Choice.ON if self.plan.control == TIMER else Choice.HOLD):
            return False
        if ballot["choice"] in (Choice.ON, Choice.HOLD):
            return self.phase == Phase.ON_TRIAL and ballot["stage"] == self.stage
        return True

    def count_votes(self, choice: Choice, at: int) -> int:
        """Returns the number of votes that count; votes to go back count at any stage."""
        return sum(
            vote.choice == choice
            and vote.build == self.build
            and vote.expires_at > at
            and (choice == Choice.BACK or vote.stage == self.stage)
            for vote in self.votes.values()
        )

    def _update(self, at: int, steps_done: StepsDone) -> None:
        """Advances or withdraws the build if it is time to. Changes no container in place."""
        if self.phase == Phase.GOING_BACK:
            if at - self.since >= self.plan.grace:
                self._enter(self.stage, Phase.WITHDRAWN, at)
        elif self.phase == Phase.WITHDRAWN:
            return
        elif self.count_votes(Choice.BACK, at) >= self.plan.back_votes:
            self._enter(self.stage, Phase.GOING_BACK, at)
        elif self.phase == Phase.ON_TRIAL and self._may_advance(at, steps_done):
            if self.stage + 1 < len(self.plan.caps):
                self._enter(self.stage + 1, Phase.ON_TRIAL, at)
            else:
                self._enter(self.stage, Phase.RELEASED, at)

    def _may_advance(self, at: int, steps_done: StepsDone) -> bool:
        if self.running_since is None or not self._needs_met(steps_done):
            return False
        if self.plan.control != TIMER:
            has_baked = at - self.running_since >= self.plan.bake
            return has_baked and self.count_votes(Choice.ON, at) >= max(1, self.plan.on_votes)
        if self.plan.hold_votes and self.count_votes(Choice.HOLD, at) >= self.plan.hold_votes:
            self.running_since = max(self.running_since, at - self.plan.step + HOLD_MARGIN)
        return at - self.running_since >= self.plan.step

    def _needs_met(self, steps_done: StepsDone) -> bool:
        return all(
            steps_done(need.steps)
            for need in self.plan.needs
            if need.stage <= self.stage + 1 and need.build <= self.build
        )

    def needs_update(self, at: int, steps_done: StepsDone) -> bool:
        """Whether a `look` command would change anything now."""
        trial = copy.copy(self)
        trial._update(at, steps_done)
        before = (self.stage, self.phase, self.running_since)
        return (trial.stage, trial.phase, trial.running_since) != before

    def view(self) -> RolloutView:
        """Returns what the effects depend on: they carry the token of the entry that changed it last."""
        return RolloutView(self.build, self.stage, self.phase, self.wanted_machines)

    def dump(self) -> dict[str, Any]:
        """Returns the state as a snapshot holds it."""
        return {key: copy.copy(getattr(self, name)) for key, name in SNAPSHOT_KEYS.items()}

    @classmethod
    def load(cls, plan: RolloutPlan, state: Mapping[str, Any]) -> Rollout:
        """Returns a rollout with the state from a snapshot."""
        rollout = cls(plan)
        for key, name in SNAPSHOT_KEYS.items():
            setattr(rollout, name, state[key])
        rollout.phase = Phase(rollout.phase)
        rollout.votes = {agent: Vote(*row) for agent, row in rollout.votes.items()}
        rollout.answered = {agent: AnsweredVote(*row) for agent, row in rollout.answered.items()}
        return rollout
