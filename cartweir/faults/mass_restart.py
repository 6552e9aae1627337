"""Most agents are killed at once under load, and started again.

They come back with the files that they had kept, without them, or with older copies of them; meanwhile the
registry runs, is away, or has lost its list. Measured are the time until service has recovered, as the
appliances' clients see it, and the peaks of the load that the restart causes. The five rules are audited
from the taps.
"""

from __future__ import annotations

import asyncio
import json
import shutil
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

from ..audit.report import Report
from ..fleet.admission import AdmissionControl
from ..fleet.recovery import CompletedCall, peak_count, recovery_time, service_level
from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..standin.appliance import Quality
from ..standin.day import Step
from .controller_day import ControllerDay
from .light_agent import LightAgent, LightAgentOptions

FILE_STATES, REGISTRY_STATES = ("kept", "lost", "old"), ("there", "away", "empty")
TRIALS = ("", "good", "bad")
AGENT_FILES = ("list", "stage", "facts")
# An agent with older copies knows less than it did, except for its list, by which it goes.
LOST_FILES = {"kept": (), "lost": AGENT_FILES, "old": ("stage", "facts")}  # by the state of the files

MICROSECONDS = 1_000_000  # in a second
POLL_INTERVAL = 0.05  # seconds between two readings of counters
LONGEST_RETRY = 5 * MICROSECONDS  # that the registry tells an agent
OFFER_LEAD = 3.0  # seconds from the offer of a build on trial to the kill
COPY_AT = 0.3  # when older copies are made, as a share of the time before the kill
OWNER_DOWN_TIME = 1.0  # seconds
REGISTRATION_INTERVAL = 0.05  # seconds between two appliances that register again
BAD_BUILD_ERRORS = 0.6  # the share of wrong answers of a bad build
LIGHT_AGENT_NUMBERS = 1000  # light agents are numbered from here on
START_TIME = 1_500_000  # microseconds from the start of the run, which are not usual load
LONGEST_BASELINE, WARM_UP = 10.0, 2.0  # seconds before the kill to compare with, and before those
FINAL_SECONDS = 4  # at the end, over which the final success share is taken


@dataclass
class RestartScenario:
    """What happens; times are in seconds.

    Attributes:
        share: of the agents, killed at once.
        state: of the agents' files when they come back; one of FILE_STATES.
        registry: meanwhile; one of REGISTRY_STATES.
        agents: real ones, with clients.
        light_agents: others, which only listen to the controllers.
        seconds_before, seconds_after: the length of the run before and after the kill.
        registry_away: how long the registry, or its list, is away.
        trial: whether a `good` or a `bad` build is on trial at the kill; empty for none.
        kill_owner: the owner of the release is killed at the same time.
        restart_zone: the appliances of a zone are restarted at the same time, and are back at once, cold.
        rolling_interval: the time between two agents that are told to end (SIGTERM); 0: all are killed at
            once.
        rate: calls a second, through all real agents.
        list_rate: lists that the registry serves a second.
    """

    share: float = 0.7
    state: str = "kept"
    registry: str = "there"
    agents: int = 4
    light_agents: int = 0
    seconds_before: float = 6.0
    seconds_after: float = 12.0
    registry_away: float = 3.0
    trial: str = ""
    kill_owner: bool = False
    restart_zone: bool = False
    rolling_interval: float = 0.0
    rate: float = 60.0
    list_rate: float = 200.0


@dataclass
class RestartOutcome:
    """What was measured; written out under the names of its fields.

    Each peak is the largest number in one second, and the usual number in a second.

    Attributes:
        back: microseconds from the kill until service has recovered; None: not within the run.
        told: microseconds until each agent has list and stage; None: not within the run.
        share_before, share_after: the share of calls that succeed, before the kill and at the end.
        lists: peak of requests for lists.
        listeners: peak of agents that begin to listen to controllers.
        connections: peak of new connections from all agents, at the appliance that had the most.
        release: the build and its phase at the end.
        refused: agents that were told to retry later.
        fell: appliances that failed under overload.
        breaches: of the five rules and of consistency.
    """

    back: int | None = None
    told: int | None = None
    share_before: float = 0.0
    share_after: float = 0.0
    lists: tuple[int, float] = (0, 0.0)
    listeners: tuple[int, float] = (0, 0.0)
    connections: tuple[int, float] = (0, 0.0)
    release: tuple[int, str] = (0, "")
    refused: int = 0
    fell: int = 0
    breaches: list[str] = field(default_factory=list)

    def text(self) -> str:
        """Returns the outcome for people."""

        def time(value: int | None) -> str:
            return "not seen" if value is None else f"{value / 1e6:.1f} s"

        return "\n".join(
            [
                f"service recovered after {time(self.back)}, every agent has list and stage after "
                f"{time(self.told)}; succeeded {self.share_before:.3f} before, "
                f"{self.share_after:.3f} at the end",
                *(
                    f"{name}: at most {most} in a second, usual {usual:.1f}"
                    for name, (most, usual) in (
                        ("lists requested", self.lists),
                        ("agents that begin to listen", self.listeners),
                        ("new connections at an appliance", self.connections),
                    )
                ),
                f"build {self.release[0]} is {self.release[1]} at the end",
                f"told to retry later {self.refused}, appliances that failed under overload {self.fell}",
                *(self.breaches or ["the five rules were kept"]),
            ]
        )


class Reading(NamedTuple):
    """A counter at a time."""

    time: int
    count: int


class MassRestart(ControllerDay):
    """A day on which agents are killed at once.

    Attributes:
        light: the light agents.
        killed_at: when the agents were killed; 0 before.
        told_at: when all of them had list and stage again; 0 before.
        outcome: what was measured, after `run`.
    """

    tick = "60ms"  # many processes start at once, so answers are given this much earlier

    def __init__(
        self,
        folder: Path,
        seed: int,
        say: Callable[[str], None],
        scenario: RestartScenario,
        controllers: int = 3,
    ) -> None:
        """Checks the scenario.

        Raises:
            ValueError: a value of the scenario is not allowed.
        """
        if (
            scenario.state not in FILE_STATES
            or scenario.registry not in REGISTRY_STATES
            or scenario.trial not in TRIALS
            or not 0 < scenario.share <= 1
        ):
            raise ValueError(
                f"expected state: one of {', '.join(FILE_STATES)}; registry: one of "
                f"{', '.join(REGISTRY_STATES)}; trial: good, bad or none; share: above 0 and at most 1"
            )
        super().__init__(
            folder,
            seed,
            scenario.seconds_before + scenario.seconds_after,
            say,
            agents=scenario.agents,
            rate=scenario.rate,
            controllers=controllers,
        )
        self.scenario, self.ends_kept = scenario, True
        self.light: list[LightAgent] = []
        self.killed_at = self.told_at = 0
        self._listener_counts: list[Reading] = []
        self._connection_counts: dict[str, list[Reading]] = {}  # by appliance and run
        self._tasks: list[asyncio.Future] = []

    # The scenario

    def script(self) -> Iterator[Step]:
        """Returns what happens, and when."""
        scenario, length = self.scenario, self.seconds
        self.registry.admission = AdmissionControl.for_rate(scenario.list_rate, LONGEST_RETRY)
        # without files: a hundred agents that sync theirs on one disk do not behave as on their own machines
        self.light = [
            LightAgent(
                LIGHT_AGENT_NUMBERS + number,
                self.rig.agent_addresses,
                lambda event, **facts: None,
                LightAgentOptions(votes=False, seed=self.seed),
            )
            for number in range(scenario.light_agents)
        ]
        self._tasks += [asyncio.ensure_future(self._read_counters())]
        if scenario.trial:
            yield Step(
                (scenario.seconds_before - OFFER_LEAD) / length,
                f"build 2 is offered, and {scenario.trial}",
                lambda: self._offer_build(2),
            )
        if scenario.state == "old":
            yield Step(
                COPY_AT * scenario.seconds_before / length, "the agents' files are copied", self._copy_files
            )
        yield Step(
            scenario.seconds_before / length,
            f"{scenario.share:.0%} of the agents are killed at once, files {scenario.state}, "
            f"registry {scenario.registry}",
            self._restart_agents,
        )

    def _offer_build(self, build: int) -> None:
        self.fleet.qualities[build] = Quality(
            errors=BAD_BUILD_ERRORS if self.scenario.trial == "bad" else 0.0
        )
        self.conveyor.offer(build)

    def _files(self, me: int) -> list[Path]:
        return [self.folder / f"agent{me}.{kind}" for kind in AGENT_FILES]

    def _copy_files(self) -> None:
        for me in range(self.agents):
            for path in self._files(me):
                if path.exists():
                    shutil.copy(path, path.with_name(path.name + ".old"))

    async def _restart_agents(self) -> None:
        scenario = self.scenario
        restarted = self.chance.sample(range(self.agents), max(1, round(scenario.share * self.agents)))
        if scenario.rolling_interval:
            await self._restart_in_turn(restarted)
            return
        self._kill_agents(restarted)
        self._inject_other_faults()
        light = self.light[: round(scenario.share * len(self.light))]
        for agent in light:
            agent.stop()
        if scenario.registry == "away":
            self.registry.fail(True)
        elif scenario.registry == "empty":
            self.registry.begin_anew()
        await asyncio.gather(*(self.running[me].wait() for me in restarted))
        self._change_files(restarted)
        if scenario.registry != "there":
            asyncio.get_running_loop().call_later(scenario.registry_away, self._bring_registry_back)
        for agent in light:
            agent.start()
        await asyncio.gather(*(self._start_agent(me) for me in restarted))
        await self._wait_until_told(restarted)

    def _kill_agents(self, numbers: list[int]) -> None:
        loses = LOST_FILES[self.scenario.state]
        for me in numbers:
            self.log_event("killed", agent=me, tap=f"agent{me}-{self._lives[me]}.tap", loses=loses)
            self.running[me].kill()
        self.killed_at = monotonic()

    def _inject_other_faults(self) -> None:
        if self.scenario.restart_zone:
            for machine in [m for m in self.fleet.machines.values() if m.zone == self.zones[0]]:
                self.fleet.restart(machine)
        if self.scenario.kill_owner:
            self._tasks.append(asyncio.ensure_future(self.conveyor.hurt_owner("killed", OWNER_DOWN_TIME)))

    def _change_files(self, numbers: list[int]) -> None:
        for me in numbers:
            for path in self._files(me):
                if self.scenario.state == "lost":
                    path.unlink(missing_ok=True)
                elif self.scenario.state == "old" and (old := path.with_name(path.name + ".old")).exists():
                    shutil.copy(old, path)

    async def _restart_in_turn(self, numbers: list[int]) -> None:
        """Restarts agents one after another, whether or not the one before has warmed up."""

        async def restart(me: int) -> None:
            self.running[me].terminate()
            await self.running[me].wait()
            await self._start_agent(me)

        self.killed_at, tasks = monotonic(), []
        for me in numbers:
            tasks.append(asyncio.ensure_future(restart(me)))
            await asyncio.sleep(self.scenario.rolling_interval)
        await asyncio.gather(*tasks)
        await self._wait_until_told(numbers)

    async def _wait_until_told(self, numbers: list[int]) -> None:
        while not all(self._logged(me, "list") and self._logged(me, "stage") for me in numbers):
            await asyncio.sleep(POLL_INTERVAL)
        self.told_at = monotonic()

    def _bring_registry_back(self) -> None:
        self.registry.fail(False)
        if self.scenario.registry == "empty":  # the appliances register again, one after another
            for number, machine in enumerate(list(self.fleet.machines.values())):
                asyncio.get_running_loop().call_later(
                    REGISTRATION_INTERVAL * number, self.fleet.enter, machine, pb.READY
                )

    # Measurements

    async def _read_counters(self) -> None:
        while True:
            now = monotonic()
            for machine in list(self.fleet.machines.values()):
                self._connection_counts.setdefault(f"{machine.ident}/{machine.run}", []).append(
                    Reading(now, machine.accepted)
                )
            if self.scenario.light_agents:
                admitted = 0
                for name in self.rig.controller_names:
                    if self.rig.is_running(name) and (status := await self.rig.ask(name, ask="status")):
                        admitted += status["agents"]["let_in"]
                self._listener_counts.append(Reading(now, admitted))
            await asyncio.sleep(POLL_INTERVAL)

    def _peak(self, readings: list[Reading]) -> tuple[int, float]:
        """Returns a counter's peak in a second from the kill on, and its usual rate before."""
        before = [reading for reading in readings if reading.time < self.killed_at]
        usual = (
            (before[-1].count - before[0].count) * 1e6 / max(1, before[-1].time - before[0].time)
            if len(before) > 1
            else 0.0
        )
        events = [
            later.time
            for earlier, later in pairwise(readings)
            if later.time >= self.killed_at
            for _ in range(max(0, later.count - earlier.count))
        ]
        return peak_count(events), usual

    def followed_stages(self) -> list[dict[str, Any]]:
        """Returns what agents followed, if their files were kept.

        An agent that does not know what it followed before its restart may follow an older decision.
        """
        return super().followed_stages() if self.scenario.state == "kept" else []

    async def run(self) -> Report:
        """Plays the scenario; returns the audit's report, and sets `outcome`."""
        report = await super().run()
        self.outcome = self._measure(report)
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

    def _measure(self, report: Report) -> RestartOutcome:
        scenario, outcome = self.scenario, RestartOutcome(refused=self.told_to_come_back)
        calls = [
            CompletedCall(*json.loads(line))
            for line in (self.folder / f"ends-{self.seed}.jsonl").read_text().splitlines()
        ]
        # the first seconds, in which everything starts, are not usual
        baseline = int(min(LONGEST_BASELINE, scenario.seconds_before - WARM_UP) * 1e6)
        outcome.back = recovery_time(calls, self.killed_at, baseline)
        outcome.told = self.told_at - self.killed_at if self.told_at else None
        before = service_level(
            [call for call in calls if self.killed_at - baseline <= call.began < self.killed_at]
        )
        final_from = self.killed_at + int((scenario.seconds_after - FINAL_SECONDS) * 1e6)
        final = service_level([call for call in calls if call.began >= final_from])
        outcome.share_before, outcome.share_after = (
            before.success_share if before else 0.0,
            final.success_share if final else 0.0,
        )
        outcome.lists = self._list_peak()
        if self.stages:
            outcome.release = (self.stages[-1]["build"], self.stages[-1]["phase"])
        outcome.listeners = self._peak(self._listener_counts)
        outcome.connections = max(
            (self._peak(readings) for readings in self._connection_counts.values()), default=(0, 0.0)
        )
        outcome.fell = sum(
            json.loads(line)["event"] == "fell"
            for line in (self.folder / "facts.jsonl").read_text().splitlines()
        )
        outcome.breaches = [*map(str, report.breaches), *self.consistency_report.breaches]
        return outcome

    def _list_peak(self) -> tuple[int, float]:
        """Returns the peak of requests for lists in a second, and the usual number before the kill."""
        requested_at = list(self.registry.asked_at)
        settled_at = self._began + START_TIME
        return (
            peak_count(at for at in requested_at if at >= self.killed_at),
            sum(settled_at < at < self.killed_at for at in requested_at)
            * 1e6
            / max(1, self.killed_at - self._began - START_TIME),
        )


def run_scenario(
    folder: Path, seed: int, scenario: RestartScenario, say: Callable[[str], None]
) -> RestartOutcome:
    """Plays a scenario in a folder that keeps its logs, settings and taps.

    Raises:
        ValueError: a value of the scenario is not allowed.
        OSError: the folder cannot be written, or there are not enough free ports.
    """
    day = MassRestart(folder, seed, say, scenario)
    asyncio.run(day.run())
    return day.outcome
