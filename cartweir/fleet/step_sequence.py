"""A duty `steps NAME`: data and schema steps in strict order, each finished before the next begins.

The target of a step is told the token of the entry that began the step. It runs the step and records it in
one transaction, or answers with what it has recorded before. No owner asks a target whether a step has run
in order to run it then.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from .rollout import Answer

LONGEST_REASON = 200  # characters


class StepState(StrEnum):
    """The state of the current step; the values are part of the format on disk."""

    WAITING = "waiting"
    BEGUN = "begun"
    FAILED = "failed"


class StepActionKind(StrEnum):
    """What the owner does next."""

    BEGIN = "begin"  # propose to begin the step
    RUN = "run"  # have the target run the step, which has begun


class StepAction(NamedTuple):
    """The next action, and the number of the step that it is about."""

    kind: StepActionKind
    step: int


class CompletedStep(NamedTuple):
    """A step that was done."""

    name: str
    epoch: int
    begun_index: int
    at: int


class StepView(NamedTuple):
    """The part of the state that effects depend on."""

    current: int
    state: str


@dataclass
class StepSequence:
    """The state of a sequence of steps.

    Attributes:
        current: the number of the step that is next or under way; the number of steps if all are done.
        begun_index: the index of the log's entry that began it, which identifies it at its target.
        failure: why it failed.
    """

    names: list[str]
    current: int = 0
    state: StepState = StepState.WAITING
    begun_index: int = 0
    failure: str = ""
    completed: list[CompletedStep] = field(default_factory=list)

    @property
    def done(self) -> bool:
        """Whether all steps are done."""
        return self.current >= len(self.names)

    @property
    def current_name(self) -> str | None:
        """The name of the current step; None if all are done."""
        return None if self.done else self.names[self.current]

    def apply(self, command: Mapping[str, Any], at: int, index: int, epoch: int) -> Answer:
        """Applies a command from the entry at this index; returns the answer."""
        if command.get("step") != self.current or self.done:
            return Answer.MOOT
        match command["what"]:
            case "begin" if self.state in (StepState.WAITING, StepState.FAILED):
                self.state, self.failure = StepState.BEGUN, ""
                self.begun_index = self.begun_index or index
                return Answer.OK
            case "done" if self.state == StepState.BEGUN:
                self.completed.append(CompletedStep(self.names[self.current], epoch, self.begun_index, at))
                self.current, self.state, self.begun_index = self.current + 1, StepState.WAITING, 0
                return Answer.OK
            case "failed" if self.state == StepState.BEGUN:
                self.state, self.failure = StepState.FAILED, str(command.get("why", ""))[:LONGEST_REASON]
                return Answer.OK
        return Answer.MOOT

    def next_action(self) -> StepAction | None:
        """Returns what the owner does next; None if all is done, or waits for people after a failure."""
        if self.done or self.state == StepState.FAILED:
            return None
        is_waiting = self.state == StepState.WAITING
        return StepAction(StepActionKind.BEGIN if is_waiting else StepActionKind.RUN, self.current)

    def view(self) -> StepView:
        """Returns what the effects depend on."""
        return StepView(self.current, self.state)

    def dump(self) -> dict[str, Any]:
        """Returns the state as a snapshot holds it; the keys are part of the format on disk."""
        return {
            "names": list(self.names),
            "at": self.current,
            "how": self.state,
            "begun": self.begun_index,
            "why": self.failure,
            "trail": list(self.completed),
        }

    @classmethod
    def load(cls, names: list[str], state: Mapping[str, Any]) -> StepSequence:
        """Returns a sequence with the state from a snapshot; `names` may have grown at its end since."""
        return cls(
            names=names,
            current=state["at"],
            state=StepState(state["how"]),
            begun_index=state["begun"],
            failure=state["why"],
            completed=[CompletedStep(*row) for row in state["trail"]],
        )
