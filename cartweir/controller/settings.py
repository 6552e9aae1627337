"""Every section and key of a controller's INI file, with its type, default and meaning."""

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

    name: Annotated[str, "name"] = Field(description="name of this member, unique in the cluster")
    cluster: Annotated[str, "name"] = Field(
        description="name of the cluster, the same at all members; messages from other clusters are rejected"
    )
    listen: Address = Field(description="where members, agents and operators connect")
    directory: Annotated[str, "path"] = Field(
        description="holds the log, on a durable disk; used by one process at a time"
    )
    heartbeat: PositiveDuration = Field(
        100_000, description="longest time between two messages of the leader"
    )
    election: PositiveDuration = Field(
        500_000,
        description="a follower that has not heard the leader for this to twice this starts an election",
    )
    compact: PositiveCount = Field(
        2_000, description="entries after which the log is compacted into a snapshot"
    )
    absent: PositiveDuration = Field(
        1_500_000, description="a member that has not been heard for so long loses its duties to another"
    )
    stuck: PositiveDuration = Field(
        5_000_000,
        description="an owner that cannot reach the receivers of its duty for so long gives the duty up",
    )
    admit: PositiveCount = Field(
        200,
        description="agents that may begin to listen in a second; as many again wait, "
        "others are told when to retry",
    )
    come_back: PositiveDuration = Field(
        5_000_000, description="the longest time after which an agent is told to retry"
    )
    agents_quiet: PositiveDuration = Field(
        3_000_000,
        description="without contact with a leader for so long, agents are sent to another controller",
    )


class WavesSection(Section):
    """Times of a rollout."""

    bake: PositiveDuration = Field(1_000_000, description="least time of a stage, once its machines run")
    step: PositiveDuration = Field(3_500_000, description="with control = timer: the time of a stage")
    grace: PositiveDuration = Field(
        2_000_000, description="time between the decision to withdraw a build and the drain of its machines"
    )
    repeat: PositiveDuration = Field(4_000_000, description="time between two repeats of the stage to agents")
    machines: Address | None = Field(
        None, description="the service that starts and stops machines; none: machines are not managed here"
    )


class StepsSection(Section):
    """One duty that runs steps in order; the section is named [steps NAME]."""

    names: NameList = Field(min_length=1, description="names of the steps, in order")
    target: Address = Field(description="the service that runs the steps")
    build: PositiveCount = Field(description="the build that needs the steps: they begin when it is offered")
    before: PositiveCount = Field(
        1, description="the stage of that build, from 1, that begins only after all steps are done"
    )


class ControllerDocument(Section):
    """A whole file."""

    controller: ControllerSection
    release: ReleaseSection
    waves: WavesSection = WavesSection()
    log: LogSection = LogSection()
    members: dict[str, Address] = Field(
        {}, description="name and address of each member; read when the cluster is created"
    )
    routes: dict[str, Address] = Field(
        {}, description="address to use for a member instead of its own, such as that of a proxy"
    )
    steps: dict[str, StepsSection] = Field({})

    @model_validator(mode="after")
    def _consistent(self) -> ControllerDocument:
        problems = []
        for name, steps in self.steps.items():
            if len(set(steps.names)) != len(steps.names):
                problems.append(f"[steps {name}] names: a name occurs twice: expected each step once")
            if steps.before >= len(self.release.caps):
                problems.append(
                    f"[steps {name}] before = {steps.before}: "
                    f"expected one of the release's stages, 0 to {len(self.release.caps) - 1}"
                )
        if self.members and self.controller.name not in self.members:
            problems.append(f"[members]: does not name {self.controller.name}, the controller itself")
        if self.controller.heartbeat * 3 > self.controller.election:
            problems.append(
                "[controller] election: expected at least three heartbeats, "
                "so that one lost message starts no election"
            )
        if problems:
            raise ValueError("\n".join(problems))
        return self

    def timing(self) -> Timing:
        """Returns the time-outs of the replicated log."""
        return Timing(self.controller.heartbeat, self.controller.election)

    def plan(self) -> RolloutPlan:
        """Returns how builds are rolled out."""
        release, waves = self.release, self.waves
        return RolloutPlan(
            release.control,
            release.in_place,
            release.shares,
            release.caps,
            release.on_votes,
            release.hold_votes,
            release.back_votes,
            release.vote_life,
            release.vote_allowance,
            waves.bake,
            waves.step,
            waves.grace,
            tuple(sorted(StepsNeeded(steps.before, name, steps.build) for name, steps in self.steps.items())),
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
    """Returns the settings in a file.

    Raises:
        BadInputError: the file has errors; it names all of them.
    """
    return check_document(FORMAT, path, read_ini(path))
