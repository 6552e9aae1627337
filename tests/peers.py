"""The other sides of an agent under test, and the agent in this process or in one of its own.

The appliances and clients are scripted. They use h2 itself and share no code with the program's HTTP/2.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import struct
import sys
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    RequestReceived,
    ResponseReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
    WindowUpdated,
)
from h2.exceptions import ProtocolError, StreamClosedError, StreamIDTooLowError
from h2.settings import SettingCodes

from cartweir.agent.daemon import Daemon
from cartweir.proto import agent_pb2 as pb
from cartweir.settings.ini import read_agent
from cartweir.standin.registry import Registry

ROOT = Path(__file__).parents[1]
DEFAULT_WINDOW = 65_535  # bytes, HTTP/2's initial window
READ_SIZE = 65_536
CANCEL = 8  # HTTP/2's error code
SETTINGS = """
[agent]
listen = 127.0.0.1:0
seed = 1
tick = 20ms
{agent}
[registry]
address = {registry}
[conveyor]
address = {conveyor}
vote_timeout = 300ms
[allowed]
may_probe = no
{allowed}
[appliances]
{appliances}
[release]
shares = 0.2, 1
caps = 0.2, 1
[wire]
reconnect_least = 20ms
reconnect_most = 50ms
{wire}
[operation view]
methods = /maps.Parcels/View
effect = idempotent
slo_time = 1s
time_limit = 2s
[operation order]
methods = /maps.Extracts/Order
effect = fingerprinted
window = 2s
slo_time = 1s
time_limit = 2s
[operation issue]
methods = /maps.Extracts/Issue
effect = side-effecting
slo_time = 1s
time_limit = 2s
[operation tiles]
methods = /maps.Parcels/Tiles
effect = idempotent
stream = yes
slo_time = 1s
time_limit = 10s
[log]
format = json
"""
VIEW, ORDER, ISSUE, TILES = (
    "/maps.Parcels/View",
    "/maps.Extracts/Order",
    "/maps.Extracts/Issue",
    "/maps.Parcels/Tiles",
)


def framed(message: bytes) -> bytes:
    """Returns a message with gRPC's prefix."""
    return struct.pack(">BI", 0, len(message)) + message


@dataclass(eq=False)
class Peer:
    """One h2 connection over asyncio streams, either end; `on_event` is called with every event in order.

    Attributes:
        window: The initial window of its streams, in bytes.
        grant: Whether received data is acknowledged, which lets the other side send more.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    client: bool
    on_event: Callable[[Peer, Any], None]
    window: int = DEFAULT_WINDOW
    grant: bool = True

    def __post_init__(self) -> None:
        self.h2 = H2Connection(H2Configuration(client_side=self.client, header_encoding="utf-8"))
        self.h2.initiate_connection()
        if self.window != DEFAULT_WINDOW:
            self.h2.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: self.window})
        self.sent = 0  # bytes of the body that is being sent
        self.window_grew = asyncio.Event()
        self.closed = asyncio.Event()
        self.write()
        self.task = asyncio.ensure_future(self._read())

    def write(self) -> None:
        self.writer.write(self.h2.data_to_send())

    async def _read(self) -> None:
        with contextlib.suppress(ConnectionError, ProtocolError):
            while data := await self.reader.read(READ_SIZE):
                for event in self.h2.receive_data(data):
                    if isinstance(event, DataReceived) and self.grant and event.flow_controlled_length:
                        with contextlib.suppress(ProtocolError):
                            self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                    if isinstance(event, WindowUpdated):
                        self.window_grew.set()
                    self.on_event(self, event)
                self.write()
        self.closed.set()

    async def send_all(self, stream: int, data: bytes) -> int:
        """Sends as the windows allow, until all is sent or the stream has ended; returns the bytes sent."""
        sent = 0
        with contextlib.suppress(ProtocolError, ConnectionError, KeyError):
            while sent < len(data):
                self.window_grew.clear()
                size = min(
                    self.h2.local_flow_control_window(stream),
                    self.h2.max_outbound_frame_size,
                    len(data) - sent,
                )
                if size <= 0:
                    self.write()
                    await self.window_grew.wait()
                    continue
                self.h2.send_data(stream, data[sent : sent + size])
                sent += size
                self.sent = sent
        self.write()
        return sent


class Appliance:
    """A scripted appliance: each whole request is passed to `act(appliance, peer, stream, number)`.

    `number` counts the requests from 0.
    """

    def __init__(self, act: Callable[..., Any]) -> None:
        self.act = act
        self.peers: list[Peer] = []
        self.requests: list[dict[str, str]] = []
        self.resets: list[tuple[int, int]] = []
        self.reset = asyncio.Event()
        self.asked = asyncio.Event()
        self.bodies: dict[int, bytes] = {}
        self.tasks: list[asyncio.Task] = []

    async def listen(self) -> str:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.act is garbage:
            writer.write(b"SSH-2.0-nothing of yours\r\n" * 4)
            return
        self.peers.append(Peer(reader, writer, False, self._event, grant=self.act is not deaf))

    def _event(self, peer: Peer, event: Any) -> None:
        if isinstance(event, RequestReceived):
            self.requests.append(dict(event.headers))
            if self.act is deaf:
                self.asked.set()
        elif isinstance(event, DataReceived):
            self.bodies[event.stream_id] = self.bodies.get(event.stream_id, b"") + event.data
        elif isinstance(event, StreamReset):
            self.resets.append((event.stream_id, int(event.error_code)))
            self.reset.set()
        elif isinstance(event, StreamEnded):
            try:
                done = self.act(self, peer, event.stream_id, len(self.requests) - 1)
            except (StreamClosedError, StreamIDTooLowError):  # the agent has reset it within the same input
                return
            if asyncio.iscoroutine(done):
                self.tasks.append(asyncio.ensure_future(done))
            self.asked.set()

    def close(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for peer in self.peers:
            peer.writer.close()
            peer.task.cancel()


# ---- scripts of appliances ----
def head(peer: Peer, stream: int) -> None:
    peer.h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])


def tail(peer: Peer, stream: int, status: str = "0", *more: tuple[str, str]) -> None:
    peer.h2.send_headers(stream, [("grpc-status", status), *more], end_stream=True)


def answer(appliance: Appliance, peer: Peer, stream: int, number: int) -> None:
    head(peer, stream)
    peer.h2.send_data(stream, framed(b"fine"))
    tail(peer, stream, "0", ("x-from", "appliance"))


def nothing(appliance: Appliance, peer: Peer, stream: int, number: int) -> None:
    pass


def garbage(*_: Any) -> None:
    raise AssertionError("never called: no request is understood")


def deaf(*_: Any) -> None:
    """Acknowledges no data, so that a large request never ends."""


def trailers_only(status: str) -> Callable[..., None]:
    def act(appliance: Appliance, peer: Peer, stream: int, number: int) -> None:
        peer.h2.send_headers(
            stream,
            [(":status", "200"), ("content-type", "application/grpc"), ("grpc-status", status)],
            end_stream=True,
        )

    return act


def large(size: int) -> Callable[..., Any]:
    async def act(appliance: Appliance, peer: Peer, stream: int, number: int) -> None:
        head(peer, stream)
        if await peer.send_all(stream, framed(b"x" * size)) == size + 5:
            tail(peer, stream)
            peer.write()

    return act


# ---- clients ----
class Answered:
    """One call as its client saw it."""

    def __init__(self) -> None:
        self.heads: list[dict[str, str]] = []
        self.body = bytearray()
        self.ends = 0
        self.reset: int | None = None
        self.done = asyncio.Event()

    @property
    def tail(self) -> dict[str, str]:
        return self.heads[-1] if self.heads else {}

    @property
    def status(self) -> str | None:
        return self.tail.get("grpc-status")


class Client:
    """A client's connection to an agent; `call` sends one request, valid or not."""

    def __init__(self, peer: Peer, calls: dict[int, Answered]) -> None:
        self.peer, self.calls = peer, calls

    @classmethod
    async def connect(cls, address: str, window: int = DEFAULT_WINDOW, grant: bool = True) -> Client:
        host, port = address.split(":")
        calls: dict[int, Answered] = {}
        reader, writer = await asyncio.open_connection(host, int(port))
        return cls(
            Peer(reader, writer, True, lambda peer, event: _record(calls, event), window, grant), calls
        )

    def call(
        self,
        path: str,
        body: bytes = framed(b"please"),
        timeout: str | None = "2S",
        end: bool = True,
        **metadata: str,
    ) -> Answered:
        stream = self.peer.h2.get_next_available_stream_id()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "agent"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
        ]
        if timeout is not None:
            headers.append(("grpc-timeout", timeout))
        headers += [(name.replace("_", "-"), value) for name, value in metadata.items()]
        self.peer.h2.send_headers(stream, headers)
        if body:
            self.peer.h2.send_data(stream, body, end_stream=end)
        self.peer.write()
        self.calls[stream] = answered = Answered()
        answered.stream = stream
        return answered

    def leave(self, answered: Answered) -> None:
        self.peer.h2.reset_stream(answered.stream, CANCEL)
        self.peer.write()

    def close(self) -> None:
        self.peer.writer.close()
        self.peer.task.cancel()


def _record(calls: dict[int, Answered], event: Any) -> None:
    if (
        isinstance(event, ConnectionTerminated) or event.stream_id not in calls
        if hasattr(event, "stream_id")
        else True
    ):
        return
    answered = calls[event.stream_id]
    if isinstance(event, (ResponseReceived, TrailersReceived)):
        answered.heads.append(dict(event.headers))
    elif isinstance(event, DataReceived):
        answered.body += event.data
    elif isinstance(event, StreamEnded):
        answered.ends += 1
        answered.done.set()
    elif isinstance(event, StreamReset):
        answered.reset = int(event.error_code)
        answered.done.set()


# ---- the agent ----
class Log:
    """Records events, in place of a structlog logger."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.waiting: list[tuple[str, asyncio.Future]] = []

    def __getattr__(self, level: str) -> Callable[..., None]:
        def record(event: str, **facts: Any) -> None:
            self.lines.append((event, facts))
            for wanted, future in self.waiting:
                if wanted == event and not future.done():
                    future.set_result(facts)

        return record

    def of(self, event: str) -> list[dict[str, Any]]:
        return [facts for name, facts in self.lines if name == event]

    async def next(self, event: str) -> dict[str, Any]:
        future = asyncio.get_running_loop().create_future()
        self.waiting.append((event, future))
        return await asyncio.wait_for(future, 10)


class Rig:
    """An agent in this process with its registry, appliances and clients."""

    daemon: Daemon
    address: str

    def __init__(self) -> None:
        self.log = Log()
        self.registry = Registry()
        self.appliances: list[Appliance] = []
        self.clients: list[Client] = []

    async def add(self, act: Callable[..., Any], build: int = 1, zone: str = "") -> Appliance:
        appliance = Appliance(act)
        appliance.name = f"a{len(self.appliances)}"
        self.appliances.append(appliance)
        appliance.entry = pb.Entry(
            appliance=appliance.name, address=await appliance.listen(), build=build, run=1, zone=zone
        )
        self.registry.put(appliance.entry)
        return appliance

    async def client(self, **more: Any) -> Client:
        client = await Client.connect(self.address, **more)
        self.clients.append(client)
        return client

    def set(self, appliance: Appliance, state: int) -> None:
        entry = pb.Entry()
        entry.CopyFrom(appliance.entry)
        entry.state = state
        self.registry.put(entry)

    @property
    def dispatched(self) -> int:
        return sum(len(appliance.requests) for appliance in self.appliances)


def settings(folder: Path, registry: str, conveyor: str, **more: str) -> Path:
    file = folder / "agent.ini"
    parts = {"agent": "", "allowed": "", "appliances": "", "wire": "", **more}
    file.write_text(SETTINGS.format(registry=registry, conveyor=conveyor, **parts))
    return file


@contextlib.asynccontextmanager
async def rig(
    folder: Path,
    *acts: Callable[..., Any],
    conveyor: str = "127.0.0.1:9",
    ask: bool = False,
    **more: str,
) -> AsyncIterator[Rig]:
    """Runs an agent with a registry and one appliance for each act.

    Args:
        folder: Holds the settings file.
        acts: The scripts of the appliances.
        conveyor: The conveyor's address; by default nothing listens there.
        ask: Whether the registry's list comes only when the decisions ask for it.
        more: Lines for sections of the settings.
    """
    it = Rig()
    address = it.registry.listen_on("127.0.0.1:0") + ("\nmode = ask" if ask else "")
    for act in acts:
        await it.add(act)
    it.daemon = Daemon(read_agent(settings(folder, address, conveyor, **more)), it.log)
    listed = asyncio.ensure_future(it.log.next("list"))
    it.address = it.daemon.start_up()
    await listed
    try:
        yield it
    finally:
        for part in (*it.clients, *it.appliances):
            part.close()
        it.registry.shutdown()
        it.daemon.front.drain()
        it.daemon._end()


class Process:
    """An agent in a process of its own, from its start until it is stopped."""

    def __init__(
        self, process: asyncio.subprocess.Process, lines: list[dict[str, Any]], address: str
    ) -> None:
        self.process, self.lines, self.address = process, lines, address
        self.started.append(process)
        self._reader = asyncio.ensure_future(self._read())

    started: ClassVar[list[asyncio.subprocess.Process]] = []

    @classmethod
    def end_all(cls) -> None:
        """Kills the processes that a failed test has left running."""
        for process in cls.started:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
        cls.started.clear()

    @classmethod
    async def start(cls, file: Path, *before: str) -> Process:
        process = await asyncio.create_subprocess_exec(
            *before,
            sys.executable,
            "-m",
            "cartweir",
            "agent",
            "--settings",
            str(file),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        lines: list[dict[str, Any]] = []
        while not (lines and lines[-1]["event"] == "started"):
            line = await process.stderr.readline()
            if not line.startswith(b"{"):
                raise AssertionError(line + await process.stderr.read())
            lines.append(json.loads(line))
        return cls(process, lines, lines[-1]["listen"])

    async def _read(self) -> None:
        while line := await self.process.stderr.readline():
            if line.startswith(b"{"):
                self.lines.append(json.loads(line))

    def of(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] == event]

    async def until(self, event: str) -> dict[str, Any]:
        while not self.of(event):
            await asyncio.sleep(0.005)
        return self.of(event)[0]

    async def stop(self, how: int = signal.SIGTERM) -> int:
        if self.process.returncode is None:
            self.process.send_signal(how)
        code = await asyncio.wait_for(self.process.wait(), 20)
        await self._reader
        return code
