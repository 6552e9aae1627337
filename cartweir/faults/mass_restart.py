"""Most agents, or all, are killed in one moment under load and started again, with what they had kept, without it, or with an
old copy of it; the registry stands by, is away, or has lost its list. Measured at the receivers: when service is full again,
and the peaks of what came in meanwhile; the five rules from the taps."""

from __future__ import annotations

import asyncio
import json
import shutil
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..audit.report import Report
from ..fleet.admission import AdmissionControl
from ..fleet.recovery import CompletedCall, peak_count, recovery_time, service_level
from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..standin.appliance import Quality
from ..standin.day import Step
from .controller_day import ControllerDay
from .light_agent import LightAgent

STATES, REGISTRIES = ("kept", "lost", "old"), ("there", "away", "empty")
TRIALS = ("", "good", "bad")
KEPT = ("list", "stage", "facts")
LOOK = 0.05  # seconds between two looks at counters


@dataclass
class RestartScenario:
    """share: of the agents, killed at once. state: of their files. registry: while they come back. Times in seconds."""

    share: float = 0.7
    state: str = "kept"
    registry: str = "there"
    agents: int = 4
    light_agents: int = 0
    seconds_before: float = 6.0
    seconds_after: float = 12.0
    registry_away: float = 3.0  # the registry, or its list
    trial: str = ""  # a build is on trial as they are killed: good or bad
    kill_owner: bool = False  # the owner of the release is killed in the same moment
    restart_zone: bool = False  # the appliances of a zone go in the same moment, and are back at once, cold
    rolling_interval: float = (
        0.0  # seconds from one agent to the next, which are told to end (SIGTERM); 0: killed, all at once
    )
    rate: float = 60.0
    list_rate: float = 200.0  # that the registry tells a second


@dataclass
class RestartOutcome:
    """back: microseconds from the kill until full service; None: not within what was seen. told: until each agent had list and
    stage. Peaks: the most in one second, beside what is usual in one."""

    back: int | None = None
    told: int | None = None
    share_before: float = 0.0
    share_after: float = 0.0
    lists: tuple[int, float] = (0, 0.0)
    listeners: tuple[int, float] = (0, 0.0)
    connections: tuple[int, float] = (0, 0.0)  # at the one appliance that got the most, from all agents
    release: tuple[int, str] = (0, "")  # build and phase at the end
    refused: int = 0
    fell: int = 0
    breaches: list[str] = field(default_factory=list)

    def text(self) -> str:
        def time(value: int | None) -> str:
            return "not seen" if value is None else f"{value / 1e6:.1f} s"

        return "\n".join(
            [
                f"full service after {time(self.back)}, every agent told after {time(self.told)}; succeeded {self.share_before:.3f} before, "
                f"{self.share_after:.3f} in the end",
                *(
                    f"{name}: at most {most} in a second, usual {usual:.1f}"
                    for name, (most, usual) in (
                        ("lists asked for", self.lists),
                        ("agents that begin to listen", self.listeners),
                        ("new connections at an appliance", self.connections),
                    )
                ),
                f"build {self.release[0]} is {self.release[1]} at the end",
                f"told to come back later {self.refused}, appliances fallen over {self.fell}",
                *(self.breaches or ["the five rules were kept"]),
            ]
        )


class MassRestart(ControllerDay):
    """Raises ValueError on a scene that cannot be, OSError as a day does."""

    tick = "60ms"  # many processes begin at once here: answers are given that much earlier

    def __init__(
        self,
        folder: Path,
        seed: int,
        say: Callable[[str], None],
        scene: RestartScenario,
        controllers: int = 3,
    ) -> None:
        if (
            scene.state not in STATES
            or scene.registry not in REGISTRIES
            or scene.trial not in TRIALS
            or not 0 < scene.share <= 1
        ):
            raise ValueError(
                f"state one of {', '.join(STATES)}, registry one of {', '.join(REGISTRIES)}, trial good, bad or none, share "
                "above 0 to 1 are due"
            )
        super().__init__(
            folder,
            seed,
            scene.seconds_before + scene.seconds_after,
            say,
            agents=scene.agents,
            rate=scene.rate,
            controllers=controllers,
        )
        self.scene, self.ends_kept = scene, True
        self.light: list[LightAgent] = []
        self.killed_at = self.told_at = 0
        self._listeners: list[tuple[int, int]] = []  # counters, when looked at
        self._connections: dict[str, list[tuple[int, int]]] = {}
        self._tasks: list[asyncio.Future] = []

    # ---- the scene ----
    def script(self) -> Iterator[Step]:
        scene, length = self.scene, self.seconds
        self.registry.admission = AdmissionControl.for_rate(scene.list_rate, 5_000_000)
        # without files: a hundred that sync theirs on one disk in one moment are no fleet on machines of their own
        self.light = [
            LightAgent(
                1000 + n, self.rig.agent_addresses, lambda event, **facts: None, votes=False, seed=self.seed
            )
            for n in range(scene.light_agents)
        ]
        self._tasks += [asyncio.ensure_future(self._look())]
        if scene.trial:
            yield Step(
                (scene.seconds_before - 3.0) / length,
                f"build 2 is offered, and {scene.trial}",
                lambda: self._offer(2),
            )
        if scene.state == "old":
            yield Step(0.3 * scene.seconds_before / length, "the agents' files are copied", self._copy)
        yield Step(
            scene.seconds_before / length,
            f"{scene.share:.0%} of the agents are killed at once, files {scene.state}, "
            f"registry {scene.registry}",
            self._strike_all,
        )

    def _offer(self, build: int) -> None:
        self.fleet.qualities[build] = Quality(errors=0.6 if self.scene.trial == "bad" else 0.0)
        self.conveyor.offer(build)

    def _files(self, me: int) -> list[Path]:
        return [self.folder / f"agent{me}.{kind}" for kind in KEPT]

    def _copy(self) -> None:
        for me in range(self.agents):
            for path in self._files(me):
                if path.exists():
                    shutil.copy(path, path.with_name(path.name + ".old"))

    async def _strike_all(self) -> None:
        scene = self.scene
        struck = self.chance.sample(range(self.agents), max(1, round(scene.share * self.agents)))
        if scene.rolling_interval:
            await self._roll(struck)
            return
        # of an older copy it knows less than it had, but for the list, which it goes by
        loses = {"kept": (), "lost": KEPT, "old": ("stage", "facts")}[scene.state]
        for me in struck:
            self.log_event("killed", agent=me, tap=f"agent{me}-{self._lives[me]}.tap", loses=loses)
            self.running[me].kill()
        self.killed_at = monotonic()
        if scene.restart_zone:
            for machine in [m for m in self.fleet.machines.values() if m.zone == self.zones[0]]:
                self.fleet.restart(machine)
        if scene.kill_owner:
            self._tasks.append(asyncio.ensure_future(self.conveyor.hurt_owner("killed", 1.0)))
        count = round(scene.share * len(self.light))
        for agent in self.light[:count]:
            agent.stop()
        if scene.registry == "away":
            self.registry.fail(True)
        elif scene.registry == "empty":
            self.registry.begin_anew()
        await asyncio.gather(*(self.running[me].wait() for me in struck))
        for me in struck:
            for path in self._files(me):
                if scene.state == "lost":
                    path.unlink(missing_ok=True)
                elif scene.state == "old" and (old := path.with_name(path.name + ".old")).exists():
                    shutil.copy(old, path)
        if scene.registry != "there":
            asyncio.get_running_loop().call_later(scene.registry_away, self._registry_back)
        for agent in self.light[:count]:
            agent.start()
        await asyncio.gather(*(self._start_agent(me) for me in struck))
        while not all(self._logged(me, "list") and self._logged(me, "stage") for me in struck):
            await asyncio.sleep(LOOK)
        self.told_at = monotonic()

    async def _roll(self, struck: list[int]) -> None:
        """One after the other, whether or not the one before has warmed up."""

        async def again(me: int) -> None:
            self.running[me].terminate()
            await self.running[me].wait()
            await self._start_agent(me)

        self.killed_at, tasks = monotonic(), []
        for me in struck:
            tasks.append(asyncio.ensure_future(again(me)))
            await asyncio.sleep(self.scene.rolling_interval)
        await asyncio.gather(*tasks)
        while not all(self._logged(me, "list") and self._logged(me, "stage") for me in struck):
            await asyncio.sleep(LOOK)
        self.told_at = monotonic()

    def _registry_back(self) -> None:
        self.registry.fail(False)
        if self.scene.registry == "empty":  # appliances enter themselves once more, one after the other
            for number, machine in enumerate(list(self.fleet.machines.values())):
                asyncio.get_running_loop().call_later(0.05 * number, self.fleet.enter, machine, pb.READY)

    # ---- what is looked at ----
    async def _look(self) -> None:
        while True:
            now = monotonic()
            for machine in list(self.fleet.machines.values()):
                self._connections.setdefault(f"{machine.ident}/{machine.run}", []).append(
                    (now, machine.accepted)
                )
            if self.scene.light_agents:
                let_in = 0
                for name in self.rig.controller_names:
                    if self.rig.is_running(name) and (status := await self.rig.ask(name, ask="status")):
                        let_in += status["agents"]["let_in"]
                self._listeners.append((now, let_in))
            await asyncio.sleep(LOOK)

    def _peaks(self, rows: list[tuple[int, int]]) -> tuple[int, float]:
        """Of a counter: the most in a second from the kill on, and how many in one before."""
        before = [(t, n) for t, n in rows if t < self.killed_at]
        usual = (
            (before[-1][1] - before[0][1]) * 1e6 / max(1, before[-1][0] - before[0][0])
            if len(before) > 1
            else 0.0
        )
        events = [
            t for (_, n), (t, m) in zip(rows, rows[1:]) if t >= self.killed_at for _ in range(max(0, m - n))
        ]
        return peak_count(events), usual

    def followed_stages(self) -> list[dict[str, Any]]:
        """A life that does not know what the one before followed may follow less."""
        return super().followed_stages() if self.scene.state == "kept" else []

    async def run(self) -> Report:
        report = await super().run()
        self.outcome = self._judge(report)
        return report

    async def _stop_all(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.told_to_come_back = self.registry.counts["refused"]
        for name in self.rig.controller_names:
            if self.rig.is_running(name) and (status := await self.rig.ask(name, ask="status")):
                self.told_to_come_back += status["agents"]["told_to_come_back"]
        for agent in self.light:
            agent.close()
        await super()._stop_all()

    def _judge(self, report: Report) -> RestartOutcome:
        scene, out = self.scene, RestartOutcome(refused=self.told_to_come_back)
        rows = [
            CompletedCall(*json.loads(line))
            for line in (self.folder / f"ends-{self.seed}.jsonl").read_text().splitlines()
        ]
        # the first seconds are the start of all, not what is usual
        before = int(min(10.0, scene.seconds_before - 2.0) * 1e6)
        out.back = recovery_time(rows, self.killed_at, before)
        out.told = self.told_at - self.killed_at if self.told_at else None
        usual = service_level([r for r in rows if self.killed_at - before <= r.began < self.killed_at])
        late = service_level(
            [r for r in rows if r.began >= self.killed_at + int((scene.seconds_after - 4) * 1e6)]
        )
        out.share_before, out.share_after = (
            usual.success_share if usual else 0.0,
            late.success_share if late else 0.0,
        )
        asked = list(self.registry.asked_at)
        began = self._began
        out.lists = (
            peak_count(t for t in asked if t >= self.killed_at),
            sum(began + 1_500_000 < t < self.killed_at for t in asked)
            * 1e6
            / max(1, self.killed_at - began - 1_500_000),
        )
        if self.stages:
            out.release = (self.stages[-1]["build"], self.stages[-1]["phase"])
        out.listeners = self._peaks(self._listeners)
        out.connections = max((self._peaks(rows) for rows in self._connections.values()), default=(0, 0.0))
        out.fell = sum(
            json.loads(line)["event"] == "fell"
            for line in (self.folder / "facts.jsonl").read_text().splitlines()
        )
        out.breaches = [*map(str, report.breaches), *self.consistency_report.breaches]
        return out


def run_scenario(
    folder: Path, seed: int, scene: RestartScenario, say: Callable[[str], None]
) -> RestartOutcome:
    """Raises ValueError, OSError."""
    day = MassRestart(folder, seed, say, scene)
    asyncio.run(day.run())
    return day.outcome
