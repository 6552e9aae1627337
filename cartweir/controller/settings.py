"""A controller's INI file: sections, keys, units, defaults; checked as an agent's is."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from ..fleet.raft.member import Timing
from ..fleet.rollout import RolloutPlan, StepsNeeded
from ..settings.ini import FileFormat, check_document, read_ini
from ..settings.schema import LogSection, ReleaseSection, Section
from ..settings.units import Address, NameList, PositiveCount, PositiveDuration


class ControllerSection(Section):
    """The controller itself."""

    name: Annotated[str, "name"] = Field(description="its name among the members")
    cluster: Annotated[str, "name"] = Field(
        description="the same at all members; words of another cluster are not heard"
    )
    listen: Address = Field(description="where members, agents and people reach it")
    directory: Annotated[str, "path"] = Field(
        description="its log; one process at a time, on a disk that lasts"
    )
    heartbeat: PositiveDuration = Field(100_000, description="the leader speaks at least so often")
    election: PositiveDuration = Field(
        500_000, description="silence of the leader for this to twice this starts an election"
    )
    compact: PositiveCount = Field(2_000, description="entries after which the log is folded into a snapshot")
    absent: PositiveDuration = Field(
        1_500_000, description="a member that was not heard for so long loses its duties to another"
    )
    stuck: PositiveDuration = Field(
        5_000_000, description="an owner that can't reach what its duty writes to for so long gives it up"
    )
    admit: PositiveCount = Field(
        200,
        description="agents that begin to listen a second; as many again may wait, more are told when to come back",
    )
    come_back: PositiveDuration = Field(5_000_000, description="the longest such advice")
    agents_quiet: PositiveDuration = Field(
        3_000_000, description="without word of a leader for so long, agents are sent elsewhere"
    )


class WavesSection(Section):
    """Times of a release."""

    bake: PositiveDuration = Field(
        1_000_000, description="a stage lasts at least so long once its machines run"
    )
    step: PositiveDuration = Field(3_500_000, description="control = timer: a stage goes on after so long")
    grace: PositiveDuration = Field(
        2_000_000, description="between the word that a build goes back and its machines' drain"
    )
    repeat: PositiveDuration = Field(4_000_000, description="agents are told the stage again so often")
    machines: Address | None = Field(
        None, description="where machines are started and stopped; none: by others"
    )


class StepsSection(Section):
    """One duty of steps in order; the section is named [steps NAME]."""

    names: NameList = Field(min_length=1, description="the steps, in their order")
    target: Address = Field(description="where they are carried out")
    build: PositiveCount = Field(description="that needs them: they begin when it is offered")
    before: PositiveCount = Field(1, description="its stage, from 1, that begins only when all are done")


class ControllerDocument(Section):
    """A whole file."""

    controller: ControllerSection
    release: ReleaseSection
    waves: WavesSection = WavesSection()
    log: LogSection = LogSection()
    members: dict[str, Address] = Field(
        {}, description="name and address of each member; read when the cluster is founded"
    )
    routes: dict[str, Address] = Field(
        {}, description="another way to a member than its address, such as a proxy"
    )
    steps: dict[str, StepsSection] = {}

    @model_validator(mode="after")
    def _consistent(self) -> ControllerDocument:
        problems = []
        for name, steps in self.steps.items():
            if len(set(steps.names)) != len(steps.names):
                problems.append(f"[steps {name}] names: one stands there twice: each once is due")
            if steps.before >= len(self.release.caps):
                problems.append(
                    f"[steps {name}] before = {steps.before}: the release's stages are 0 to {len(self.release.caps) - 1}"
                )
        if self.members and self.controller.name not in self.members:
            problems.append(f"[members]: has no {self.controller.name}, the controller itself")
        if self.controller.heartbeat * 3 > self.controller.election:
            problems.append(
                "[controller] election: at least three heartbeats are due, lest one lost word starts an election"
            )
        if problems:
            raise ValueError("\n".join(problems))
        return self

    def timing(self) -> Timing:
        return Timing(self.controller.heartbeat, self.controller.election)

    def plan(self) -> RolloutPlan:
        r, w = self.release, self.waves
        return RolloutPlan(
            r.control,
            r.in_place,
            r.shares,
            r.caps,
            r.on_votes,
            r.hold_votes,
            r.back_votes,
            r.vote_life,
            r.vote_allowance,
            w.bake,
            w.step,
            w.grace,
            tuple(sorted(StepsNeeded(s.before, name, s.build) for name, s in self.steps.items())),
        )


SECTIONS: dict[str, type[Section]] = {
    "controller": ControllerSection,
    "release": ReleaseSection,
    "waves": WavesSection,
    "log": LogSection,
    "steps NAME": StepsSection,
}
FORMAT = FileFormat(ControllerDocument, SECTIONS, "steps", "steps", ("members", "routes"))


def read_controller(path: str | Path) -> ControllerDocument:
    """Raises BadInputError with all that is wrong."""
    return check_document(FORMAT, path, read_ini(path))
