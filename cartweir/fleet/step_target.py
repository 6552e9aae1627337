"""What the target of a sequence of steps decides, and has to keep as durably as the steps' effects."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from .fencing import Fence, FencingToken


class StepVerdict(StrEnum):
    """What a target does with a step that it is told to run; the values are part of its file's format."""

    RUN = "run"  # runs it, and records it in the same transaction
    DONE = "done"  # has run it before, and only says so
    LATE = "late"  # refuses it: it comes from a former owner
    EARLY = "early"  # refuses it: an earlier step is missing here


@dataclass
class StepTarget:
    """The steps that have been run, by duty, and the fence of each duty."""

    fences: dict[str, Fence] = field(default_factory=dict)
    steps_run: dict[str, list[str]] = field(default_factory=dict)

    def judge(self, duty: str, token: FencingToken, step: int) -> StepVerdict:
        """Decides on a step; after RUN, the caller runs the step and calls `record` in one transaction."""
        if not self.fences.setdefault(duty, Fence()).accept(token):
            return StepVerdict.LATE
        next_step = len(self.steps_run.setdefault(duty, []))
        if step < next_step:
            return StepVerdict.DONE
        return StepVerdict.RUN if step == next_step else StepVerdict.EARLY

    def record(self, duty: str, name: str) -> None:
        """Notes that the duty's next step has been run."""
        self.steps_run[duty].append(name)
