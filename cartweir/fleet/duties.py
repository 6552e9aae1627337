"""The state that the controllers' log adds up to: who owns which duty, and the state of each duty.

A duty is work that exactly one controller, its owner, does for all. The owner proposes commands that carry
the epoch under which it owns the duty. A command of a former epoch has no effect, so a former owner that
resumes changes nothing, even if its commands still reach the leader. An epoch is the index of the log's
entry that granted the duty, preceded by the number of the incarnation: epochs only grow.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from .fencing import EPOCHS_PER_INCARNATION, FencingToken
from .rollout import Phase, Rollout, RolloutPlan
from .step_sequence import StepSequence

LATE = "late"  # the answer to a command of a former epoch
RELEASE = "release"
STEPS_PREFIX = "steps "
LONGEST_HISTORY = 1000


def steps_duty(name: str) -> str:
    """Returns the name of the duty that runs the steps of this name."""
    return STEPS_PREFIX + name


@dataclass
class Duty:
    """One duty.

    Attributes:
        index: of the log's entry that changed the duty last.
    """

    state: Rollout | StepSequence
    owner: str | None = None
    epoch: int = 0
    index: int = 0

    @property
    def token(self) -> FencingToken:
        """The token of the duty's effects."""
        return FencingToken(self.epoch, self.index)


class OwnershipChange(NamedTuple):
    """One row of the history; `wall` is the time on the wall clock of the controller that proposed it."""

    duty: str
    owner: str | None
    epoch: int
    wall: int
    why: str


class FleetState:
    """The replicated state machine.

    Attributes:
        index: of the entry applied last.
        now: the time on the log's own clock, which never goes back.
        incarnation: of the cluster.
        duties: by name.
        history: the latest changes of owners.
    """

    def __init__(self, plan: RolloutPlan, steps: Mapping[str, list[str]], incarnation: int = 0) -> None:
        """`steps` are the names of the steps of each duty that runs steps."""
        self.plan = plan
        self.steps = steps
        self.incarnation = incarnation
        self.index = 0
        self.now = 0
        self.duties: dict[str, Duty] = {RELEASE: Duty(Rollout(plan))}
        for name, step_names in steps.items():
            self.duties[steps_duty(name)] = Duty(StepSequence(list(step_names)))
        self.history: list[OwnershipChange] = []

    @property
    def rollout(self) -> Rollout:
        """The state of the duty `release`."""
        return self.duties[RELEASE].state

    def steps_done(self, name: str) -> bool:
        """Whether all steps of this name are done."""
        duty = self.duties.get(steps_duty(name))
        return duty is not None and duty.state.done

    def steps_may_begin(self, duty: str) -> bool:
        """Whether the build that needs the steps has been offered, and is not being withdrawn."""
        return any(duty == steps_duty(need.steps) and self._is_wanted(need.build) for need in self.plan.needs)

    def _is_wanted(self, build: int) -> bool:
        if build == self.rollout.build:
            return self.rollout.phase in (Phase.ON_TRIAL, Phase.RELEASED)
        return build < self.rollout.build

    # Applying entries

    def apply(self, index: int, command: Mapping[str, Any]) -> Any:
        """Applies the command of an entry; returns the answer for its proposer.

        Never raises for a command of a known form.
        """
        self.index = index
        self.now = max(self.now, int(command.get("at", 0)))
        if command["do"] == "incarnation":
            return self._begin_incarnation(index, command)
        duty = self.duties.get(command["duty"])
        if duty is None:
            return LATE
        if command["do"] == "grant":
            return self._apply_grant(duty, index, command)
        if command["epoch"] != duty.epoch or command["by"] != duty.owner:
            return LATE
        return self._apply_act(duty, index, command["what"])

    def _begin_incarnation(self, index: int, command: Mapping[str, Any]) -> None:
        self.incarnation = max(self.incarnation, command["number"])
        for name in self.duties:
            self._grant(name, None, index, command.get("wall", 0), "new incarnation")

    def _apply_grant(self, duty: Duty, index: int, command: Mapping[str, Any]) -> int | str:
        if command["after"] != duty.epoch:  # another grant came first
            return LATE
        self._grant(command["duty"], command["to"], index, command.get("wall", 0), command["why"])
        return duty.epoch

    def _apply_act(self, duty: Duty, index: int, what: Mapping[str, Any]) -> int:
        before = duty.state.view()
        if isinstance(duty.state, Rollout):
            answer = duty.state.apply(what, self.now, self.steps_done)
        else:
            answer = duty.state.apply(what, self.now, index, duty.epoch)
        if duty.state.view() != before:
            duty.index = index
        return answer

    def _grant(self, name: str, to: str | None, index: int, wall: int, why: str) -> None:
        duty = self.duties[name]
        duty.owner, duty.index = to, index
        duty.epoch = self.incarnation * EPOCHS_PER_INCARNATION + index
        change = OwnershipChange(name, to, duty.epoch, wall, why)
        self.history = [*self.history[-LONGEST_HISTORY + 1 :], change]

    # Snapshots; their keys are part of the format on disk

    def dump(self) -> dict[str, Any]:
        """Returns the state as a snapshot holds it."""
        return {
            "index": self.index,
            "now": self.now,
            "incarnation": self.incarnation,
            "history": self.history,
            "duties": {
                name: [duty.owner, duty.epoch, duty.index, duty.state.dump()]
                for name, duty in self.duties.items()
            },
        }

    def load(self, snapshot: Mapping[str, Any]) -> None:
        """Replaces the state by that of a snapshot; duties that the settings no longer name are dropped."""
        self.index = snapshot["index"]
        self.now = snapshot["now"]
        self.incarnation = snapshot["incarnation"]
        self.history = [OwnershipChange(*row) for row in snapshot["history"]]
        for name, (owner, epoch, index, state) in snapshot["duties"].items():
            if name in self.duties:
                self.duties[name] = Duty(self._load_state(name, state), owner, epoch, index)

    def _load_state(self, name: str, state: Mapping[str, Any]) -> Rollout | StepSequence:
        if name == RELEASE:
            return type(self.rollout).load(self.plan, state)
        return StepSequence.load(self.steps[name.removeprefix(STEPS_PREFIX)], state)


def propose_grants(
    fleet: FleetState, alive: list[str], requested: Mapping[str, str], why: Callable[[str], str]
) -> list[dict[str, Any]]:
    """Returns the commands by which the leader gives duties to other owners.

    Args:
        fleet: the state.
        alive: the members that answer.
        requested: by duty, the owner that people asked for.
        why: returns the reason for a duty.

    A duty without an owner that answers goes to the member that owns the fewest.
    """
    load = {name: sum(duty.owner == name for duty in fleet.duties.values()) for name in alive}
    commands = []
    for name, duty in fleet.duties.items():
        to = requested.get(name)
        if to is None and (duty.owner in alive or not alive):
            continue
        if to not in load:
            to = min(load, key=lambda member: (load[member], member))
        if to == duty.owner:
            continue
        load[to] += 1
        commands.append({"do": "grant", "duty": name, "to": to, "after": duty.epoch, "why": why(name)})
    return commands
