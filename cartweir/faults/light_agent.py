"""A light agent: it follows stages and votes as a real agent does, but routes no traffic."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..agent.control_plane import ConveyorClient, PersistentFence
from ..hosting.backoff import Backoff
from ..hosting.clock import monotonic
from ..hosting.tcp import spawn
from ..interface import ON, Stage
from ..proto import agent_pb2 as pb
from ..wire.calls import Channel

ON_TRIAL = "on trial"  # a phase of a stage
CONNECT_TIMEOUT = 300_000  # microseconds
VOTE_TIMEOUT = 800_000  # microseconds
SILENCE_TIMEOUT = 6_000_000  # microseconds without a message after which the agent reconnects
SHORTEST_BACKOFF, LONGEST_BACKOFF = 50_000, 500_000  # microseconds
VOTE_INTERVAL = 1.0  # seconds between two votes on a stage that stays


class _StageFollower:
    """The part of the host of decisions that the conveyor's client needs."""

    def __init__(self, stages: int, on_stage: Callable[[Stage], None]) -> None:
        self.settings, self.operations = {"caps": (0.0,) * stages}, {}
        self._on_stage = on_stage

    def apply_stage(self, stage: Stage) -> None:
        self._on_stage(stage)

    def apply_flag(self, *_: Any) -> None: ...
    def apply_tally(self, _: Any) -> None: ...


class _ReportingFence(PersistentFence):
    """Reports the token of each decision that the agent may follow."""

    def __init__(
        self, path: str | None, log_event: Callable[..., None], on_token: Callable[[tuple], None]
    ) -> None:
        super().__init__(path, log_event)
        self._on_token = on_token

    async def try_follow(self, stamp: Any, build: int = 0) -> bool:
        may_follow = await super().try_follow(stamp, build)
        if may_follow:
            self._on_token(tuple(stamp))
        return may_follow


@dataclass
class LightAgentOptions:
    """What a light agent does.

    Attributes:
        stages: the number of stages of a release.
        votes: it votes each stage on as soon as it follows it, and again while the stage stays.
        stage_file: keeps the decision that it follows, for its next start; None keeps nothing.
        seed: of its random choices.
    """

    stages: int = 3
    votes: bool = True
    stage_file: Path | None = None
    seed: int = 0


class LightAgent:
    """A light agent in this process; it starts when it is created.

    Attributes:
        votes: whether it votes on stages that it follows from now on.
        stage: the stage that it follows; None before the first.
        token: of the decision that it follows.
    """

    def __init__(
        self,
        number: int,
        addresses: list[str],
        on_event: Callable[..., None],
        options: LightAgentOptions | None = None,
    ) -> None:
        """`on_event` is called with the name and the facts of each stage that is followed or refused as late.

        It is called for each ballot that was answered ok, too.
        """
        options = options or LightAgentOptions()
        self.number, self.on_event, self.votes = number, on_event, options.votes
        self._rng = random.Random(options.seed * 1000 + number)
        self._addresses, self._stages, self._file = addresses, options.stages, options.stage_file
        self.start()

    def start(self) -> None:
        """Starts the agent, with what its file holds."""
        self.stage: Stage | None = None
        self.token: tuple = (0, 0)
        self.stage_fence = _ReportingFence(
            str(self._file) if self._file else None, self._on_log_event, self._on_token
        )
        self.conveyor = ConveyorClient(
            _StageFollower(self._stages, self._on_stage),
            [Channel(address, CONNECT_TIMEOUT) for address in self._addresses],
            pb.Hello(agent=self.number),
            VOTE_TIMEOUT,
            SILENCE_TIMEOUT,
            Backoff(SHORTEST_BACKOFF, LONGEST_BACKOFF, self._rng),
            self._on_log_event,
            monotonic,
            self.stage_fence,
            self._rng,
        )
        self.conveyor.start()

    def stop(self) -> None:
        """Ends the agent as a kill does: its connections break, and it sends nothing more."""
        self.conveyor.stop()
        self.close()

    def _on_log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        if event == "vote" and facts["answer"] == "ok":
            self.on_event("vote", agent=self.number, build=facts["build"], stage=facts["stage"])
        elif event == "stage_late":
            self.on_event("late", agent=self.number, epoch=facts["epoch"], index=facts["index"])

    def _on_token(self, token: tuple) -> None:
        self.token = token

    def _on_stage(self, stage: Stage) -> None:
        if stage.vote_answer not in (None, "ok"):
            return
        is_new = self.stage is None or (stage.build, stage.number, stage.phase) != (
            self.stage.build,
            self.stage.number,
            self.stage.phase,
        )
        self.stage = stage
        self.on_event(
            "stage",
            agent=self.number,
            epoch=self.token[0],
            index=self.token[1],
            build=stage.build,
            stage=stage.number,
            phase=stage.phase,
            cap=stage.cap,
        )
        if is_new and self.votes and stage.phase == ON_TRIAL:
            spawn(self._vote_while_on_trial(stage.build, stage.number))

    async def _vote_while_on_trial(self, build: int, stage: int) -> None:
        while (
            self.stage is not None
            and (self.stage.build, self.stage.number) == (build, stage)
            and self.stage.phase == ON_TRIAL
        ):
            self.conveyor.vote(build, stage, ON)
            await asyncio.sleep(VOTE_INTERVAL)

    def close(self) -> None:
        """Closes the connections."""
        for channel in self.conveyor.channels:
            channel.close()
