"""The scripted bad day with controllers instead of a stand-in conveyor.

The controllers are processes. The owner of the release is killed, stopped and cut off while builds are
offered. Machines are started and drained as the controllers request, through receivers that fence them.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from typing import Any

from ..audit.report import Report
from ..hosting.tcp import spawn
from ..proto import agent_pb2 as pb
from ..standin.appliance import Appliance, Fleet
from ..standin.day import SETTINGS, Day, Step
from ..standin.receivers import Receivers
from ..wire.calls import CallError, Channel
from ..wire.tap import FileTap
from .consistency_check import ConsistencyReport, check_consistency
from .rig import Rig, RigConfig

STAGE_POLL_INTERVAL = 0.1  # seconds between two questions for the stage, for the day's own report
OFFER_RETRY_DELAY = 0.1  # seconds
OWNER_PATIENCE = 3  # seconds to wait for an owner to hurt
GRACES_TO_STOP = 3  # times the grace, from the drain of a machine to its stop


class MachineHost:
    """Runs as many stand-in machines of each build as are wanted."""

    def __init__(self, fleet: Fleet, grace: int) -> None:
        """`grace` is in microseconds."""
        self.fleet, self.grace = fleet, grace
        self.wanted: dict[int, int] = {}
        self._booting: dict[int, int] = {}

    def _running(self, build: int) -> list[Appliance]:
        return [
            machine
            for machine in self.fleet.machines.values()
            if machine.build == build and not machine.leaving
        ]

    def want(self, wanted: dict[int, int]) -> None:
        """Starts and drains machines so that this number of each build runs."""
        self.wanted, loop = wanted, asyncio.get_running_loop()
        for build in {machine.build for machine in self.fleet.machines.values()} | set(wanted):
            running, booting = self._running(build), self._booting.get(build, 0)
            for _ in range(wanted.get(build, 0) - len(running) - booting):
                self._booting[build] = self._booting.get(build, 0) + 1
                loop.call_later(self.fleet.make.boot_time / 1e6, self._booted, build)
            for machine in running[wanted.get(build, 0) :]:
                # drained first, and stopped once agents know that and had time to finish
                machine.leaving = True
                self.fleet.drain(machine)
                loop.call_later(GRACES_TO_STOP * self.grace / 1e6, self.fleet.stop, machine)

    def _booted(self, build: int) -> None:
        self._booting[build] -= 1
        if len(self._running(build)) < self.wanted.get(build, 0):  # still wanted
            self.fleet.launch(build)

    def runs(self, build: int) -> bool:
        """Whether all wanted machines of a build run."""
        return len(self._running(build)) >= self.wanted.get(build, 0)


class ControllersAsConveyor:
    """The controllers of a day, with the interface of the stand-in conveyor."""

    def __init__(self, day: Day, rig: Rig) -> None:
        self.day, self.rig = day, rig

    def offer(self, build: int) -> None:
        """Offers a build until a controller takes it."""

        async def until_taken() -> None:
            while not await self.rig.offer_build(build):
                await asyncio.sleep(OFFER_RETRY_DELAY)

        spawn(until_taken())

    def flag(self, flag: pb.Flag) -> None:
        """Sends a report to each controller: the one at which its agent listens passes it on."""

        async def send(address: str) -> None:
            channel = Channel(address, 300_000)
            try:
                with contextlib.suppress(CallError):
                    await channel.unary("/cartweir.v1.Conveyor/Report", flag.SerializeToString(), 1_000_000)
            finally:
                channel.close()

        for name in self.rig.controller_names:
            if self.rig.is_running(name):
                spawn(send(self.rig.listen_addresses[name]))

    def gone(self, gone: bool) -> None:
        """Stops all controllers, or lets them go on."""
        for name in self.rig.controller_names:
            self.rig.send_signal(name, signal.SIGSTOP if gone else signal.SIGCONT)

    async def hurt_owner(self, how: str, seconds: float) -> None:
        """Kills, stops or cuts off the owner of the release for a time."""
        try:
            owner = await self.rig.wait_for_owner(seconds=OWNER_PATIENCE)
        except TimeoutError:
            return
        self.day.log_event("fault", who=f"controller {owner}", what=how, value=seconds)
        if how == "killed":
            await self.rig.kill(owner)
            await asyncio.sleep(seconds)
            await self.rig.start_process(owner)
        elif how == "stopped":
            self.rig.send_signal(owner, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self.rig.send_signal(owner, signal.SIGCONT)
        else:
            self.rig.isolate(owner)
            await asyncio.sleep(seconds)
            self.rig.isolate(owner, "pass")

    async def report_stages(self) -> None:
        """Logs each new stage of the release, as the controllers tell it."""
        last = None
        while True:
            for name in self.rig.controller_names:
                if self.rig.is_running(name) and (status := await self.rig.ask(name, ask="status")):
                    release = status["release"]
                    current = release["build"], release["stage"], release["phase"]
                    if last is None or (current != last and current[0] >= last[0]):
                        last = current
                        self.day.log_event(
                            "stage",
                            build=current[0],
                            number=current[1],
                            phase=current[2],
                            owner=status["duties"]["release"]["owner"],
                        )
                    break
            await asyncio.sleep(STAGE_POLL_INTERVAL)

    def shutdown(self) -> None:
        """Does nothing: the controllers are ended with the day (ControllerDay._stop_all)."""


class ControllerDay(Day):
    """A day with controllers.

    Attributes:
        controllers: how many there are.
        consistency_report: compares what the machines' host and the agents followed with the log that a
            majority of the controllers holds.
    """

    def __init__(self, *args: Any, controllers: int = 3, **options: Any) -> None:
        """Takes the arguments of Day, and the number of controllers."""
        super().__init__(*args, **options)
        self.controllers = controllers
        self.consistency_report = ConsistencyReport()

    async def run(self) -> Report:
        """Plays the day; returns the audit's report, and sets `consistency_report`."""
        report = await super().run()
        self.consistency_report = check_consistency(
            list(self.rig.documents.values()),
            self.folder / "receivers.jsonl",
            self.followed_stages(),
            [],
        )
        return report

    def followed_stages(self) -> list[dict[str, Any]]:
        """Returns what each agent followed in all its runs, in order, from the agents' logs."""
        rows = []
        for me in range(self.agents):
            for life in range(1, self._lives[me] + 1):
                for line in (self.folder / f"agent{me}-{life}.log").read_text().splitlines():
                    if line.startswith("{") and (row := json.loads(line))["event"] == "followed":
                        rows.append({"agent": me, **row})
        return rows

    async def _make_conveyor(self, tap: FileTap) -> str:
        release = SETTINGS[SETTINGS.index("[release]") : SETTINGS.index("[operation parcel-view]")]
        config = RigConfig(
            controllers=self.controllers,
            agents=0,
            heartbeat=100,
            election=500,
            bake=1_000,
            grace=2_000,
            steps=(),
            release=release.strip(),
        )
        host = MachineHost(self.fleet, config.grace * 1000)
        self.receivers = Receivers(self.folder / "receivers.jsonl", fleet=host)
        config.receivers = self.receivers.listen_on("127.0.0.1:0")
        self.rig = Rig(self.folder / "controllers", config, self.seed)
        self.rig.machine_count = self.count
        await self.rig.start()
        await self.rig.wait_for_owner()
        self.conveyor = ControllersAsConveyor(self, self.rig)
        self._stage_reports = asyncio.ensure_future(self.conveyor.report_stages())
        return ", ".join(self.rig.agent_addresses)

    def script(self) -> list[Step]:
        """Returns what happens, and when."""
        first, second, third = self.chance.sample(("killed", "stopped", "cut off"), 3)
        hurt = self.conveyor.hurt_owner
        return [
            *super().script(),
            Step(0.12, f"the owner of the release is {first}", lambda: hurt(first, 1.5)),
            Step(0.50, f"the owner of the release is {second}", lambda: hurt(second, 2.0)),
            Step(0.65, f"the owner of the release is {third}", lambda: hurt(third, 1.0)),
        ]

    async def _stop_all(self) -> None:
        await super()._stop_all()
        self._stage_reports.cancel()
        await self.rig.stop()
        self.receivers.shutdown()
