"""A day of random faults with real agents, controllers and clients as processes.

The faults of the rig, and others at agents, the registry and appliances, are drawn from one seed while good
and bad builds are offered. The traffic is checked twice: the five rules by the taps, and the controllers by
what machines and agents received.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..standin.appliance import Quality
from ..standin.day import BAD, Step
from .controller_day import ControllerDay

QUIET_SECONDS = 5.0  # at the end, without faults and new builds
FIRST_FAULT_SECONDS = 2.0  # after the start
LOSABLE_FILES = ("list", "facts")  # not the stage: an agent has to keep what it followed
LOSS_SHARE = 0.5  # of the killed agents that lose these files
BAD_BUILD_SHARE = 0.4
RIG_FAULT_SHARE = 0.6  # of the faults, drawn by the rig
REGISTRATION_INTERVAL = 0.05  # seconds between two appliances that register again


class FaultDay(ControllerDay):
    """A day whose faults are random."""

    tick = "60ms"  # many processes share few cores, so answers are given this much earlier

    def script(self) -> Iterator[Step]:
        """Returns what happens, and when."""
        self._until = monotonic() + int((self.seconds - QUIET_SECONDS) * 1e6)
        yield Step(0.0, "builds are offered", self._offer_builds)
        yield Step(FIRST_FAULT_SECONDS / self.seconds, "faults are drawn", self._inject_faults)

    async def _offer_builds(self) -> None:
        build = 2
        while monotonic() < self._until:
            is_bad = self.chance.random() < BAD_BUILD_SHARE
            self.fleet.qualities[build] = self.chance.choice(BAD) if is_bad else Quality()
            self.say(
                f"{(monotonic() - self._began) / 1e6:6.2f} s  "
                f"build {build} is offered, and {'bad' if is_bad else 'good'}"
            )
            self.conveyor.offer(build)
            build += 1
            await asyncio.sleep(self.chance.uniform(7.0, 11.0))

    async def _inject_faults(self) -> None:
        while monotonic() < self._until:
            if self.chance.random() < RIG_FAULT_SHARE:
                await self.rig.inject_random_fault(lambda text: self.say(f"         {text}"))
            else:
                await self._inject_random_fault()
            await asyncio.sleep(self.chance.uniform(0.2, 1.0))
        self.rig.proxy.command(["all", "pass"])
        self.registry.fail(False)

    async def _inject_random_fault(self) -> None:
        """Draws a fault at an agent, the registry or an appliance, and ends it after its time."""
        chance, duration = self.chance, self.chance.uniform(0.3, 2.0)
        kind = chance.choice(("agent", "agent", "all agents", "registry", "list", "pause", "silence"))
        self.say(f"{(monotonic() - self._began) / 1e6:6.2f} s  {kind}, {duration:.1f} s")
        self.rig.fault_counts[kind] += 1
        machine = chance.choice(list(self.fleet.machines.values()))
        match kind:
            case "agent":
                await self._kill(
                    chance.randrange(self.agents),
                    duration,
                    LOSABLE_FILES if chance.random() < LOSS_SHARE else (),
                )
            case "all agents":
                await asyncio.gather(*(self._kill(me, 0.0) for me in range(self.agents)))
            case "registry":
                self.registry.fail(True)
                await asyncio.sleep(duration)
                self.registry.fail(False)
            case "list":  # lost; the appliances register again, one after another
                self.registry.begin_anew()
                for each in list(self.fleet.machines.values()):
                    await asyncio.sleep(REGISTRATION_INTERVAL)
                    if each.ident in self.fleet.machines and not each.leaving:
                        self.fleet.enter(each, pb.READY)
            case "pause":
                self.fleet.steer(machine.ident, "pause", int(duration * 300_000))
            case "silence":
                self.fleet.steer(machine.ident, "silence", int(duration * 1_000_000))
