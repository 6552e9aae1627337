"""Steers a running field by short texts over one call."""
from __future__ import annotations

from dataclasses import fields

from ..settings.units import parse_time
from ..wire.calls import CallError, Channel, Request, Service
from ..wire.grpc import Status
from .appliance import Fleet, Quality
from .conveyor import Conveyor
from .registry import Registry

PATH = "/cartweir.standin.Field/Steer"


class Steering(Service):
    def __init__(self, registry: Registry, fleet: Fleet, conveyor: Conveyor) -> None:
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
        """Raises ValueError with what would be right."""
        match words:
            case ["registry", "fail", flag]:
                self.registry.fail(flag == "1")
            case ["conveyor", "gone", flag]:
                self.conveyor.gone(flag == "1")
            case ["machine", "launch", build]:
                self.fleet.launch(_number(build, int))
            case ["build", number, *parts]:
                self.fleet.qualities[_number(number, int)] = _quality(parts)
                self.conveyor.offer(_number(number, int))
            case [who, ("pause" | "silence") as what, time]:
                self.fleet.steer(who, what, parse_time(time) if time != "0" else 0)
            case [who, what, value]:
                self.fleet.steer(who, what, _number(value, float))
            case _:
                raise ValueError("three words are due, or build NUMBER and name=value pairs")


def _number(text: str, kind: type) -> float:
    try:
        return kind(text)
    except ValueError:
        raise ValueError(f"{text!r}: a number is due") from None


def _quality(parts: list[str]) -> Quality:
    """'errors=0.3 late=3s' and the like."""
    kinds, values = {f.name: f.type for f in fields(Quality)}, {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals or name not in kinds:
            raise ValueError(f"{part!r}: one of {', '.join(kinds)} with = and a value is due")
        values[name] = value if name == "operation" else parse_time(value) if name == "late" else _number(value, float)
    return Quality(**values)


async def send(address: str, text: str) -> None:
    """Raises ValueError with the field's own words."""
    channel = Channel(address, 1_000_000)
    try:
        await channel.unary(PATH, text.encode(), 2_000_000)
    except CallError as error:
        raise ValueError(error.text) from None
    finally:
        channel.close()
