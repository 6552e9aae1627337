"""The scripted bad day with controllers in the conveyor's place: processes, whose owner of the release is killed, stopped and
cut off while builds come in. Machines are started and drained by what controllers want, under the receivers' rule."""

from __future__ import annotations

import asyncio
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

LOOK = 0.1  # seconds between two looks at the stage, for the day's own report


class MachineHost:
    """A fleet of stand-ins that runs as many machines of each build as are wanted."""

    def __init__(self, fleet: Fleet, grace: int) -> None:
        self.fleet, self.grace = fleet, grace
        self.wanted: dict[int, int] = {}
        self._booting: dict[int, int] = {}

    def _running(self, build: int) -> list[Appliance]:
        return [m for m in self.fleet.machines.values() if m.build == build and not m.leaving]

    def want(self, wanted: dict[int, int]) -> None:
        self.wanted, loop = wanted, asyncio.get_running_loop()
        for build in {m.build for m in self.fleet.machines.values()} | set(wanted):
            running, booting = self._running(build), self._booting.get(build, 0)
            for _ in range(wanted.get(build, 0) - len(running) - booting):
                self._booting[build] = self._booting.get(build, 0) + 1
                loop.call_later(self.fleet.make.boot_time / 1e6, self._booted, build)
            for machine in running[wanted.get(build, 0) :]:
                # drained first, and stopped once agents have had the news and the time to finish
                machine.leaving = True
                self.fleet.drain(machine)
                loop.call_later(3 * self.grace / 1e6, self.fleet.stop, machine)

    def _booted(self, build: int) -> None:
        self._booting[build] -= 1
        if len(self._running(build)) < self.wanted.get(build, 0):  # still wanted
            self.fleet.launch(build)

    def runs(self, build: int) -> bool:
        return len(self._running(build)) >= self.wanted.get(build, 0)


class Office:
    """The controllers of a day, as the day speaks of a conveyor."""

    def __init__(self, day: Day, rig: Rig) -> None:
        self.day, self.rig = day, rig

    def offer(self, build: int) -> None:
        async def until_taken() -> None:
            while not await self.rig.offer_build(build):
                await asyncio.sleep(0.1)

        spawn(until_taken())

    def flag(self, flag: pb.Flag) -> None:
        """To each controller: the one at which the agent listens passes it on."""

        async def tell(address: str) -> None:
            channel = Channel(address, 300_000)
            try:
                await channel.unary("/cartweir.v1.Conveyor/Report", flag.SerializeToString(), 1_000_000)
            except CallError:
                pass
            finally:
                channel.close()

        for name in self.rig.controller_names:
            if self.rig.is_running(name):
                spawn(tell(self.rig.listen_addresses[name]))

    def gone(self, gone: bool) -> None:
        for name in self.rig.controller_names:
            self.rig.send_signal(name, signal.SIGSTOP if gone else signal.SIGCONT)

    async def hurt_owner(self, how: str, seconds: float) -> None:
        try:
            owner = await self.rig.wait_for_owner(seconds=3)
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

    async def report(self) -> None:
        last = None
        while True:
            for name in self.rig.controller_names:
                if self.rig.is_running(name) and (status := await self.rig.ask(name, ask="status")):
                    at = status["release"]
                    face = at["build"], at["stage"], at["phase"]
                    if last is None or (face != last and face[0] >= last[0]):
                        last = face
                        self.day.log_event(
                            "stage",
                            build=face[0],
                            number=face[1],
                            phase=face[2],
                            owner=status["duties"]["release"]["owner"],
                        )
                    break
            await asyncio.sleep(LOOK)

    def shutdown(self) -> None:
        pass  # ended with the day: ControllerDay._stop_all


class ControllerDay(Day):
    """controllers: how many."""

    def __init__(self, *given: Any, controllers: int = 3, **more: Any) -> None:
        super().__init__(*given, **more)
        self.controllers = controllers
        self.consistency_report = ConsistencyReport()

    async def run(self) -> Report:
        """The audit's report; `verdict`: on the controllers, from what machines' hosts took and agents followed beside a majority's log."""
        report = await super().run()
        self.consistency_report = check_consistency(
            list(self.rig.documents.values()), self.folder / "receivers.jsonl", self.followed_stages(), []
        )
        return report

    def followed_stages(self) -> list[dict[str, Any]]:
        """What agents followed, in all their lives, in order: from their logs."""
        rows = []
        for me in range(self.agents):
            for life in range(1, self._lives[me] + 1):
                for line in (self.folder / f"agent{me}-{life}.log").read_text().splitlines():
                    if line.startswith("{") and (row := json.loads(line))["event"] == "followed":
                        rows.append({"agent": me, **row})
        return rows

    async def _make_conveyor(self, tap: FileTap) -> str:
        scale = RigConfig(self.controllers, 0, 100, 500, bake=1_000, grace=2_000, steps=())
        host = MachineHost(self.fleet, scale.grace * 1000)
        self.receivers = Receivers(self.folder / "receivers.jsonl", fleet=host)
        release = SETTINGS[SETTINGS.index("[release]") : SETTINGS.index("[operation parcel-view]")]
        self.rig = Rig(
            self.folder / "controllers",
            scale,
            self.seed,
            release=release.strip(),
            receivers=self.receivers.listen_on("127.0.0.1:0"),
        )
        self.rig.machine_count = self.count
        await self.rig.start()
        await self.rig.wait_for_owner()
        self.conveyor = Office(self, self.rig)
        self._report = asyncio.ensure_future(self.conveyor.report())
        return ", ".join(self.rig.agent_addresses)

    def script(self) -> list[Step]:
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
        self._report.cancel()
        await self.rig.stop()
        self.receivers.shutdown()
