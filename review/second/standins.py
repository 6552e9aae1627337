"""Stand-ins of the platform for the cases 6 to 10: appliances, discovery, the release service, clients.

They run in the process of the test, on loopback addresses and the real clock. Nothing of the project is
imported: the agent under test is a process of its own, started with the line `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case

# Seconds.
HEARTBEAT = 2.0  # between empty lines on a watch
PING = 1.0  # between signs of life of the release service
QUEUE_TIME = 2.0  # after which a crowded discovery fails a call
OLD_ADDRESS_STAYS = 1.5  # after SIGHUP the old addresses close their open connections
READY_WITHIN = 20.0
LATE_ANSWER = 0.5  # past its time limit a request may still get its answer

MAX_HEAD = 64 * 1024
PORTS = 20_000, 32_000
PORT_TRIES = 100


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, as lines with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, what: str, **facts: Any) -> float:
        """Writes a line; returns its time."""
        at = self.now()
        facts = {
            name: value if isinstance(value, (int, float)) else _shown(value) for name, value in facts.items()
        }
        self._file.write(f"{at:.3f} {what}{''.join(f' {name}={value}' for name, value in facts.items())}\n")
        return at

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def _shown(value: Any) -> str:
    """Returns a value as one word where it is one, else in quotes."""
    text = value.decode("latin-1") if isinstance(value, bytes) else str(value)
    return text if text and not set(text) & set(" \t\r\n=\"'\\") else repr(text)


@dataclass
class Message:
    """A request or an answer: its first line, headers by lower-case name, body, and the whole head."""

    line: str
    headers: dict[str, str]
    body: bytes = b""
    head: str = ""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with Content-Length; raises IncompleteReadError at the end."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    head = text.split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(head[0], headers, body, text)


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Returns an answer as bytes."""
    lines = [f"HTTP/1.1 {status} Status", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def unused_address() -> str:
    """Returns a free loopback address, below the ports that outgoing connections take.

    Raises:
        CannotRunError: None was found.
    """
    for _ in range(PORT_TRIES):
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", random.randrange(*PORTS)))
            return f"127.0.0.1:{sock.getsockname()[1]}"
    raise CannotRunError("no free port was found")


def split(address: str) -> tuple[str, int]:
    """Returns host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Server:
    """A server on a free loopback port that runs `serve` for each connection."""

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self) -> Any:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0, limit=MAX_HEAD)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        raise NotImplementedError

    def stop_listening(self) -> None:
        """Accepts no new connection."""
        self._server.close()

    def stop(self) -> None:
        """Ends all connections."""
        self.stop_listening()
        for task in list(self._tasks):
            task.cancel()


@dataclass
class Attempt:
    """One attempt that an appliance was sent."""

    at: float
    server: str
    build: int
    request: Message

    @property
    def id(self) -> str:
        """The id of the client's request."""
        return self.request.headers.get("x-request-id", "")


class Appliance(Server):
    """Answers each request after some work, unless it is told that it drains."""

    def __init__(self, name: str, record: Record, build: int = 41, work: float = 0.02) -> None:
        super().__init__()
        self.name, self.record, self.build, self.work = name, record, build, work
        self.draining = False
        self.attempts: list[Attempt] = []
        self.script: Callable[[Message], Awaitable[bytes | None]] | None = None

    def entry(self, **more: Any) -> dict[str, Any]:
        """Returns its entry in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "a",
            "type": "m",
            "group": 1,
            "status": "up",
            "weight": 1.0,
            "since_ms": 0,
            "release": self.build,
            **more,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, a request at a time."""
        while True:
            request = await read_message(reader)
            if "/-/" in request.line:
                writer.write(answer(200))
                continue
            at = self.record.now()
            self.attempts.append(Attempt(at, self.name, self.build, request))
            request_id = request.headers.get("x-request-id", "-")
            self.record.write("attempt", server=self.name, build=self.build, id=request_id, head=request.head)
            if self.script is not None:
                data = await self.script(request)
                if data is None:
                    return
            elif self.draining:
                data = answer(503, b"", "X-Not-Processed: 1")
            else:
                await asyncio.sleep(self.work)
                data = answer(200, self.body(request))
            self.record.write("attempt_answered", server=self.name, id=request_id, bytes=data)
            writer.write(data)

    def body(self, request: Message) -> bytes:
        """Returns the one right body of an answer to this request."""
        return b"answer to " + request.headers.get("x-request-id", "-").encode()


class Discovery(Server):
    """One list of appliances, at one address or, after `move`, another.

    Attributes:
        crowded: Calls wait for `QUEUE_TIME` and then get 503.
    """

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        super().__init__()
        self.record = record
        self.entries = {entry["name"]: entry for entry in entries}
        self.index, self.crowded, self.calls = 41, False, 0
        self._watches: set[asyncio.StreamWriter] = set()

    def document(self, whole: bool, entries: list[dict[str, Any]]) -> dict[str, Any]:
        """Returns a list or a change."""
        return {"index": self.index, "snapshot": whole, "endpoints": entries}

    def known(self) -> dict[str, Any]:
        """Returns the whole list."""
        return self.document(True, list(self.entries.values()))

    @staticmethod
    def _write(writer: asyncio.StreamWriter, text: str) -> None:
        data = text.encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one call; a watch stays open."""
        call = await read_message(reader)
        self.calls += 1
        self.record.write("discovery_call", at=self.address, line=call.line, crowded=int(self.crowded))
        if self.crowded:
            await asyncio.sleep(QUEUE_TIME)
            self.record.write("discovery_answer", at=self.address, status=503)
            writer.write(answer(503))
            return
        if "watch=1" not in call.line:
            writer.write(answer(200, json.dumps(self.known()).encode()))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write(writer, json.dumps(self.known()))
        self.record.write("discovery_answer", at=self.address, status=200, object=json.dumps(self.known()))
        self._watches.add(writer)
        try:
            while True:
                await asyncio.sleep(HEARTBEAT)
                self._write(writer, "")
        finally:
            self._watches.discard(writer)

    def change(self, name: str, **fields: Any) -> float:
        """Changes an entry, and tells the watches that stand; returns when."""
        self.index += 1
        self.entries[name] = {**self.entries[name], **fields}
        change = json.dumps(self.document(False, [self.entries[name]]))
        for writer in self._watches:
            self._write(writer, change)
        return self.record.write("change", at=self.address, watches=len(self._watches), object=change)

    async def moved(self) -> Discovery:
        """Returns this service at another address; call `retire` on the old one at SIGHUP."""
        other = Discovery(self.record, list(self.entries.values()))
        other.index = self.index
        return await other.start()

    def retire(self) -> None:
        """Accepts nothing new, and closes open connections after 1.5 s."""
        self.record.write("discovery_retires", at=self.address)
        self.stop_listening()
        asyncio.get_running_loop().call_later(OLD_ADDRESS_STAYS, self.stop)


class ReleaseService(Server):
    """Tells the state of the newest build, and takes votes."""

    def __init__(self, record: Record, state: dict[str, Any]) -> None:
        super().__init__()
        self.record, self.state, self.since = record, state, time.monotonic() - 60
        self.listeners: set[asyncio.StreamWriter] = set()

    def news(self) -> dict[str, Any]:
        """Returns the state of the newest build."""
        return {**self.state, "age_ms": round((time.monotonic() - self.since) * 1000)}

    @staticmethod
    def line(**members: Any) -> bytes:
        """Returns a line of JSON-RPC."""
        return json.dumps({"jsonrpc": "2.0", **members}).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers calls in turn."""
        pings: asyncio.Task | None = None
        try:
            while data := await reader.readline():
                call = json.loads(data)
                self.record.write("release_call", line=data)
                if call.get("method") == "listen":
                    self._send(writer, self.line(id=call["id"], result=True))
                    self._send(writer, self.line(method="news", params=self.news()))
                    self.listeners.add(writer)
                    pings = asyncio.ensure_future(self._ping(writer))
                else:
                    self._send(writer, self.line(id=call["id"], result=self.news()))
        finally:
            self.listeners.discard(writer)
            if pings is not None:
                pings.cancel()

    def _send(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        self.record.write("release_wrote", line=line)
        writer.write(line)

    async def _ping(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(PING)
            self._send(writer, self.line(method="ping"))

    def tell(self, **state: Any) -> float:
        """Changes the state, and tells the listeners; returns when."""
        self.set_state(**state)
        return self.tell_listeners(self.line(method="news", params=self.news()))

    def tell_listeners(self, line: bytes) -> float:
        """Writes a line to all listeners; returns when."""
        for writer in self.listeners:
            self._send(writer, line)
        return self.record.now()

    def set_state(self, **state: Any) -> None:
        """Changes the state without telling it."""
        if state:
            self.state, self.since = {**self.state, **state}, time.monotonic()


RELEASED = {"build": 41, "stage": 2, "phase": "live", "cap": 1.0}


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment; changes: sections whose members are replaced."""
    base: dict[str, Any] = {
        "balancers": 1,
        "me": 0,
        "zone": "a",
        "tick": 5.0,
        "registryMode": "on_request",
        "failureDomains": ["a"],
        "allowed": {
            "cancel": True,
            "connectTimeout": 250.0,
            "keepalive": 30000.0,
            "maxRetryAfter": 500.0,
            "mayDuplicate": True,
            "peers": False,
            "probing": False,
            "retryAfter": True,
            "streamsPerConn": 1,
            "tryLimit": 5,
        },
        "safety": {
            "askWithin": 10000.0,
            "coldFrom": 0.4,
            "drainGrace": 2000.0,
            "fall": 1000.0,
            "fallMultiple": 4.0,
            "graceToAnswer": 20.0,
            "warmAfter": 5000.0,
        },
        "familyInfo": {
            "ballotTtl": 6000.0,
            "callTimeout": 800.0,
            "closedStages": 0,
            "control": "by_count",
            "foundShare": 0.3,
            "leastStage": 1000.0,
            "mostShares": [0.12, 0.42, 1.0],
            "noesNeeded": 1,
            "oneWay": False,
            "per": "all",
            "repeatEvery": 4000.0,
            "span": 4000.0,
            "spareTries": 1.0,
            "steps": [0.1, 0.35, 1.0],
            "style": "parallel",
            "voteAllowance": 250.0,
            "votesToGo": 1,
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
    for section, members in changes.items():
        base[section] = {**base[section], **members} if isinstance(members, dict) else members
    return base


class Agent:
    """The agent under test: a process started with the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, discovery: Discovery, service: ReleaseService) -> None:
        self.record, self.folder = record, folder
        self.address = unused_address()
        self.log = folder / "agent.log"
        self.config = {
            "name": "n0",
            "listen": self.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "peer_listen": unused_address(),
            "peers": [],
            "settings": settings(),
            "known": discovery.known(),
            "discovery": discovery.address,
            "pipeline": {"address": service.address, "news": service.news()},
        }
        self.process: subprocess.Popen | None = None

    def write_config(self) -> None:
        """Replaces the configuration file as a whole."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.replace(self.folder / "config.json")
        self.record.write("config", json=json.dumps(self.config))

    async def start(self) -> None:
        """Starts the process, and waits until it is ready."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
        }
        with self.log.open("ab") as log:  # no signal can come between the start and what ends it
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("agent_started", pid=self.process.pid, run=run)
        began = time.monotonic()
        while time.monotonic() - began < READY_WITHIN:
            if self.process.poll() is not None:
                raise CannotRunError(f"the agent ended: {self.log.read_text(encoding='utf-8')[-500:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*split(self.address))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                ready = (await read_message(reader)).status == 200  # noqa: PLR2004 - HTTP's OK
                writer.close()
                if ready:
                    self.record.write("agent_ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the agent was not ready in time")

    def signal(self, number: signal.Signals) -> float:
        """Sends a signal; returns when."""
        self.process.send_signal(number)
        return self.record.write("signal", name=number.name)

    def stop(self) -> None:
        """Ends the process, and keeps its log in the record."""
        if self.process is None:
            return
        by_itself = self.process.poll() is not None
        self.process.kill()
        code = self.process.wait()
        self.record.write("agent_ended", pid=self.process.pid, by_itself=int(by_itself), code=code)
        for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines():
            self.record.write("agent_log", line=line)


@dataclass
class Asked:
    """One request of a client, and what came of it.

    Attributes:
        id: Its id.
        at: When its last byte was written.
        limit: Its time limit in seconds.
        status: The status of the answer; 0: none came.
        ended: When the answer was whole, or the wait for it ended.
        body: The answer's body.
        failure: Why there was no answer.
    """

    id: str
    at: float
    limit: float
    status: int = 0
    ended: float = 0.0
    body: bytes = b""
    failure: str = ""


@dataclass
class Clients:
    """Sound clients: one request at a time on a connection, connections kept, more opened at need.

    A request that crosses the end of a kept connection is sent once more, on a new one.
    """

    record: Record
    address: str
    asked: list[Asked] = field(default_factory=list)
    _idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    _count: int = 0

    def request(self, operation: str, limit: float, key: str = "", body: bytes = b"") -> tuple[str, bytes]:
        """Returns a new id and a request."""
        self._count += 1
        request_id = f"{self._count:08x}{os.urandom(4).hex()}"
        lines = [
            f"{'GET' if operation == 'view' else 'POST'} /{operation}/x HTTP/1.1",
            "Host: backend.local",
            f"X-Request-ID: {request_id}",
            f"X-Priority-Class: {operation}",
            "X-Tenant-Id: acme",
            f"X-Timeout: {limit * 1000:.0f}m",
        ]
        if key:
            lines.append(f"X-Route-Key: {key}")
        if operation != "view":
            lines += [f"Idempotency-Key: {os.urandom(16).hex()}", f"Content-Length: {len(body)}"]
        return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def ask(
        self, operation: str = "view", limit: float = 3.0, key: str = "", body: bytes = b""
    ) -> Asked:
        """Sends one request, and waits for its answer."""
        request_id, data = self.request(operation, limit, key, body)
        asked = Asked(request_id, self.record.now(), limit)
        self.asked.append(asked)
        try:
            async with asyncio.timeout(limit + LATE_ANSWER):
                message = await self._exchange(data, asked)
                asked.status, asked.body = message.status, message.body
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            asked.failure = type(error).__name__
        asked.ended = self.record.write(
            "answer", id=request_id, status=asked.status, body=asked.body, failure=asked.failure or "-"
        )
        return asked

    async def _exchange(self, data: bytes, asked: Asked) -> Message:
        while self._idle:
            reader, writer = self._idle.pop()
            if reader.at_eof():
                writer.close()
                continue
            try:
                return await self._exchange_on(reader, writer, data, asked)
            except (OSError, asyncio.IncompleteReadError) as error:
                writer.close()
                if getattr(error, "partial", b""):
                    raise
                self.record.write("crossed", id=asked.id)
                break
        reader, writer = await asyncio.open_connection(*split(self.address))
        return await self._exchange_on(reader, writer, data, asked)

    async def _exchange_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes, asked: Asked
    ) -> Message:
        try:
            writer.write(data)
            head = data.partition(b"\r\n\r\n")[0]
            asked.at = self.record.write("request", id=asked.id, bytes=len(data), head=head)
            message = await read_message(reader)
        except asyncio.CancelledError:  # the client has waited for long enough, and goes
            writer.close()
            raise
        if message.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        return message

    async def load(self, rate: float, seconds: float, **more: Any) -> None:
        """Asks at a rate for some time, and waits for all answers."""
        began, tasks = time.monotonic(), []
        while (passed := time.monotonic() - began) < seconds:
            while len(tasks) < passed * rate:
                tasks.append(asyncio.ensure_future(self.ask(**more)))
            await asyncio.sleep(0.2 / rate)
        await asyncio.gather(*tasks)

    def close(self) -> None:
        """Closes all connections."""
        for _, writer in self._idle:
            writer.close()


def late_attempts(
    record: Record, leaving: Sequence[Appliance], allowed_until: float, since: float
) -> str | None:
    """Returns what broke the rule on drains, or None.

    Args:
        record: Gets the bound, and each attempt after it.
        leaving: Servers that drain.
        allowed_until: From then on they may get nothing new.
        since: The time from which the result counts.
    """
    record.write("none_allowed_after", time=round(allowed_until, 3))
    attempts = sorted(
        (attempt.at, server.name, attempt.id)
        for server in leaving
        for attempt in server.attempts
        if attempt.at > allowed_until
    )
    for at, name, request_id in attempts:
        record.write("too_late", at=round(at, 3), server=name, id=request_id)
    late = [at for at, _, _ in attempts]
    if not late:
        return None
    return (
        f"{len(late)} attempts were sent to draining servers, {late[0] - since:.2f} to "
        f"{late[-1] - since:.2f} s; none is allowed after {allowed_until - since:.2f} s"
    )


def play(record_file: Path, case: Callable[[Record, Path, bool], Coroutine[Any, Any, str | None]]) -> None:
    """Plays a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    Args:
        record_file: Where the record goes.
        case: Returns what broke the rule, or None; it is told whether the disruption is wanted.
    """
    record = Record(record_file)
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(_ended_by_signals(case(record, scratch, trouble)))
        verdict = RULE_HELD if broken is None else RULE_BROKEN
        text = "the rule held" if broken is None else f"the rule was broken: {broken}"
    except asyncio.CancelledError:
        verdict, text = COULD_NOT_RUN, "the case was ended by a signal"
    except Exception as error:  # whatever it is, it says nothing about the rule
        verdict, text = COULD_NOT_RUN, f"the case could not run: {error!r}"
    record.write("verdict", trouble=int(trouble), code=verdict, text=text)
    record.close()
    shutil.rmtree(scratch, ignore_errors=True)
    print(text)
    sys.exit(verdict)


async def _ended_by_signals(case: Coroutine[Any, Any, str | None]) -> str | None:
    """Runs a case; a signal ends it in order, so that it ends the processes that it has started."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await case
