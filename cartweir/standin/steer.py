"""Commands to running stand-ins, as short texts over one gRPC call."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, fields

from ..hosting.clock import monotonic
from ..hosting.tcp import spawn
from ..proto import agent_pb2 as pb
from ..settings.units import parse_time
from ..wire.calls import CallError, Channel, Request, Service
from ..wire.grpc import Status
from .appliance import Fleet, Make, Quality
from .conveyor import Conveyor
from .registry import PUT, Registry

PATH = "/cartweir.standin.Field/Steer"


class Steering(Service):
    """Takes the commands for the stand-ins that run in this process."""

    def __init__(self, registry: Registry | None, fleet: Fleet | None, conveyor: Conveyor | None) -> None:
        super().__init__()
        self.registry, self.fleet, self.conveyor = registry, fleet, conveyor
        self.handlers[PATH] = self._steer

    async def _steer(self, request: Request) -> bytes:
        try:
            self.do(request.message.decode().split())
        except ValueError as error:
            raise CallError(Status.INVALID_ARGUMENT, str(error)) from None
        return b""

    def do(self, words: list[str]) -> None:
        """Carries out a command; raises ValueError with what is expected."""
        match words:
            case ["registry", "fail", flag] if self.registry:
                self.registry.fail(flag == "1")
            case ["conveyor", "gone", flag] if self.conveyor:
                self.conveyor.gone(flag == "1")
            case ["machine", "launch", build] if self.fleet:
                self.fleet.launch(_number(build, int))
            case ["machine", ("drain" | "stop") as what, who] if self.fleet:
                if who not in self.fleet.machines:
                    raise ValueError(f"no machine {who!r}: one of {', '.join(self.fleet.machines)} is due")
                getattr(self.fleet, what)(self.fleet.machines[who])
            case ["quality", number, *parts] if self.fleet:
                self.fleet.qualities[_number(number, int)] = _quality(parts)
            case ["build", number, *parts] if self.conveyor:
                self.conveyor.fleet.qualities[_number(number, int)] = _quality(parts)
                self.conveyor.offer(_number(number, int))
            case [who, ("pause" | "silence") as what, time] if self.fleet:
                self.fleet.steer(who, what, parse_time(time) if time != "0" else 0)
            case [who, what, value] if self.fleet:
                self.fleet.steer(who, what, _number(value, float))
            case _:
                raise ValueError(
                    "three words are due that concern what runs here, or build NUMBER and name=value pairs"
                )


def _number(text: str, kind: type) -> float:
    try:
        return kind(text)
    except ValueError:
        raise ValueError(f"{text!r}: a number is due") from None


def _quality(parts: list[str]) -> Quality:
    """Returns the quality of a build that words such as `errors=0.3` and `late=3s` describe."""
    kinds, values = {f.name: f.type for f in fields(Quality)}, {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals or name not in kinds:
            raise ValueError(f"{part!r}: one of {', '.join(kinds)} with = and a value is due")
        values[name] = (
            value if name == "operation" else parse_time(value) if name == "late" else _number(value, float)
        )
    return Quality(**values)


class RemoteRegistry:
    """A registry in another process, as a fleet sees it."""

    def __init__(self, address: str) -> None:
        self.channel = Channel(address, 1_000_000)
        self._order: asyncio.Queue = asyncio.Queue()
        spawn(self._tell())

    def put(self, entry: pb.Entry, started: int = 0) -> None:
        """Has an entry listed; started: when its machine did, in microseconds, 0 for long ago."""
        entry.age = max(1, monotonic() - started) if started else 0
        self._order.put_nowait(entry.SerializeToString())

    async def _tell(self) -> None:
        """Sends the entries in order, each until it has been taken."""
        while True:
            entry = await self._order.get()
            while True:
                try:
                    await self.channel.unary(PUT, entry, 1_000_000)
                    break
                except CallError:
                    await asyncio.sleep(0.2)


@dataclass(eq=False)
class RemoteMachine:
    """A machine in another process."""

    ident: str
    build: int
    leaving: bool = False


class RemoteFleet:
    """Machines in another process, as a conveyor sees them.

    They are known by the registry's list, and steered by commands to their process.
    """

    def __init__(self, steer: str, registry: str, make: Make) -> None:
        self.channel, self.registry, self.make = Channel(steer, 1_000_000), Channel(registry, 1_000_000), make
        self.machines: dict[str, RemoteMachine] = {}
        self.qualities = _Told(self)
        spawn(self._watch())

    def say(self, text: str) -> None:
        """Sends a command; a failure is printed."""

        async def send_it() -> None:
            try:
                await self.channel.unary(PATH, text.encode(), 2_000_000)
            except CallError as error:
                print(f"steer {text}: {error.text}", flush=True)

        spawn(send_it())

    def launch(self, build: int) -> None:
        """Has a machine of a build started."""
        self.say(f"machine launch {build}")

    def drain(self, machine: RemoteMachine) -> None:
        """Has a machine finish what it has."""
        self.say(f"machine drain {machine.ident}")

    def stop(self, machine: RemoteMachine) -> None:
        """Has a machine ended."""
        self.say(f"machine stop {machine.ident}")

    async def _watch(self) -> None:
        while True:
            try:
                async for message in self.registry.stream("/cartweir.v1.Registry/Watch", b""):
                    listing = pb.Listing.FromString(message)
                    if listing.whole:
                        self.machines.clear()
                    for entry in listing.entries:
                        if entry.state == pb.GONE:
                            self.machines.pop(entry.appliance, None)
                        elif entry.appliance not in self.machines:
                            self.machines[entry.appliance] = RemoteMachine(entry.appliance, entry.build)
            except CallError:
                pass
            await asyncio.sleep(0.2)


class _Told(dict):
    """Qualities of builds, told to the process of the machines as they are set."""

    def __init__(self, fleet: RemoteFleet) -> None:
        super().__init__()
        self.fleet = fleet

    def __setitem__(self, build: int, quality: Quality) -> None:
        super().__setitem__(build, quality)
        parts = " ".join(
            f"{f.name}={getattr(quality, f.name)}{'us' if f.name == 'late' else ''}"
            for f in fields(Quality)
            if getattr(quality, f.name) != f.default
        )
        self.fleet.say(f"quality {build} {parts}")


async def send(address: str, text: str, path: str = PATH) -> None:
    """Sends a command to the stand-ins at an address; raises ValueError with their reason to refuse it."""
    channel = Channel(address, 1_000_000)
    try:
        await channel.unary(path, text.encode(), 2_000_000)
    except CallError as error:
        raise ValueError(error.text) from None
    finally:
        channel.close()
