"""The platform's services of a run: discovery, and the service that publishes the stages of builds.

Each agent reaches them at an address of its own, so that they know whom they tell what, and when.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ..hosting.clock import monotonic
from .appliance import AGENT_NETWORK

HEARTBEAT_INTERVAL = 2.0  # seconds between empty lines on a watch
PING_INTERVAL = 1.0  # seconds between signs of life of the release service
CROWDED_WAIT = 0.5  # seconds after which a crowded discovery turns a call away

# modes of discovery
UP = "up"
DOWN = "down"  # calls are reset, watches end
CROWDED = "crowded"  # calls wait and are answered with 503; watches go on
SILENT = "silent"  # watches and calls stay open, and nothing comes


def agent_of(writer: asyncio.StreamWriter) -> int:
    """Returns the number of the agent that has made a connection."""
    return int(writer.get_extra_info("sockname")[0].rpartition(".")[2])


def address_for(agent: int, port: int) -> str:
    """Returns the address at which an agent reaches a port of this machine."""
    return f"{AGENT_NETWORK}{agent}:{port}"


@dataclass(frozen=True)
class Listing:
    """An entry of the list at one version.

    Attributes:
        version: The version of the list that told it.
        name: The server.
        port: Its port.
        zone: Its zone.
        status: up, draining or removed.
        since: Unix time of its start in milliseconds; 0 for long ago.
        started_at: Its start on the monotonic clock, in microseconds; 0 for long ago.
        build: The build that it runs.
        at: When it was changed, in microseconds of the monotonic clock.
    """

    version: int
    name: str
    port: int
    zone: str
    status: str
    since: int
    started_at: int
    build: int
    at: int

    def members(self, agent: int) -> dict[str, Any]:
        """Returns the entry as discovery writes it to an agent."""
        return {
            "name": self.name,
            "address": address_for(agent, self.port),
            "zone": self.zone,
            "type": "m",
            "group": 1,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since,
            "release": self.build,
        }


@dataclass(frozen=True)
class Told:
    """An agent was told all changes up to a version.

    Attributes:
        agent: The agent's number.
        version: The version.
        at: When it was written, in microseconds of the monotonic clock.
    """

    agent: int
    version: int
    at: int


@dataclass(eq=False)
class Discovery:
    """The list of servers, and the watches on it.

    Attributes:
        listings: Every entry at every version, in order.
        told: What agents were told, in order.
        mode: One of the modes above.
        modes: The modes so far, each with the time of its begin.
    """

    listings: list[Listing] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    mode: str = UP
    modes: list[tuple[int, str]] = field(default_factory=lambda: [(0, UP)])
    _watches: dict[asyncio.StreamWriter, int] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """The version of the list."""
        return self.listings[-1].version if self.listings else 0

    async def start(self) -> int:
        """Listens, and returns the port."""
        server = await asyncio.start_server(self._serve, "0.0.0.0", 0)
        return server.sockets[0].getsockname()[1]

    def set_mode(self, mode: str) -> None:
        """Goes into a mode."""
        self.mode = mode
        self.modes.append((monotonic(), mode))
        if mode == DOWN:
            for writer in list(self._watches):
                writer.transport.abort()
        elif mode == UP:
            self._tell_all()

    def change(self, name: str, **fields: Any) -> None:
        """Adds or changes an entry, and tells all watches."""
        known = self.current().get(name)
        members = {**(vars(known) if known else {}), "name": name, **fields}
        members.update(version=self.version + 1, at=monotonic())
        self.listings.append(Listing(**members))
        if self.mode in (UP, CROWDED):
            self._tell_all()

    def current(self) -> dict[str, Listing]:
        """Returns the newest entry of each server that is not removed."""
        newest = {listing.name: listing for listing in self.listings}
        return {name: listing for name, listing in newest.items() if listing.status != "removed"}

    def whole(self, agent: int) -> dict[str, Any]:
        """Returns the whole list as an agent is told it."""
        entries = [listing.members(agent) for listing in self.current().values()]
        return {"index": self.version, "snapshot": True, "endpoints": entries}

    def _changes(self, agent: int, since: int) -> dict[str, Any]:
        newest = {listing.name: listing for listing in self.listings if listing.version > since}
        entries = [listing.members(agent) for listing in newest.values()]
        return {"index": self.version, "snapshot": False, "endpoints": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            if self.mode == DOWN:
                writer.transport.abort()
            elif self.mode == CROWDED:
                await asyncio.sleep(CROWDED_WAIT)
                writer.write(b"HTTP/1.1 503 Crowded\r\nContent-Length: 0\r\n\r\n")
            elif self.mode == SILENT:
                await reader.read()
            else:
                await self._watch(head, reader, writer)
        self._watches.pop(writer, None)
        writer.close()

    async def _watch(self, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = head.split(" ", 2)[1]
        _, known, since = target.partition("from=")
        agent = agent_of(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = self._changes(agent, int(since)) if known else self.whole(agent)
        self._write(writer, agent, first)
        if "watch=1" not in target:
            writer.write(b"0\r\n\r\n")
            return
        self._watches[writer] = self.version
        ended = asyncio.ensure_future(reader.read())
        while not ended.done():
            await asyncio.wait([ended], timeout=HEARTBEAT_INTERVAL)
            if self.mode != SILENT and writer in self._watches:
                writer.write(b"1\r\n\n\r\n")

    def _write(self, writer: asyncio.StreamWriter, agent: int, members: Mapping[str, Any]) -> None:
        line = json.dumps(members).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        self.told.append(Told(agent, self.version, monotonic()))

    def _tell_all(self) -> None:
        for writer, version in list(self._watches.items()):
            if version < self.version and not writer.is_closing():
                agent = agent_of(writer)
                self._write(writer, agent, self._changes(agent, version))
                self._watches[writer] = self.version


def unix_milliseconds() -> int:
    """Returns the true Unix time, which discovery goes by."""
    return int(time.time() * 1000)


@dataclass(frozen=True)
class StageTold:
    """The state of the newest build, as agents are told it.

    Attributes:
        at: When it came to stand so, in microseconds of the monotonic clock.
        build: The build.
        stage: Its stage.
        phase: testing, recalling, live or recalled.
        cap: Its cap.
    """

    at: int
    build: int
    stage: int
    phase: str
    cap: float

    def members(self) -> dict[str, Any]:
        """Returns the state as the service writes it."""
        age = (monotonic() - self.at) / 1000
        return {
            "build": self.build,
            "stage": self.stage,
            "phase": self.phase,
            "cap": self.cap,
            "age_ms": age,
        }


@dataclass(eq=False)
class ReleaseService:
    """Publishes stages, and takes votes without following them.

    Attributes:
        stages: The stages so far.
        told: When each agent was told which of them, as (agent, stage, time).
        votes: The votes that came, as (agent, parameters).
    """

    stages: list[StageTold] = field(default_factory=list)
    told: list[tuple[int, StageTold, int]] = field(default_factory=list)
    votes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    _listeners: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> int:
        """Listens, and returns the port."""
        server = await asyncio.start_server(self._serve, "0.0.0.0", 0)
        return server.sockets[0].getsockname()[1]

    def publish(self, build: int, stage: int, phase: str, cap: float) -> None:
        """Makes this the state of the newest build."""
        self.stages.append(StageTold(monotonic(), build, stage, phase, cap))
        for writer in list(self._listeners):
            self._tell(writer)

    def _tell(self, writer: asyncio.StreamWriter) -> None:
        state = self.stages[-1]
        if not writer.is_closing():
            writer.write(_line(method="news", params=state.members()))
            self.told.append((agent_of(writer), state, monotonic()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pings = None
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                call = json.loads(line)
                if call["method"] == "listen":
                    writer.write(_line(id=call["id"], result=True))
                    self._listeners.add(writer)
                    self._tell(writer)
                    pings = asyncio.ensure_future(_repeat(PING_INTERVAL, lambda: _ping(writer)))
                else:
                    self.votes.append((agent_of(writer), call["params"]))
                    writer.write(_line(id=call["id"], result=self.stages[-1].members()))
        if pings is not None:
            pings.cancel()
        self._listeners.discard(writer)
        writer.close()


def _line(**members: Any) -> bytes:
    return json.dumps({"jsonrpc": "2.0", **members}).encode() + b"\n"


async def _ping(writer: asyncio.StreamWriter) -> None:
    writer.write(_line(method="ping", params={}))


async def _repeat(interval: float, do: Callable[[], Awaitable[None]]) -> None:
    while True:
        await asyncio.sleep(interval)
        await do()
