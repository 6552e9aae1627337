"""A node on loopback sockets, with scripted appliances, discovery, release service and clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from cartweir.hosting.platform_settings import parse_settings
from cartweir.node.config import Config
from cartweir.node.daemon import Daemon

SETTINGS = {
    "balancers": 2,
    "me": 0,
    "zone": "a",
    "tick": 5.0,
    "registryMode": "on_request",
    "allowed": {
        "cancel": True,
        "probing": False,
        "peers": True,
        "mayDuplicate": False,
        "retryAfter": True,
        "maxRetryAfter": 500.0,
        "tryLimit": 4,
        "connectTimeout": 250.0,
        "keepalive": 30000.0,
    },
    "safety": {
        "coldFrom": 0.4,
        "drainGrace": 2000.0,
        "fall": 1000.0,
        "fallMultiple": 4.0,
        "warmAfter": 5000.0,
    },
    "familyInfo": {
        "control": "by_count",
        "votesToGo": 2,
        "noesNeeded": 1,
        "ballotTtl": 6000.0,
        "voteAllowance": 200.0,
        "mostShares": [0.2, 0.5, 1.0],
        "steps": [0.1, 0.4, 1.0],
        "span": 4000.0,
        "spareTries": 1.0,
        "oneWay": True,
        "foundShare": 0.3,
        "style": "parallel",
        "per": "all",
        "callTimeout": 300.0,
    },
    "classes": [
        {"name": "view", "effect": "retryable", "aim": 1000.0, "hardLimit": 3000.0, "worth": 1.0},
        {
            "name": "order",
            "effect": "dedup",
            "dedupScope": "all",
            "window": 2000.0,
            "aim": 750.0,
            "hardLimit": 3000.0,
            "worth": 3.0,
        },
        {"name": "issue", "effect": "fragile", "aim": 1000.0, "hardLimit": 3000.0, "worth": 2.0},
    ],
}
RELEASED = {"build": 1, "stage": 2, "phase": "live", "cap": 1.0, "age_ms": 60000}
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server on a loopback port that runs a coroutine for each connection."""

    def __init__(self, serve: Serve) -> None:
        self.serve, self.accepted, self.writers = serve, 0, []
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> Server:
        self.server = await asyncio.start_server(self._accepted, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.writers.append(writer)
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        writer.close()

    def stop(self) -> None:
        self.server.close()
        for task in self._tasks:
            task.cancel()


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Returns first line, headers by lower-case names, and body. Raises IncompleteReadError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    pairs = (line.split(": ", 1) for line in head[1:] if line)
    headers = {name.lower(): value for name, value in pairs}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


def ok_response(body: bytes) -> bytes:
    """Returns a response of status 200."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Appliance(Server):
    """Answers each request with the bytes that `script` returns; closes the connection if it returns None."""

    def __init__(self, script: Callable[[str, dict[str, str], bytes], bytes | None] | None = None) -> None:
        super().__init__(self._serve)
        self.script = script or (
            lambda line, headers, body: ok_response(b"made for " + headers["x-request-id"].encode())
        )
        self.requests: list[tuple[str, dict[str, str], bytes]] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_request(reader)
            self.requests.append(request)
            response = self.script(*request)
            if response is None:
                return
            writer.write(response)


class HoldingAppliance(Appliance):
    """Answers nothing until `release` is set; `requests` holds the ids received, in order."""

    def __init__(self) -> None:
        super().__init__()
        self.release = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, headers, _ = await read_request(reader)
            self.requests.append(headers["x-request-id"])
            await self.release.wait()
            writer.write(ok_response(b"late"))

    async def wait_for_requests(self, count: int) -> None:
        """Waits until so many requests have been received."""
        while len(self.requests) < count:
            await asyncio.sleep(0.005)


class Discovery(Server):
    """A discovery service that answers each call with the whole list and keeps it open as a watch."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        super().__init__(self._serve)
        self.endpoints, self.index, self.request_lines, self.watches = endpoints, 1, [], []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, _, _ = await read_request(reader)
        self.request_lines.append(line)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write_list(writer, True, self.endpoints)
        self.watches.append(writer)
        await reader.read()

    def _write_list(self, writer: asyncio.StreamWriter, whole: bool, endpoints: list[dict[str, Any]]) -> None:
        line = json.dumps({"index": self.index, "snapshot": whole, "endpoints": endpoints}).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def send_delta(self, *endpoints: dict[str, Any]) -> None:
        """Sends changed entries on all watches, as the next version."""
        self.index += 1
        for writer in self.watches:
            self._write_list(writer, False, list(endpoints))


class ReleaseService(Server):
    """A release service.

    Attributes:
        news: Lines that each new listener is sent.
        votes: The parameters of the votes received.
        listeners: Connections that listen.
        vote: Returns the answer to a vote as bytes; None closes the connection.
    """

    def __init__(self) -> None:
        super().__init__(self._serve)
        self.news: list[bytes] = []
        self.votes: list[dict[str, Any]] = []
        self.listeners: list[asyncio.StreamWriter] = []
        self.vote: Callable[[dict[str, Any]], bytes | None] = lambda call: None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            call = json.loads(line)
            if call["method"] == "listen":
                writer.write(
                    json.dumps({"jsonrpc": "2.0", "id": call["id"], "result": True}).encode() + b"\n"
                )
                self.listeners.append(writer)
                for line in self.news:
                    writer.write(line)
            else:
                self.votes.append(call["params"])
                if (answer := self.vote(call)) is None:
                    return
                writer.write(answer)

    def notify(self, method: str, **params: Any) -> None:
        """Sends a notification to all listeners."""
        for writer in self.listeners:
            writer.write(json.dumps({"jsonrpc": "2.0", "method": method, "params": params}).encode() + b"\n")


class NodeClient:
    """One client connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def exchange(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Writes a request and returns status, headers and body of the response."""
        self.writer.write(data)
        return await self.read_response()

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """Returns status, headers and body of the next response."""
        line, headers, body = await read_request(self.reader)
        return int(line.split(" ")[1]), headers, body

    async def ended(self) -> bytes:
        """Returns what arrives until the node ends the connection."""
        with contextlib.suppress(ConnectionResetError):
            return await self.reader.read()
        return b""


def request_bytes(request_id: str, operation: str = "view", **headers: str) -> bytes:
    """Returns a valid request; headers: further ones, with _ for -, or None to leave one out."""
    named = {
        "Host": "backend.local",
        "X-Request-ID": request_id,
        "X-Priority-Class": operation,
        "X-Tenant-Id": "acme",
        "X-Timeout": "2000m",
    }
    if operation != "view":
        named["Idempotency-Key"] = f"key of {request_id}".replace(" ", "-")
        named["Content-Length"] = "4"
    named.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = [f"{'GET' if operation == 'view' else 'POST'} /{operation}/x?y=1 HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in named.items() if value is not None]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (b"" if operation == "view" else b"body")


@dataclass
class NodeHarness:
    """A running node and the servers around it.

    Attributes:
        daemon: The node's daemon.
        address: The address that clients connect to.
        discovery: The discovery service that the node follows.
        release_service: The release service that the node listens to.
        appliances: The appliances in its list.
        events: The node's log events with their fields.
    """

    daemon: Daemon
    address: str
    discovery: Discovery
    release_service: ReleaseService
    appliances: list[Appliance]
    events: list[tuple[str, dict[str, Any]]]

    async def client(self) -> NodeClient:
        """Returns a new connection to the node."""
        host, port = self.address.split(":")
        return NodeClient(*await asyncio.open_connection(host, int(port)))

    async def wait_for_event(self, event: str) -> dict[str, Any]:
        """Waits until the node has logged an event, and returns its fields."""
        while True:
            for found, facts in self.events:
                if found == event:
                    return facts
            await asyncio.sleep(0.005)


def entry(name: str, server: Server, **more: Any) -> dict[str, Any]:
    """Returns an entry of discovery's list for a server."""
    return {
        "name": name,
        "address": server.address,
        "zone": "a",
        "type": "m",
        "group": 1,
        "status": "up",
        "weight": 1.0,
        "since_ms": 0,
        "release": 1,
        **more,
    }


@contextlib.asynccontextmanager
async def running_node(
    *appliances: Appliance,
    sockets: int = 256,
    memory_limit: int = 192_000_000,
    news: dict[str, Any] | None = None,
    drain_grace: float = 2000.0,
    registry: str = SETTINGS["registryMode"],
    **allowed: Any,
) -> AsyncIterator[NodeHarness]:
    """Runs a node in this process, with the appliances in its list.

    Args:
        appliances: Not started yet.
        sockets: The node's limit on descriptors.
        memory_limit: The node's limit on memory, in bytes.
        news: State of the newest build in the configuration.
        drain_grace: In milliseconds.
        registry: Whether lists are pushed or asked for, as the settings say it.
        allowed: Changes to the settings below `allowed`.
    """
    for appliance in appliances:
        await appliance.start()
    endpoints = [entry(f"s{number}", appliance) for number, appliance in enumerate(appliances)]
    discovery, release_service = await Discovery(endpoints).start(), await ReleaseService().start()
    settings = {
        **SETTINGS,
        "registryMode": registry,
        "allowed": {**SETTINGS["allowed"], **allowed},
        "safety": {**SETTINGS["safety"], "drainGrace": drain_grace},
    }
    config = Config(
        name="n0",
        listen="127.0.0.1:0",
        discovery=discovery.address,
        seed=7,
        sockets=sockets,
        memory_limit=memory_limit,
        peer_listen=None,
        peers=[],
        peers_all=None,
        release_service=release_service.address,
        stage=news or RELEASED,
        known_list={"index": 1, "snapshot": True, "endpoints": endpoints},
        decision_settings=parse_settings(settings),
    )
    daemon = Daemon(config, lambda: config)
    events: list[tuple[str, dict[str, Any]]] = []
    daemon.log_event = lambda event, level="info", **facts: events.append((event, facts))
    for part in (daemon.front, daemon.appliance_pools, daemon.discovery, daemon.release_service):
        part.log_event = daemon.log_event
    node = NodeHarness(daemon, daemon.start_up(), discovery, release_service, list(appliances), events)
    try:
        yield node
    finally:
        daemon.front.close()
        for server in (discovery, release_service, *appliances):
            server.stop()
