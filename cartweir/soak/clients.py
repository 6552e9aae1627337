"""Clients of a run, and what they recorded of each request."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..hosting.clock import monotonic

VIEW, ORDER, ISSUE = "view", "order", "issue"  # operations: idempotent, keyed, side-effecting
OPERATION_SHARES = {VIEW: 0.7, ORDER: 0.2, ISSUE: 0.1}
TIME_LIMITS = (300, 1_000, 3_000)  # milliseconds
EXTRA_WAIT = 1.5  # seconds that a client waits beyond its time limit, to see what still comes
KEYS = 200  # route keys
BODY = b"body"
UNREAD = b"\r\n" * 50_000  # more than an agent reads at once: what some leave behind as they close
UNREAD_SHARE = 0.5  # of the clients that leave
MAX_REPEAT_DELAY = 0.3  # seconds
REPEAT_SHARE = 0.5  # of the clients that leave, which ask again under the same id, though they must not

# endings of a request
ANSWERED = "answered"
ENDED = "ended"  # the agent's end of the connection came before a whole answer
SILENT = "silent"  # nothing came
LEFT = "left"  # the client closed its connection
UNSENT = "unsent"  # it could not be written to a connection that the agent's machine accepted


@dataclass(eq=False)
class RequestRecord:
    """One request as its client saw it.

    Attributes:
        id: Its id.
        agent: The agent's number.
        life: Which process of this agent it was sent to, counted from 0.
        operation: Its operation.
        time_limit: Its time limit in microseconds.
        key: Its route key.
        written_at: When its last byte was written, in microseconds of the monotonic clock.
        reused: The connection had carried an answer before.
        ending: One of the endings above.
        ended_at: When it ended so.
        status: Status of the answer; 0 for none.
        body: Body of the answer.
        retry_after: Whether a refusal said when to come back.
        repeated: Its id came before, and that client had left.
    """

    id: str
    agent: int
    life: int
    operation: str
    time_limit: int
    written_at: int
    reused: bool
    ending: str = SILENT
    ended_at: int = 0
    status: int = 0
    body: bytes = b""
    retry_after: bool = False
    repeated: bool = False
    key: str = ""


@dataclass(eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False


@dataclass(eq=False)
class Front:
    """Where the clients of one agent connect.

    Attributes:
        agent: The agent's number.
        port: The agent's port.
        life: The number of its present process.
        open: New connections may be made.
        idle: Connections that carry nothing.
    """

    agent: int
    port: int
    life: int = 0
    open: bool = False
    idle: list[_Connection] = field(default_factory=list)

    def next_life(self) -> None:
        """Another process runs; connections to the one before are of no use."""
        self.close_idle()
        self.life += 1

    def close_idle(self) -> None:
        """Closes the connections that carry nothing."""
        for connection in self.idle:
            connection.writer.close()
        self.idle = []

    async def connection(self) -> _Connection | None:
        """Returns a connection for a request; None where there is none and no new one may be made."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.writer.close()
        if not self.open:
            return None
        try:
            return _Connection(*await asyncio.open_connection("127.0.0.1", self.port))
        except OSError:
            return None


@dataclass(eq=False)
class Clients:
    """All clients of a run: requests come at random times, at every agent.

    Attributes:
        fronts: The agents' fronts.
        rate: Requests a second at each agent.
        seed: All chance comes from it.
        leaving: Share of the requests whose clients leave early.
        crowd: Tells by how much more requests come at present.
        records: Every request so far.
    """

    fronts: list[Front]
    rate: float
    seed: int
    leaving: float = 0.0
    crowd: Callable[[], float] = lambda: 1.0
    records: list[RequestRecord] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._open: set[asyncio.Task] = set()

    async def run(self, seconds: float) -> None:
        """Sends requests to all agents for so long, and waits for what is open."""
        await asyncio.gather(*(self._feed(front, seconds) for front in self.fronts))
        if self._open:
            await asyncio.wait(self._open)

    async def _feed(self, front: Front, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        now, end = loop.time(), loop.time() + seconds
        while now < end:
            now += self._random.expovariate(self.rate * self.crowd())
            await asyncio.sleep(max(0.0, now - loop.time()))
            task = asyncio.ensure_future(self._request(front))
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def _request(self, front: Front) -> None:
        life, connection = front.life, await front.connection()
        if connection is None:
            return
        operation = self._random.choices(list(OPERATION_SHARES), list(OPERATION_SHARES.values()))[0]
        record = RequestRecord(
            f"{self._random.getrandbits(64):016x}",
            front.agent,
            life,
            operation,
            self._random.choice(TIME_LIMITS) * 1000,
            0,
            connection.used,
            key=f"{self._random.randrange(KEYS):x}",
        )
        await self._exchange(front, connection, record, self._random.random() < self.leaving)
        if record.ending == LEFT and operation != VIEW and self._random.random() < REPEAT_SHARE:
            await self._repeat(front, record)

    async def _repeat(self, front: Front, left: RequestRecord) -> None:
        """Asks again under the id of a client that has left, a little later."""
        await asyncio.sleep(self._random.uniform(0, MAX_REPEAT_DELAY))
        life, connection = front.life, await front.connection()
        if connection is not None and life == left.life:
            record = replace(left, written_at=0, reused=connection.used, ending=SILENT, repeated=True)
            await self._exchange(front, connection, record, leaves=False)

    async def _exchange(
        self, front: Front, connection: _Connection, record: RequestRecord, leaves: bool
    ) -> None:
        """Sends a request and records how it ends; leaves: its client closes before its time is up."""
        patience = record.time_limit / 1e6 + EXTRA_WAIT
        if leaves:
            patience = self._random.uniform(0, record.time_limit / 1e6)
        try:
            connection.writer.write(self._encode(record))
            record.written_at = monotonic()
            async with asyncio.timeout(patience):
                keep = await _read_answer(connection.reader, record)
            record.ending = ANSWERED
        except TimeoutError:
            record.ending, keep = LEFT if leaves else SILENT, False
        except (OSError, asyncio.IncompleteReadError, ValueError):
            record.ending, keep = ENDED, False
        record.ended_at = monotonic()
        self.records.append(record)
        connection.used = True
        if keep and record.life == front.life:
            front.idle.append(connection)
        elif record.ending == LEFT and self._random.random() < UNREAD_SHARE:
            connection.writer.write(UNREAD)
            connection.writer.transport.abort()
        else:
            connection.writer.close()

    def _encode(self, record: RequestRecord) -> bytes:
        method = "GET" if record.operation == VIEW else "POST"
        lines = [
            f"{method} /{record.operation}/x?y=1 HTTP/1.1",
            "Host: backend.local",
            f"X-Request-ID: {record.id}",
            f"X-Priority-Class: {record.operation}",
            "X-Tenant-Id: acme",
            f"X-Route-Key: {record.key}",
            f"X-Timeout: {record.time_limit // 1000}m",
        ]
        if record.operation != VIEW:
            lines += [f"Idempotency-Key: key-{record.id}", f"Content-Length: {len(BODY)}"]
        body = b"" if record.operation == VIEW else BODY
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def _read_answer(reader: asyncio.StreamReader, record: RequestRecord) -> bool:
    """Reads an answer into the record; returns whether the connection goes on."""
    line, *fields = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, value in (field.split(": ", 1) for field in fields if field)}
    record.body = await reader.readexactly(int(headers.get("content-length", 0)))
    record.status = int(line.split(" ")[1])
    record.retry_after = "retry-after" in headers
    return headers.get("connection", "keep-alive").lower() != "close"


async def stop_amid_request(front: Front, give_up: float) -> float | None:
    """Sends half a request and waits for the agent's error or close.

    Returns:
        The seconds until then; None where no connection could be made.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
    except OSError:
        return None
    with contextlib.suppress(OSError, TimeoutError):
        writer.write(b"GET /view/x HTTP/1.1\r\nHost: backend")
        async with asyncio.timeout(give_up):
            await reader.read()
    writer.close()
    return loop.time() - began
