"""A simulated discovery on virtual time: the list, its changes, and calls handled in turn.

Streams are in memory and replace `cartweir.node.discovery.connect`.
"""

from __future__ import annotations

import asyncio
import errno
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from announcement_clock import HANGUP_LIMIT, SILENCE_LIMIT, AgentProcess, Deadline, Delivery, Trace
from tornado.iostream import StreamClosedError
from virtual_time import VirtualLoop

CONNECT_TIME = 0.001
HEARTBEAT_INTERVAL = 2.0  # between empty lines on a watch
MAX_QUEUE_TIME = 2.0  # of a call for its turn
CALL_LINES = 30  # cost of a call, besides one line for each entry of its response
OLD_ADDRESS_STAYS = 1.5  # after SIGHUP
CROWD_SPREAD = 2.0  # seconds over which the crowd's first calls are spread
CROWD_RETRY = 0.5, 2.0  # seconds after which a refused caller of the crowd retries
PIECE_INTERVAL = 0.7  # seconds between two pieces of an object that is written slowly
RESET, GO_ON, STALL, CORRUPT = "reset", "go on", "stall", "spoil"


class MemoryStream:
    """The agent's end of a connection, with the methods of Tornado's IOStream that the client uses."""

    def __init__(
        self, loop: VirtualLoop, on_data: Callable[[bytes], None], on_close: Callable[[], None]
    ) -> None:
        self._loop, self._on_data, self._on_close = loop, on_data, on_close
        self._buffer = bytearray()
        self._closed = self._ended = False
        self._waiter: asyncio.Future[None] | None = None

    # ---- the agent's side ----
    def write(self, data: bytes) -> asyncio.Future[None]:
        if self.closed():
            raise StreamClosedError()
        self._loop.call_soon(self._on_data, data)
        done = self._loop.create_future()
        done.set_result(None)
        return done

    async def read_bytes(self, most: int, partial: bool = False) -> bytes:
        while not self._buffer:
            if self._closed or self._ended:
                raise StreamClosedError()
            self._waiter = self._loop.create_future()
            await self._waiter
        data = bytes(self._buffer[:most])
        del self._buffer[:most]
        return data

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._wake()
            self._on_close()

    def closed(self) -> bool:
        return self._closed or (self._ended and not self._buffer)

    # ---- discovery's side ----
    def deliver(self, data: bytes) -> None:
        if not self._closed and not self._ended:
            self._buffer += data
            self._wake()

    def end(self) -> None:
        self._ended = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


@dataclass(slots=True)
class Tamper:
    """What happens to the next object written to the agent; part: where, as a fraction of its bytes."""

    part: float
    then: str
    until: float


@dataclass(eq=False)
class Connection:
    number: int
    process: AgentProcess
    address: str
    stream: MemoryStream | None = None
    watching: bool = False
    silent: bool = False
    corrupted: bool = False  # unreadable bytes were sent: nothing after them counts as delivered
    open: bool = True
    busy_until: float = 0.0  # an object is being written in pieces
    heartbeat_timer: asyncio.TimerHandle | None = None
    pending: deque[tuple[bytes, int, int]] = field(
        default_factory=deque
    )  # data, and the range of changes that it covers


@dataclass(frozen=True, slots=True)
class Pace:
    rate: float  # lines per second
    lateness: float  # of changes on a watch, in seconds
    indented: bool
    changes_kept: int  # number of latest changes from which a watch may start
    reset_when_late: bool  # a call that waits too long is reset; otherwise it is answered 503


@dataclass
class VirtualDiscovery:
    loop: VirtualLoop
    trace: Trace
    pace: Pace
    chance: random.Random
    entries: dict[str, dict[str, Any]]
    process: AgentProcess | None = None  # the current agent process
    address: str = "discovery:1"
    index: int = 1
    up: bool = True
    hangs: bool = False  # while down, connections are not even refused
    cut_off: bool = False  # it runs, and nothing gets through between it and the agent
    resets_left: int = 0  # connections that are reset at once after a cut
    tampers: list[Tamper] = field(default_factory=list)
    writing_time: float = 0.0  # of the next object, which is written in pieces; 0: it is written at once
    history: list[tuple[int, str]] = field(default_factory=list)
    connections: list[Connection] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    connected: int = 0  # connections so far
    _free_at: float = 0.0  # when all calls accepted so far will be handled
    _old_addresses: set[str] = field(default_factory=set)

    def log_line(self, text: str) -> None:
        self.log.append(f"{self.loop.time():.3f} {text}")

    # ---- what a scenario does ----
    def change(self, server: str, status: str) -> None:
        if self.entries[server]["status"] == status:
            return
        self.index += 1
        self.entries[server] = {**self.entries[server], "status": status}
        self.history.append((self.index, server))
        self.trace.note_status(server, status == "up", self.loop.time(), self.index)
        self.log_line(f"change {self.index}: {server} {status}")
        change = self._encode(False, [self.entries[server]], self.index)
        for connection in self.connections:
            if connection.watching:
                connection.pending.append((change, self.index - 1, self.index))
                self.loop.call_later(self.pace.lateness, self._write_next, connection)

    def go_down(self, hangs: bool) -> None:
        self.log_line("down")
        self.up, self.hangs = False, hangs
        self.trace.outages.append([self.loop.time(), float("inf")])
        for connection in list(self.connections):
            self._drop(connection)

    def come_up(self) -> None:
        self.log_line("up")
        self.up, self._free_at = True, self.loop.time()
        self.trace.outages[-1][1] = self.loop.time()

    def fall_silent(self) -> None:
        for connection in self.connections:
            if connection.watching:
                self._fall_silent(connection)

    def cut(self) -> None:
        """Cuts the agent off: watches fall silent, and new connections never come up."""
        self.log_line("the agent is cut off")
        self.cut_off = True
        self.fall_silent()

    def heal(self, resets: int) -> None:
        """Ends the cut; so many new connections are reset before one comes up."""
        self.log_line("the cut ends")
        self.cut_off, self.resets_left = False, resets

    def crowd(self, seconds: float) -> None:
        """Makes so many other callers call at once that handling them takes this long."""
        calls = round(seconds * self.pace.rate / self._lines(len(self.entries)))
        self.log_line(f"{calls} others call")
        for _ in range(calls):
            self.loop.call_later(self.chance.random() * CROWD_SPREAD, self._other_caller_calls)

    def keep_calls_waiting(self, seconds: float) -> None:
        """Has so many others call for so long that no further call gets its turn."""
        if seconds:
            self._free_at = max(self._free_at, self.loop.time() + seconds + MAX_QUEUE_TIME)

    def move(self, address: str) -> None:
        """Moves discovery to another address, as the agent gets SIGHUP."""
        old, self.address = self.address, address
        self._old_addresses.add(old)
        self.loop.call_later(OLD_ADDRESS_STAYS, self._leave, old)
        self.log_line(f"SIGHUP: {address}")
        self.trace.deadlines.append(Deadline(self.process, self.loop.time(), self.connected, HANGUP_LIMIT))

    def snapshot(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": self._listed()}

    # ---- connections ----
    async def connect(self, host: str, port: int, timeout: int) -> MemoryStream:
        """Replaces cartweir.hosting.tcp.connect."""
        address = f"{host}:{port}"
        process = self.process
        await asyncio.sleep(CONNECT_TIME)
        if self.cut_off or (not self.up and self.hangs):
            await asyncio.sleep(timeout / 1e6)
            raise OSError(errno.ETIMEDOUT, "no connection in time")
        if self.resets_left:
            self.resets_left -= 1
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if not self.up or not self._listens_at(address):
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        self.connected += 1
        connection = Connection(self.connected, process, address)
        connection.stream = MemoryStream(
            self.loop,
            lambda data: self._handle_call(connection, data),
            lambda: self._closed_by_agent(connection),
        )
        self.connections.append(connection)
        return connection.stream

    def _listens_at(self, address: str) -> bool:
        return address == self.address or address in self._old_addresses

    def _leave(self, address: str) -> None:
        self._old_addresses.discard(address)
        for connection in list(self.connections):
            if not self._listens_at(connection.address):
                self._drop(connection)

    def _closed_by_agent(self, connection: Connection) -> None:
        if connection.open:
            self.log_line(f"connection {connection.number} closed by the agent")
            self._forget(connection)

    def _drop(self, connection: Connection) -> None:
        if connection.open:
            self.log_line(f"connection {connection.number} reset")
            connection.stream.end()
            self._forget(connection)

    def _forget(self, connection: Connection) -> None:
        connection.open = connection.watching = False
        self.connections.remove(connection)
        if connection.heartbeat_timer is not None:
            connection.heartbeat_timer.cancel()

    # ---- calls, handled in turn ----
    def _lines(self, entries: int) -> int:
        return CALL_LINES + entries

    def _enqueue(self, lines: int, answer: Callable[[], None], too_late: Callable[[], None]) -> None:
        now = self.loop.time()
        start = max(now, self._free_at)
        if start - now > MAX_QUEUE_TIME:
            self.loop.call_later(MAX_QUEUE_TIME, too_late)
        else:
            self._free_at = start + lines / self.pace.rate
            self.loop.call_at(self._free_at, answer)

    def _other_caller_calls(self) -> None:
        if not self.up:
            self._other_caller_failed()
        else:
            self._enqueue(self._lines(len(self.entries)), lambda: None, self._other_caller_failed)

    def _other_caller_failed(self) -> None:
        self.loop.call_later(self.chance.uniform(*CROWD_RETRY), self._other_caller_calls)

    def _handle_call(self, connection: Connection, data: bytes) -> None:
        if not connection.open:
            return
        target = data.split(b" ", 2)[1].decode()
        path, _, query = target.partition("?")
        if path != "/api/targets":
            raise AssertionError(f"asked for {target}")
        options = dict(pair.split("=") for pair in query.split("&") if pair)
        after = int(options["from"]) if "from" in options else None
        self.log_line(f"connection {connection.number} asks {target}")
        entries = len(self._changes(after) or self.entries)
        self._enqueue(
            self._lines(entries),
            lambda: self._answer(connection, "watch" in options, after),
            lambda: self._refuse(connection),
        )

    def _refuse(self, connection: Connection) -> None:
        if not connection.open:
            return
        if not self.pace.reset_when_late:
            self.log_line(f"connection {connection.number} is answered 503")
            connection.stream.deliver(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        self._drop(connection)

    # ---- what is written ----
    def _listed(self) -> list[dict[str, Any]]:
        return [entry for entry in self.entries.values() if entry["status"] != "removed"]

    def _changes(self, after: int | None) -> list[dict[str, Any]] | None:
        """Returns the changes above a version; None where only the whole list is possible."""
        if after is None or after > self.index or self.index - after > self.pace.changes_kept:
            return None
        return [
            self.entries[name]
            for name in dict.fromkeys(name for index, name in self.history if index > after)
        ]

    def _encode(self, whole: bool, entries: list[dict[str, Any]], index: int) -> bytes:
        data = {"index": index, "snapshot": whole, "endpoints": entries}
        return json.dumps(data, indent=2 if self.pace.indented else None).encode() + b"\n"

    def _answer(self, connection: Connection, watch: bool, after: int | None) -> None:
        if not connection.open:
            return
        changes = self._changes(after) if watch else None
        data = (
            self._encode(True, self._listed(), self.index)
            if changes is None
            else self._encode(False, changes, self.index)
        )
        covered = 0 if changes is None else after
        if watch:
            connection.watching = True
            connection.stream.deliver(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write_news(connection, data, covered, self.index)
        else:
            self._write_list(connection, data)

    def _write_list(self, connection: Connection, data: bytes) -> None:
        tamper, sent = self._tampered(data)
        connection.stream.deliver(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + sent)
        if tamper is None:
            self._note_delivery(connection, 0, self.index)
        self._drop(connection)

    def _write_next(self, connection: Connection) -> None:
        """Writes the oldest pending data: timers of the same time fire in any order."""
        if connection.busy_until > self.loop.time():
            self.loop.call_at(connection.busy_until, self._write_next, connection)
        else:
            self._write_news(connection, *connection.pending.popleft())

    def _write_in_pieces(self, connection: Connection, data: bytes, after: int, index: int) -> None:
        count = int(self.writing_time / PIECE_INTERVAL) + 2
        interval, self.writing_time = self.writing_time / (count - 1), 0.0
        size = -(-len(data) // count)
        for number in range(count):
            piece = data[number * size : (number + 1) * size]
            self.loop.call_later(number * interval, self._write_piece, connection, piece)
        connection.busy_until = self.loop.time() + count * interval
        self.log_line(f"connection {connection.number}: an object in {count} pieces")
        self.loop.call_later((count - 1) * interval, self._pieces_written, connection, after, index)

    def _write_piece(self, connection: Connection, piece: bytes) -> None:
        if connection.open and not connection.silent and piece:
            connection.stream.deliver(b"%x\r\n%b\r\n" % (len(piece), piece))

    def _pieces_written(self, connection: Connection, after: int, index: int) -> None:
        if connection.open and not connection.silent and not connection.corrupted:
            self._note_delivery(connection, after, index)
            self._schedule_heartbeat(connection)

    def _write_news(self, connection: Connection, data: bytes, after: int, index: int) -> None:
        if not connection.open or connection.silent:
            return
        if self.writing_time:
            self._write_in_pieces(connection, data, after, index)
            return
        tamper, sent = self._tampered(data)
        connection.stream.deliver(b"%x\r\n%b\r\n" % (len(sent), sent))
        connection.corrupted = connection.corrupted or tamper is not None
        if not connection.corrupted:
            self._note_delivery(connection, after, index)
        if tamper is not None:
            self.log_line(
                f"connection {connection.number}: {tamper.then} after {len(sent)} of {len(data)} bytes"
            )
        if tamper is not None and tamper.then == RESET:
            self._drop(connection)
            return
        if tamper is not None and tamper.then == STALL:
            self._fall_silent(connection)
            return
        self._schedule_heartbeat(connection)

    def _tampered(self, data: bytes) -> tuple[Tamper | None, bytes]:
        self.tampers = [tamper for tamper in self.tampers if tamper.until > self.loop.time()]
        if not self.tampers:
            return None, data
        tamper = self.tampers.pop(0)
        cut = max(1, min(int(len(data) * tamper.part), len(data) - 2))
        return tamper, data[:cut] + b"\x00" + data[cut + 1 :] if tamper.then == CORRUPT else data[:cut]

    def _schedule_heartbeat(self, connection: Connection) -> None:
        if connection.heartbeat_timer is not None:
            connection.heartbeat_timer.cancel()
        connection.heartbeat_timer = self.loop.call_later(
            HEARTBEAT_INTERVAL, self._send_heartbeat, connection
        )

    def _send_heartbeat(self, connection: Connection) -> None:
        if connection.open and not connection.silent:
            if connection.busy_until <= self.loop.time():
                connection.stream.deliver(b"1\r\n\n\r\n")
            self._schedule_heartbeat(connection)

    def _fall_silent(self, connection: Connection) -> None:
        connection.silent = True
        self.log_line(f"connection {connection.number} falls silent")
        self.trace.deadlines.append(
            Deadline(connection.process, self.loop.time(), connection.number, SILENCE_LIMIT)
        )

    def _note_delivery(self, connection: Connection, after: int, index: int) -> None:
        self.trace.deliveries.append(
            Delivery(connection.process, self.loop.time(), connection.number, after, index)
        )
        self.log_line(f"connection {connection.number} receives {after}..{index}")
