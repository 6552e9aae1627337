"""All that the rig draws, under real agents with traffic: controllers, agents and clients are processes, faults are drawn between and
under them from one seed while builds come in, good and bad. Judged twice from what passed: the five rules by the taps, the
controllers by what machines and agents took."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..standin.appliance import Quality
from ..standin.day import BAD, Step
from .controller_day import ControllerDay

QUIET_SECONDS = 5.0  # seconds at the end without a fault, and without a new build
LOSABLE = ("list", "facts")  # an agent's files; its stage is what it is a receiver by


class FaultDay(ControllerDay):
    """Raises OSError as a day does."""

    tick = "60ms"  # many processes share few cores here: answers are given that much earlier

    def script(self) -> Iterator[Step]:
        self._until = monotonic() + int((self.seconds - QUIET_SECONDS) * 1e6)
        yield Step(0.0, "builds are offered", self._offers)
        yield Step(2.0 / self.seconds, "faults are drawn", self._faults)

    async def _offers(self) -> None:
        build = 2
        while monotonic() < self._until:
            bad = self.chance.random() < 0.4
            self.fleet.qualities[build] = self.chance.choice(BAD) if bad else Quality()
            self.say(
                f"{(monotonic() - self._began) / 1e6:6.2f} s  build {build} is offered, and {'bad' if bad else 'good'}"
            )
            self.conveyor.offer(build)
            build += 1
            await asyncio.sleep(self.chance.uniform(7.0, 11.0))

    async def _faults(self) -> None:
        while monotonic() < self._until:
            if self.chance.random() < 0.6:
                await self.rig.inject_random_fault(lambda text: self.say(f"         {text}"))
            else:
                await self._own_trouble()
            await asyncio.sleep(self.chance.uniform(0.2, 1.0))
        self.rig.proxy.command(["all", "pass"])
        self.registry.fail(False)

    async def _own_trouble(self) -> None:
        """At an agent, the registry or an appliance."""
        chance, span = self.chance, self.chance.uniform(0.3, 2.0)
        kind = chance.choice(("agent", "agent", "all agents", "registry", "list", "pause", "silence"))
        self.say(f"{(monotonic() - self._began) / 1e6:6.2f} s  {kind}, {span:.1f} s")
        self.rig.fault_counts[kind] += 1
        machine = chance.choice(list(self.fleet.machines.values()))
        match kind:
            case "agent":
                await self._kill(
                    chance.randrange(self.agents), span, LOSABLE if chance.random() < 0.5 else ()
                )
            case "all agents":
                await asyncio.gather(*(self._kill(me, 0.0) for me in range(self.agents)))
            case "registry":
                self.registry.fail(True)
                await asyncio.sleep(span)
                self.registry.fail(False)
            case "list":  # lost; appliances enter themselves once more, one after the other
                self.registry.begin_anew()
                for each in list(self.fleet.machines.values()):
                    await asyncio.sleep(0.05)
                    if each.ident in self.fleet.machines and not each.leaving:
                        self.fleet.enter(each, pb.READY)
            case "pause":
                self.fleet.steer(machine.ident, "pause", int(span * 300_000))
            case "silence":
                self.fleet.steer(machine.ident, "silence", int(span * 1_000_000))
