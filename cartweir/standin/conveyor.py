"""A stand-in conveyor: offers builds, brings them in by stages, counts votes by each of the three controls, tells
agents stage and cap, and passes on what clients found wrong. News can be late, votes refused or left unanswered."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from dataclasses import dataclass
from typing import Any

from ..hosting.clock import monotonic
from ..hosting.tcp import spawn
from ..proto import agent_pb2 as pb
from ..settings.schema import ReleaseSection
from ..wire.calls import Request, Service
from ..wire.connection import Tap
from .appliance import Appliance, Fleet

OK, MOOT, FULL, ERROR = range(4)


@dataclass(slots=True)
class _Vote:
    build: int
    stage: int
    choice: int
    until: int


class Conveyor(Service):
    def __init__(
        self,
        fleet: Fleet,
        release: ReleaseSection,
        agents: int,
        log_event: Any,
        *,
        bake: int = 1_000_000,
        step: int = 3_500_000,
        grace: int = 2_000_000,
        late: int = 200_000,
        repeat: int = 4_000_000,
        tap: Tap | None = None,
    ) -> None:
        super().__init__(tap=tap)
        self.fleet, self.release, self.agents, self.log_event = fleet, release, agents, log_event
        self.bake, self.step, self.grace, self.late, self.repeat = bake, step, grace, late, repeat
        self.answering = True  # votes get an answer
        self.build, self.number, self.phase, self.since = (
            1,
            max(0, len(release.caps) - 1),
            pb.RELEASED,
            monotonic(),
        )
        self._clock: int | None = None  # when the stage's clock started
        self._votes: dict[int, _Vote] = {}
        self._asked: deque[int] = deque()
        self._news: dict[Request, int] = {}
        self._places = 0  # machines of the fleet when the build was offered
        self.handlers["/cartweir.v1.Conveyor/News"] = self._listen
        self.handlers["/cartweir.v1.Conveyor/Vote"] = self._vote
        self.handlers["/cartweir.v1.Conveyor/Report"] = self._report
        spawn(self._run())

    # ---- what agents are told ----
    def _stage(self) -> pb.Stage:
        cap = {
            pb.ON_TRIAL: self.release.caps[self.number] if self.release.caps else 0.0,
            pb.RELEASED: 1.0,
        }.get(self.phase, 0.0)
        return pb.Stage(
            build=self.build, number=self.number, phase=self.phase, cap=cap, age=monotonic() - self.since
        )

    async def _listen(self, request: Request) -> None:
        hello = pb.Hello.FromString(request.message)
        request.send(pb.Word(stage=self._stage()).SerializeToString())
        self._news[request] = hello.agent

    def _tell(self) -> None:
        self._news = {request: agent for request, agent in self._news.items() if not request.cancelled}
        word = pb.Word(stage=self._stage()).SerializeToString()
        for request in self._news:
            request.send(word)

    def _enter(self, number: int, phase: int) -> None:
        self.number, self.phase, self.since, self._clock = number, phase, monotonic(), None
        self.log_event("stage", build=self.build, number=number, phase=pb.Phase.Name(phase))
        asyncio.get_running_loop().call_later(self.late / 1e6, self._tell)

    # ---- votes ----
    async def _vote(self, request: Request) -> bytes | None:
        ballot, now = pb.Ballot.FromString(request.message), monotonic()
        while self._asked and self._asked[0] < now - 1_000_000:
            self._asked.popleft()
        answer = OK
        if len(self._asked) >= self.release.vote_allowance:
            answer = FULL
        elif (
            ballot.build != self.build
            or self.phase not in (pb.ON_TRIAL, pb.RELEASED)
            or (
                ballot.choice in (pb.ON, pb.HOLD)
                and (ballot.stage != self.number or self.phase != pb.ON_TRIAL)
            )
            or (ballot.choice == (pb.ON if self.release.control == "timer" else pb.HOLD))
        ):
            answer = MOOT
        else:
            self._votes[ballot.agent] = _Vote(
                ballot.build, ballot.stage, ballot.choice, now + self.release.vote_life
            )
        self._asked.append(now)
        self.log_event(
            "vote",
            agent=ballot.agent,
            build=ballot.build,
            stage=ballot.stage,
            choice=pb.Choice.Name(ballot.choice),
            answer=pb.Verdict.Answer.Name(answer),
        )
        if answer == OK:
            self._count()
        if not self.answering:
            return None
        return pb.Verdict(answer=answer, stage=self._stage()).SerializeToString()

    def _standing(self, choice: int) -> int:
        now = monotonic()
        return sum(
            v.choice == choice
            and v.build == self.build
            and v.until > now
            and (choice == pb.BACK or v.stage == self.number)
            for v in self._votes.values()
        )

    def _count(self) -> None:
        release, now = self.release, monotonic()
        if self.phase in (pb.ON_TRIAL, pb.RELEASED) and self._standing(pb.BACK) >= release.back_votes:
            self._back()
        elif self.phase == pb.ON_TRIAL and self._clock is not None:
            if release.control == "timer":
                held = release.hold_votes and self._standing(pb.HOLD) >= release.hold_votes
                if held:
                    self._clock += 50_000  # it stands still
                if now - self._clock >= self.step:
                    self._on()
            elif now - self._clock >= self.bake and self._standing(pb.ON) >= max(1, release.on_votes):
                self._on()

    # ---- stages ----
    def offer(self, build: int) -> None:
        """The next build; one that is still on trial is taken off."""
        if self.phase == pb.ON_TRIAL:
            self._back()
            self._tell()
        self.build, self._votes = build, {}
        self._places = sum(m.build < build for m in self.fleet.machines.values())
        self._enter(0, pb.ON_TRIAL)
        self._launch()

    def _trial(self) -> list[Appliance]:
        return [m for m in self.fleet.machines.values() if m.build == self.build]

    def _launch(self) -> None:
        due = math.ceil(self.release.shares[self.number] * self._places)
        boot, loop = self.fleet.make.boot_time / 1e6, asyncio.get_running_loop()
        for _ in range(max(0, due - len(self._trial()))):
            loop.call_later(boot, self._booted, self.build)
        loop.call_later(boot + 1.0, self._start_clock, (self.build, self.number))

    def _booted(self, build: int) -> None:
        """A machine of the build runs, unless the build has been sent back meanwhile."""
        if build != self.build or self.phase not in (pb.ON_TRIAL, pb.RELEASED):
            return
        self.fleet.launch(build)
        if self.release.in_place:
            earlier = next(
                (m for m in self.fleet.machines.values() if m.build < build and not m.leaving), None
            )
            if earlier is not None:
                self._take_off([earlier])

    def _start_clock(self, number: tuple[int, int]) -> None:
        if number == (self.build, self.number) and self.phase == pb.ON_TRIAL:
            self._clock = monotonic()

    def _on(self) -> None:
        if self.number + 1 < len(self.release.caps):
            self._enter(self.number + 1, pb.ON_TRIAL)
            self._launch()
        else:
            self._enter(self.number, pb.RELEASED)
            self._take_off([m for m in self.fleet.machines.values() if m.build < self.build])

    def _back(self) -> None:
        trial = self._trial()
        if not any(m.build < self.build and not m.leaving for m in self.fleet.machines.values()):
            for _ in range(self._places or len(trial)):
                self.fleet.launch(self.build - 1)
        self._enter(self.number, pb.GOING_BACK)
        build = self.build

        def gone() -> None:
            if self.build == build:
                self._take_off(trial)
                self._enter(self.number, pb.WITHDRAWN)

        asyncio.get_running_loop().call_later(self.grace / 1e6, gone)

    def _take_off(self, machines: list[Appliance]) -> None:
        """Drained first, and stopped once agents have had the news and the time to finish."""
        for machine in machines:
            machine.leaving = True
            self.fleet.drain(machine)
            asyncio.get_running_loop().call_later(3 * self.grace / 1e6, self.fleet.stop, machine)

    async def _run(self) -> None:
        """Looks at the clock; repeats the news."""
        told = monotonic()
        while True:
            await asyncio.sleep(0.05)
            self._count()
            if monotonic() - told >= self.repeat:
                told = monotonic()
                self._tell()

    # ---- reports ----
    async def _report(self, request: Request) -> bytes:
        self.flag(pb.Flag.FromString(request.message))
        return pb.Nothing().SerializeToString()

    def flag(self, flag: pb.Flag) -> None:
        for request, agent in self._news.items():
            if agent == flag.agent and not request.cancelled:
                request.send(pb.Word(flag=flag).SerializeToString())

    def gone(self, gone: bool) -> None:
        """Unreachable: news breaks off, votes under way get no answer."""
        if gone:
            self._port = self.port
            self.stop()
            self._sockets.clear()
            for link in list(self.connections):
                link.close("the conveyor is gone")
        else:
            self.listen(self._port, "127.0.0.1")
