"""The platform's side of the node, scripted, on loopback: appliances, discovery, the desk and clients as bare sockets
whose every byte a test decides."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
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
    """Accepts, notes what comes, and does as its script says."""

    def __init__(self, serve: Serve) -> None:
        self.serve, self.accepted, self.writers = serve, 0, []
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> Server:
        self.server = await asyncio.start_server(self._accepted, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
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
    """First line, headers by small names, body. Raises IncompleteReadError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict((line.split(": ", 1)[0].lower(), line.split(": ", 1)[1]) for line in head[1:] if line)
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


def good(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Appliance(Server):
    """Answers each request with what `script` makes of it: bytes, or None to close the connection."""

    def __init__(self, script: Callable[[str, dict[str, str], bytes], bytes | None] | None = None) -> None:
        super().__init__(self._serve)
        self.script = script or (
            lambda line, headers, body: good(b"made for " + headers["x-request-id"].encode())
        )
        self.requests: list[tuple[str, dict[str, str], bytes]] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_request(reader)
            self.requests.append(request)
            said = self.script(*request)
            if said is None:
                return
            writer.write(said)


class Held(Appliance):
    """Answers nothing until it may; `requests` are the ids that have come, in their order."""

    def __init__(self) -> None:
        super().__init__()
        self.go = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, headers, _ = await read_request(reader)
            self.requests.append(headers["x-request-id"])
            await self.go.wait()
            writer.write(good(b"late"))

    async def got(self, count: int) -> None:
        while len(self.requests) < count:
            await asyncio.sleep(0.005)


class Discovery(Server):
    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        super().__init__(self._serve)
        self.endpoints, self.index, self.asked, self.watches = endpoints, 1, [], []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, _, _ = await read_request(reader)
        self.asked.append(line)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._say(writer, True, self.endpoints)
        self.watches.append(writer)
        await reader.read()

    def _say(self, writer: asyncio.StreamWriter, whole: bool, endpoints: list[dict[str, Any]]) -> None:
        line = json.dumps({"index": self.index, "snapshot": whole, "endpoints": endpoints}).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def tell(self, *endpoints: dict[str, Any]) -> None:
        self.index += 1
        for writer in self.watches:
            self._say(writer, False, list(endpoints))


class Desk(Server):
    """news: what a listener is told, line by line; vote: the answer's bytes to a call, or None to close."""

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
                for said in self.news:
                    writer.write(said)
            else:
                self.votes.append(call["params"])
                if (said := self.vote(call)) is None:
                    return
                writer.write(said)

    def tell(self, method: str, **told: Any) -> None:
        for writer in self.listeners:
            writer.write(json.dumps({"jsonrpc": "2.0", "method": method, "params": told}).encode() + b"\n")


class Client:
    """One connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self._count = reader, writer, 0

    async def say(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        self.writer.write(data)
        return await self.hear()

    async def hear(self) -> tuple[int, dict[str, str], bytes]:
        line, headers, body = await read_request(self.reader)
        return int(line.split(" ")[1]), headers, body

    async def ended(self) -> bytes:
        """What comes until the node ends the connection."""
        with contextlib.suppress(ConnectionResetError):
            return await self.reader.read()
        return b""


def ask(ident: str, operation: str = "view", **headers: str) -> bytes:
    """A usual client's request; headers by name with _ for -, and None to leave one out."""
    named = {
        "Host": "backend.local",
        "X-Request-ID": ident,
        "X-Priority-Class": operation,
        "X-Tenant-Id": "acme",
        "X-Timeout": "2000m",
    }
    if operation != "view":
        named["Idempotency-Key"] = f"key of {ident}".replace(" ", "-")
        named["Content-Length"] = "4"
    named.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = [f"{'GET' if operation == 'view' else 'POST'} /{operation}/x?y=1 HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in named.items() if value is not None]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (b"" if operation == "view" else b"body")


class Ground:
    def __init__(
        self,
        daemon: Daemon,
        address: str,
        discovery: Discovery,
        desk: Desk,
        appliances: list[Appliance],
        notes: list[tuple[str, dict[str, Any]]],
    ) -> None:
        self.daemon, self.address, self.discovery, self.desk = daemon, address, discovery, desk
        self.appliances, self.notes = appliances, notes

    async def client(self) -> Client:
        host, port = self.address.split(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    async def noted(self, event: str) -> dict[str, Any]:
        """Waits for a line of the node's log."""
        while True:
            for found, facts in self.notes:
                if found == event:
                    return facts
            await asyncio.sleep(0.005)


def entry(name: str, server: Server, **more: Any) -> dict[str, Any]:
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
async def ground(
    *appliances: Appliance,
    sockets: int = 256,
    news: dict[str, Any] | None = None,
    drain_grace: float = 2000.0,
    **allowed: Any,
) -> AsyncIterator[Ground]:
    for appliance in appliances:
        await appliance.start()
    endpoints = [entry(f"s{number}", appliance) for number, appliance in enumerate(appliances)]
    discovery, desk = await Discovery(endpoints).start(), await Desk().start()
    settings = {
        **SETTINGS,
        "allowed": {**SETTINGS["allowed"], **allowed},
        "safety": {**SETTINGS["safety"], "drainGrace": drain_grace},
    }
    config = Config(
        "n0",
        "127.0.0.1:0",
        discovery.address,
        7,
        sockets,
        None,
        [],
        None,
        desk.address,
        news or RELEASED,
        {"index": 1, "snapshot": True, "endpoints": endpoints},
        parse_settings(settings),
    )
    daemon = Daemon(config, lambda: config)
    notes: list[tuple[str, dict[str, Any]]] = []
    daemon.log_event = lambda event, level="info", **facts: notes.append((event, facts))
    for part in (daemon.front, daemon.links, daemon.discovery, daemon.desk):
        part.log_event = daemon.log_event
    it = Ground(daemon, daemon.start_up(), discovery, desk, list(appliances), notes)
    try:
        yield it
    finally:
        daemon.front.close()
        for server in (discovery, desk, *appliances):
            server.stop()
