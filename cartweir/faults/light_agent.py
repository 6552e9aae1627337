"""A light agent: the news and the votes of a real one, without its traffic. What it follows it notes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..agent.control_plane import ConveyorClient, PersistentFence
from ..hosting.backoff import Backoff
from ..hosting.clock import monotonic
from ..hosting.tcp import spawn
from ..interface import ON, Stage
from ..proto import agent_pb2 as pb
from ..wire.calls import Channel


class _Seat:
    """As much of a seat as news needs."""

    def __init__(self, stages: int, follow: Callable[[Stage], None]) -> None:
        self.settings, self.operations = {"caps": (0.0,) * stages}, {}
        self._follow = follow

    def apply_stage(self, stage: Stage) -> None:
        self._follow(stage)

    def apply_flag(self, *_: Any) -> None: ...
    def apply_tally(self, _: Any) -> None: ...


class _Noted(PersistentFence):
    """Tells of each decision that is followed, under its stamp."""

    def __init__(
        self, path: str | None, log_event: Callable[..., None], on_take: Callable[[tuple], None]
    ) -> None:
        super().__init__(path, log_event)
        self._on_take = on_take

    async def try_follow(self, stamp: Any, build: int = 0) -> bool:
        may = await super().try_follow(stamp, build)
        if may:
            self._on_take(tuple(stamp))
        return may


class LightAgent:
    """say(kind, **facts): one call for each stage followed and each ballot answered ok. votes: it votes each stage on, as
    soon as it hears of it, and again while it stands."""

    def __init__(
        self,
        number: int,
        addresses: list[str],
        say: Callable[..., None],
        *,
        stages: int = 3,
        votes: bool = True,
        stage_file: Path | None = None,
        seed: int = 0,
    ) -> None:
        self.number, self.say, self.votes = number, say, votes
        self._chance = random.Random(seed * 1000 + number)
        self._addresses, self._stages, self._file = addresses, stages, stage_file
        self.start()

    def start(self) -> None:
        """A life, which knows what its file holds."""
        self.stage: Stage | None = None
        self.stamp: tuple = (0, 0)
        self.stage_fence = _Noted(str(self._file) if self._file else None, self._note, self._taken)
        self.news = ConveyorClient(
            _Seat(self._stages, self._follow),
            [Channel(address, 300_000) for address in self._addresses],
            pb.Hello(agent=self.number),
            800_000,
            6_000_000,
            Backoff(50_000, 500_000, self._chance),
            self._note,
            monotonic,
            self.stage_fence,
            self._chance,
        )
        self.news.start()

    def stop(self) -> None:
        """As if killed: its connections break, it says nothing more."""
        self.news.stop()
        self.close()

    def _note(self, event: str, level: str = "info", **facts: Any) -> None:
        if event == "vote" and facts["answer"] == "ok":
            self.say("vote", agent=self.number, build=facts["build"], stage=facts["stage"])
        elif event == "stage_late":
            self.say("late", agent=self.number, epoch=facts["epoch"], index=facts["index"])

    def _taken(self, stamp: tuple) -> None:
        self.stamp = stamp

    def _follow(self, stage: Stage) -> None:
        if stage.vote_answer not in (None, "ok"):
            return
        new = self.stage is None or (stage.build, stage.number, stage.phase) != (
            self.stage.build,
            self.stage.number,
            self.stage.phase,
        )
        self.stage = stage
        self.say(
            "stage",
            agent=self.number,
            epoch=self.stamp[0],
            index=self.stamp[1],
            build=stage.build,
            stage=stage.number,
            phase=stage.phase,
            cap=stage.cap,
        )
        if new and self.votes and stage.phase == "on trial":
            spawn(self._voting((stage.build, stage.number)))

    async def _voting(self, what: tuple[int, int]) -> None:
        while (
            self.stage is not None
            and (self.stage.build, self.stage.number) == what
            and self.stage.phase == "on trial"
        ):
            self.news.vote(*what, ON)
            await asyncio.sleep(1.0)

    def close(self) -> None:
        for channel in self.news.channels:
            channel.close()
