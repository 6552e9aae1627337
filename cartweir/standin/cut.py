"""A troublemaker between sockets: passes bytes from where it listens to where it is told, and hurts them by command. Every
command, and what it did to which connection, is a line with its time; no byte is made up, and none is lost without one.

Commands, each for a route or `all`, and a way: `out` (from who connected), `back`, or `both`:

    hold | pass                 keeps bytes, and lets them go on in their order
    delay TIME                  from then on, bytes go that much later
    slow BYTES                  so many bytes a second
    close                       ends the sending of that way, the other goes on (half-close)
    garble NUMBER               one bit of the NUMBER-th byte from now is flipped
    reset                       breaks all connections (RST)
    refuse | accept             new connections are reset at once, or taken again
    mute                        as hold, and new connections are taken and never connected on: a machine that is cut off
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..hosting.clock import monotonic
from ..hosting.tcp import spawn, split_address
from ..proto import agent_pb2 as pb
from ..settings.units import parse_time
from ..wire.calls import CallError, Request, Service
from ..wire.grpc import Status

PATH = "/cartweir.standin.Cut/Do"
WAYS = ("out", "back")
CHUNK = 64 * 1024
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close sends RST


@dataclass
class Way:
    """Faults of one direction of a route."""

    held: bool = False
    delay: int = 0
    rate: int = 0
    garble: int | None = None  # bytes until the one that is spoilt
    go: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.go.set()


class Route:
    """say: one call a fact."""

    def __init__(self, name: str, listen: str, target: str, say: Callable[..., None]) -> None:
        self.name, self.listen_at, self.target, self.say = name, listen, target, say
        self.ways = {way: Way() for way in WAYS}
        self.refusing = False
        self.pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.count = 0

    async def start(self) -> str:
        """Returns the address. Raises OSError."""
        host, port = split_address(self.listen_at)
        server = await asyncio.start_server(self._accept, host, port)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """No coroutine: a task that asyncio's streams start prints a traceback where it is cancelled at the end of all."""
        self.count += 1
        spawn(self._carry(self.count, reader, writer))

    async def _carry(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            self.say("refused", route=self.name, connection=number)
            _break(writer)
            return
        await self.ways["out"].go.wait()  # a machine that is cut off: taken by the kernel, and that is all
        try:
            far_reader, far_writer = await asyncio.open_connection(*split_address(self.target))
        except OSError as error:
            self.say("unreached", route=self.name, connection=number, why=error.strerror)
            _break(writer)
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        await asyncio.gather(
            self._pass("out", number, reader, far_writer), self._pass("back", number, far_reader, writer)
        )
        self.pairs.discard(pair)
        for end in pair:
            end.close()

    async def _pass(
        self, name: str, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """In order; each chunk leaves when its delay is over, so that a delay does not bound the rate."""
        way, queue = self.ways[name], asyncio.Queue()
        sender = spawn(self._send(way, queue, writer, number, name))
        try:
            while data := await reader.read(CHUNK):
                queue.put_nowait((monotonic() + way.delay, data))
            queue.put_nowait((monotonic() + way.delay, b""))
            await sender
        except OSError:
            sender.cancel()
            _break(writer)  # what broke here breaks there

    async def _send(
        self, way: Way, queue: asyncio.Queue, writer: asyncio.StreamWriter, number: int, name: str
    ) -> None:
        try:
            while True:
                due, data = await queue.get()
                if (wait := due - monotonic()) > 0:
                    await asyncio.sleep(wait / 1e6)
                await way.go.wait()
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                if way.garble is not None:
                    data = self._spoil(way, data, number, name)
                if way.rate:
                    await asyncio.sleep(len(data) / way.rate)
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            pass

    def _spoil(self, way: Way, data: bytes, number: int, name: str) -> bytes:
        if way.garble >= len(data):
            way.garble -= len(data)
            return data
        at, way.garble = way.garble, None
        self.say("garbled", route=self.name, way=name, connection=number, byte=data[at], into=data[at] ^ 1)
        return data[:at] + bytes((data[at] ^ 1,)) + data[at + 1 :]

    def do(self, what: str, ways: tuple[str, ...], value: str | None) -> None:
        """Raises ValueError with what would be right."""
        match what, value:
            case (("hold" | "mute"), None):
                for way in ways:
                    self.ways[way].go.clear()
            case "pass", None:
                for way in ways:
                    self.ways[way].delay = self.ways[way].rate = 0
                    self.ways[way].go.set()
            case "delay", str():
                for way in ways:
                    self.ways[way].delay = parse_time(value)
            case "slow", str() if value.isdigit() and int(value):
                for way in ways:
                    self.ways[way].rate = int(value)
            case "garble", str() if value.isdigit():
                for way in ways:
                    self.ways[way].garble = int(value)
            case "close", None:
                for near, far in self.pairs:
                    for way in ways:
                        (far if way == "out" else near).write_eof()
            case "reset", None:
                for pair in list(self.pairs):
                    for end in pair:
                        _break(end)
            case (("refuse" | "accept"), None):
                self.refusing = what == "refuse"
            case _:
                raise ValueError(
                    f"{what!r} {value or ''}: hold, pass, mute, close, reset, refuse, accept, delay TIME, slow "
                    "BYTES or garble NUMBER is due"
                )
        self.say(
            "fault", route=self.name, what=what, ways=list(ways), value=value, connections=len(self.pairs)
        )


def _break(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        except OSError:
            pass
    writer.transport.abort()


class Cut(Service):
    """Routes and their steering, on one loop."""

    def __init__(self, routes: list[tuple[str, str, str]], say: Callable[..., None]) -> None:
        super().__init__()
        self.say = say
        self.routes = {name: Route(name, listen, target, say) for name, listen, target in routes}
        self.handlers[PATH] = self._do

    async def start(self, steer: str) -> dict[str, str]:
        """Returns where each route listens. Raises OSError."""
        found = {name: await route.start() for name, route in self.routes.items()}
        self.say("started", steer=self.listen_on(steer), routes=found)
        return found

    async def _do(self, request: Request) -> bytes:
        try:
            self.command(request.message.decode().split())
        except (ValueError, UnicodeDecodeError) as error:
            raise CallError(Status.INVALID_ARGUMENT, str(error)) from None
        return pb.Nothing().SerializeToString()

    def command(self, given: list[str]) -> None:
        """ROUTE|all WHAT [VALUE] [out|back|both]. Raises ValueError with what would be right."""
        if len(given) < 2 or given[0] != "all" and given[0] not in self.routes:
            raise ValueError(
                f"{' '.join(given)!r}: a route ({', '.join(self.routes)}) or all, and a command are due"
            )
        way = given[-1] if len(given) > 2 and given[-1] in (*WAYS, "both") else "both"
        rest = [word for word in given[1:] if word not in (*WAYS, "both")]
        for route in self.routes.values() if given[0] == "all" else (self.routes[given[0]],):
            route.do(rest[0], WAYS if way == "both" else (way,), rest[1] if len(rest) > 1 else None)


async def serve(routes: list[tuple[str, str, str]], steer: str, say: Any) -> None:
    """Raises OSError."""
    await Cut(routes, say).start(steer)
    await asyncio.Event().wait()
