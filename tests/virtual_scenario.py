"""Scenarios for the discovery client: episodes of one disturbance each, with changes of servers around it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import pytest
from announcement_clock import Trace, Violation
from node_harness import SETTINGS
from virtual_agent import VirtualAgent
from virtual_discovery import CROWD_SPREAD, Pace, Tamper, VirtualDiscovery
from virtual_time import VirtualLoop

from cartweir.hosting.platform_settings import parse_settings
from cartweir.node import discovery

SERVERS = 6
WARM_UP = 3.0
EPISODE = 16.0  # seconds in which a disturbance ends and the client recovers
ADDRESSES = "discovery:1", "discovery:2", "discovery:3"


@dataclass(frozen=True, slots=True)
class Change:
    at: float  # seconds after its episode has begun
    server: int
    status: str


@dataclass(frozen=True, slots=True)
class Calm:
    pass


@dataclass(frozen=True, slots=True)
class Down:
    """Discovery is down; once it is up, handling a crowd of other callers takes `crowd` seconds.

    No call of the agent gets its turn for `calls_wait` seconds after that.
    """

    seconds: float
    hangs: bool
    crowd: float
    calls_wait: float = 0.0


@dataclass(frozen=True, slots=True)
class Silent:
    """Each open watch falls silent."""


@dataclass(frozen=True, slots=True)
class Cut:
    """The agent is cut off from discovery, which runs on; `resets` connections are reset after the cut."""

    seconds: float
    resets: int


@dataclass(frozen=True, slots=True)
class Tampered:
    """The next object written to the agent is truncated or corrupted."""

    part: float
    then: str


@dataclass(frozen=True, slots=True)
class Restart:
    """The agent is killed and starts again with an older list.

    Discovery is down for `away` seconds from the kill; then a crowd calls, as in Down. No call of the agent
    gets its turn for `calls_wait` seconds from the kill.
    """

    gap: float
    list_age: float
    crowd: float
    away: float = 0.0
    calls_wait: float = 0.0


@dataclass(frozen=True, slots=True)
class Hangup:
    """SIGHUP with another address of discovery, once more `again` seconds later (0: only once).

    Handling a crowd of other callers takes discovery `crowd` seconds, which have begun when SIGHUP comes, and
    the first object of the new watch arrives in pieces over `pieces` seconds.
    """

    crowd: float = 0.0
    again: float = 0.0
    pieces: float = 0.0


@dataclass(frozen=True, slots=True)
class InPieces:
    """The next object arrives in pieces over so many seconds.

    From then on discovery holds no change back: an agent takes a heartbeat for a word that nothing changed.
    """

    seconds: float


Disturbance = Calm | Down | Silent | Cut | Tampered | Restart | Hangup | InPieces


@dataclass(frozen=True, slots=True)
class Episode:
    disturbance: Disturbance
    changes: tuple[Change, ...]
    seconds: float = EPISODE


@dataclass(frozen=True, slots=True)
class Scenario:
    asked: bool  # lists must be requested; otherwise they are pushed
    grace: float
    pace: Pace
    seed: int
    episodes: tuple[Episode, ...]


@dataclass(slots=True)
class Result:
    trace: Trace
    log: list[str]
    succeeded: int
    failed: int
    violations: list[Violation]

    def report(self) -> str:
        first = self.violations[0]
        return (
            f"{len(self.violations)} dispatches too late; the first at {first.send.at:.3f} to "
            f"{first.send.server}, whose departure at {first.departure.at:.3f} "
            f"was announced at {first.announced:.3f} ({first.rule})\n" + "\n".join(self.log)
        )


class Player:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.loop: VirtualLoop = asyncio.get_running_loop()
        self.chance = random.Random(scenario.seed)
        entries = {f"s{number}": self._entry(number) for number in range(SERVERS)}
        self.discovery = VirtualDiscovery(
            self.loop, Trace(scenario.asked), scenario.pace, self.chance, entries, address=ADDRESSES[0]
        )
        self.snapshots = [(self.loop.time(), self.discovery.snapshot())]
        self.answers: list[Any] = []
        self.agent: VirtualAgent | None = None

    def _entry(self, number: int) -> dict[str, Any]:
        return {
            "name": f"s{number}",
            "address": f"10.0.0.{number + 1}:80",
            "zone": "a",
            "type": "m",
            "group": 1,
            "status": "up",
            "weight": 1.0,
            "since_ms": 0,
            "release": 1,
        }

    def decision_settings(self) -> Mapping[str, Any]:
        mode = "on_request" if self.scenario.asked else "pushed"
        safety = {**SETTINGS["safety"], "drainGrace": self.scenario.grace * 1000}
        allowed = {**SETTINGS["allowed"], "peers": False}
        return parse_settings(
            {**SETTINGS, "balancers": 1, "registryMode": mode, "safety": safety, "allowed": allowed}
        )

    def start_agent(self, listed: Mapping[str, Any]) -> None:
        self.agent = VirtualAgent(
            self.discovery, self.decision_settings(), self.scenario.seed + len(self.answers), listed
        )
        self.answers.append(self.agent.answers)

    async def play(self) -> Result:
        self.start_agent(self.discovery.snapshot())
        await asyncio.sleep(WARM_UP)
        for episode in self.scenario.episodes:
            self._plan(episode)
            await asyncio.sleep(episode.seconds)
        self.agent.kill()
        await asyncio.sleep(0)
        trace = self.discovery.trace
        if self.loop.errors:
            raise AssertionError("\n".join(self.loop.errors))
        return Result(
            trace,
            self.discovery.log,
            sum(answers.succeeded for answers in self.answers),
            sum(answers.failed for answers in self.answers),
            trace.violations(self.scenario.grace),
        )

    def _plan(self, episode: Episode) -> None:
        for change in episode.changes:
            self.loop.call_later(change.at, self._change, change)
        match episode.disturbance:
            case Down(seconds, hangs, crowd, calls_wait):
                self.discovery.go_down(hangs)
                self.loop.call_later(seconds, self._come_up, crowd, calls_wait)
            case Silent():
                self.discovery.fall_silent()
            case Cut(seconds, resets):
                self.discovery.cut()
                self.loop.call_later(seconds, self.discovery.heal, resets)
            case Tampered(part, then):
                self.discovery.tampers.append(Tamper(part, then, self.loop.time() + EPISODE / 2))
            case Restart():
                self._restart(episode.disturbance)
            case Hangup(crowd, again, pieces):
                self.discovery.crowd(crowd)
                begin = CROWD_SPREAD if crowd else 0.0
                self.loop.call_later(begin, self._hang_up, pieces)
                if again:
                    self.loop.call_later(begin + again, self._hang_up, pieces)
            case InPieces(seconds):
                self.discovery.writing_time = seconds
                self.discovery.pace = replace(self.discovery.pace, lateness=0.0)

    def _restart(self, restart: Restart) -> None:
        at_most = self.loop.time() - restart.list_age
        listed = [listed for at, listed in self.snapshots if at <= at_most]
        self.agent.kill()
        if restart.away:
            self.discovery.go_down(False)
            self.loop.call_later(restart.away, self._come_up, restart.crowd)
        else:
            self.discovery.crowd(restart.crowd)
        self.discovery.keep_calls_waiting(restart.calls_wait)
        known = listed[-1] if listed else self.snapshots[0][1]
        self.loop.call_later(restart.gap, self.start_agent, known)

    def _hang_up(self, pieces: float) -> None:
        if self.agent.alive:
            self.discovery.writing_time = pieces
            now = ADDRESSES.index(self.discovery.address)
            self.agent.sighup(ADDRESSES[(now + 1) % len(ADDRESSES)])

    def _come_up(self, crowd: float, calls_wait: float = 0.0) -> None:
        self.discovery.come_up()
        self.discovery.crowd(crowd)
        self.discovery.keep_calls_waiting(calls_wait)

    def _change(self, change: Change) -> None:
        self.discovery.change(f"s{change.server}", change.status)
        self.snapshots.append((self.loop.time(), self.discovery.snapshot()))


def run(scenario: Scenario) -> Result:
    async def playing() -> Result:
        player = Player(scenario)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "connect", player.discovery.connect)
            return await player.play()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(playing())
