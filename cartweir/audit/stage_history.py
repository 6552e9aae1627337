"""The stages of the release as an agent had been told of them at any moment."""

from __future__ import annotations

from typing import NamedTuple

from ..fleet.fencing import Fence, FencingToken
from ..proto import agent_pb2 as pb


class ToldStage(NamedTuple):
    """A stage, and when the agent was told of it."""

    at: int
    stage: pb.Stage


class Cap(NamedTuple):
    """The cap on a build's share of the traffic, None if it is not on trial, and the stage."""

    share: float | None
    stage: int


class StageHistory:
    """The stages that an agent was told, without those of former owners.

    An agent that follows a former owner breaks the rule that the current one sets.
    """

    def __init__(self, told: list[ToldStage], fence: Fence, caps: tuple[float, ...]) -> None:
        """`fence` is what the agent knows of earlier processes; `caps` are those of the settings."""
        in_order = sorted(told, key=lambda row: row.at)
        self._told = [row for row in in_order if fence.accept(FencingToken(row.stage.epoch, row.stage.index))]
        self._first_cap = caps[0] if caps else 0.0

    def begins_after(self, at: int) -> bool:
        """Whether nothing had been told yet at that time."""
        return not self._told or at < self._told[0].at

    def cap(self, build: int, at: int) -> Cap:
        """Returns the cap on a build at that time."""
        stage = next((row.stage for row in reversed(self._told) if row.at <= at), None)
        if stage is None or build > stage.build:
            return Cap(self._first_cap, 0)
        if build < stage.build or stage.phase == pb.RELEASED:
            return Cap(None, stage.number)
        return Cap(stage.cap, stage.number)

    def highest_share(self, build: int, since: int, until: int, grace: int) -> float:
        """Returns the highest cap that applied at some time between; a lower one applies after the grace."""
        changes = [row.at for row in self._told if since - grace < row.at <= until]
        shares = [self.cap(build, at).share for at in (until, *changes, since, since - grace)]
        return 1.0 if None in shares else max(shares)

    def advances(self, build: int, at: int) -> bool:
        """Whether the build was released, or on trial with no later build offered, at that time."""
        phases = [row.stage.phase for row in self._told if row.at <= at and row.stage.build == build]
        if not phases:
            return False
        is_replaced = any(row.at <= at and row.stage.build > build for row in self._told)
        return phases[-1] == pb.RELEASED or (phases[-1] == pb.ON_TRIAL and not is_replaced)
