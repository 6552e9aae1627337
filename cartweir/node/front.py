"""The clients' side: connections, the check of each request, and its one answer.

Clients are not trusted: what can't be understood gets an error of its own (never 429 or 503, which promise something)
and loses its connection, and connections that say nothing are the first to go when descriptors run short.
"""

from __future__ import annotations

import asyncio
import errno
import re
import socket
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any

from ..hosting.clock import Clock
from ..hosting.engine_host import EngineHost
from ..hosting.tcp import NonBlockingSocket, split_address
from ..interface import FINGERPRINTED, IDEMPOTENT, Invocation, Operation
from . import http1, protocol
from .http1 import MalformedError, Request, Requests

MS = 1000
SILENT = 2_000 * MS  # a connection without a whole request by then is closed: a usual client asks at once
SPARE = 2_000 * MS  # one that has been served may go after so long without another
YOUNG = 100 * MS  # one that has not spoken yet is given so long in any case
HALF = 500 * MS  # one with half a request is not made to go before, however short places are
LINGER = 500 * MS  # for the other side to read why, while it is still sending
MOST_LINGER = 256 * 1024
SWEEP = 100 * MS
LATE_COMERS = 600 * MS  # after the word to end, connections keep coming for a while
CROWD = 20 * MS  # between looks at whoever still waits outside then
LAST = (
    3_000 * MS,
    600 * MS,
)  # the end is forced so long after the word: the longest time limit, at most the first; and this
HELD_UP = 20 * MS  # what has been read so long after it came may come from a client that has gone meanwhile
_IDENT = re.compile(rb"[!-~]{1,128}")
EventLogger = Callable[..., None]


class Call:
    """One request that is owed an answer."""

    __slots__ = ("client", "id", "head", "body", "invocation")

    def __init__(
        self, client: Client, request_id: bytes, head: list[tuple[bytes, bytes]], request: Request
    ) -> None:
        self.client, self.id, self.body = client, request_id, request.body
        self.head = (request.method, request.target, head)  # what goes on unchanged
        self.invocation: Invocation | None = None

    def succeed(self, head: Any, body: list[bytes], tail: Any) -> None:
        self._answer(200, b"".join(body))

    def throttle(self, retry_after: int) -> None:
        self._answer(429, headers=((b"Retry-After", b"%.3f" % (retry_after / 1e6)),) if retry_after else ())

    def terminate(self) -> None:
        self._answer(500)

    def gone(self) -> bool:
        """Its client has gone, also where the loop has not had the time to tell."""
        return self.client is None or self.client.socket.at_end()

    def leave(self) -> None:
        if self.client is not None:
            self.client.close()

    def _answer(self, status: int, body: bytes = b"", headers: Any = ()) -> None:
        client, self.client = self.client, None
        if client is not None:
            client.front.calls.pop(self.id, None)
            client.call = None
            client.say(status, body, headers)


class Client:
    """One connection."""

    __slots__ = (
        "front",
        "socket",
        "reader",
        "call",
        "since",
        "served",
        "asked",
        "over",
        "stays",
        "drained",
        "unsent",
    )

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.reader = front, Requests()
        self.call: Call | None = None
        self.since = (
            front.clock.now()
        )  # connected, began to ask, last answered, or last took a part of its answer
        self.served = self.asked = False  # asked: a whole request has come, and nothing has been said to it
        self.over = False  # only the other side's reading is awaited
        self.stays, self.drained, self.unsent = True, 0, 0
        self.socket = NonBlockingSocket(front.loop, sock, self)

    # ---- in ----
    def on_data(self, data: bytes) -> None:
        if self.over:
            self.drained += len(data)
            if self.drained > MOST_LINGER:
                self.close()
            return
        began = self.reader.begun
        try:
            requests = self.reader.feed(data)
        except MalformedError as error:
            self.refuse(error.status, error.reason)
            return
        if not requests:  # an empty line behind a body is no request
            if self.reader.begun and self.call is not None:
                self.refuse(400, "a second request before the first was answered")
            elif self.reader.begun and self.served and not began:
                self.since = self.front.clock.now()
            return
        if self.call is not None or len(requests) > 1 or self.reader.begun:
            self.refuse(400, "several requests at once on a connection")
            return
        self.front.idle.pop(self, None)
        self.stays, self.asked = requests[0].stays, True
        try:
            self.front.take(self, requests[0])
        except MalformedError as error:
            self.refuse(error.status, error.reason)
        except Exception:  # a fault of ours, which the loop tells of: it is answered all the same
            if self.asked and self.call is None:
                self.refuse(500, "an error of the agent")
            elif self.call is not None:  # the fault was another's: this one is under way
                self.call.invocation = next(
                    (
                        invocation
                        for invocation, call in self.front.engine_host.calls.items()
                        if call is self.call
                    ),
                    None,
                )
            raise

    def on_lost(self, why: str) -> None:
        self.close()

    def on_sent(self) -> None:
        """Slow readers have their answers too; only then does what the connection is to come to begin."""
        self.since, self.unsent = self.front.clock.now(), 0
        if self.over:
            self.socket.shutdown_write()

    # ---- out ----
    def refuse(self, status: int, reason: str) -> None:
        """An error of the front's own, and the end of the connection."""
        self.front.refused += 1
        self.leave()
        self.stays = False
        self.say(status, reason.encode("latin-1", "replace") + b"\n")

    def say(self, status: int, body: bytes, headers: Any = ()) -> None:
        if self.socket.closed:
            return
        front = self.front
        stays = self.stays and not front.draining
        self.since, self.served, self.asked = front.clock.now(), True, False
        try:
            self.socket.write(http1.answer(status, body, headers, stays))
        except OSError:
            self.close()
            return
        if not stays:
            self.over = True
            if not self.socket.unsent:
                self.socket.shutdown_write()
        front.idle[self] = None

    def leave(self) -> None:
        """The request that is open here is not wanted any more."""
        call, self.call = self.call, None
        if call is not None:
            call.client = None
            self.front.calls.pop(call.id, None)
            if call.invocation is not None:
                self.front.engine_host.client_left(call.invocation)

    def close(self) -> None:
        if not self.socket.closed:
            self.socket.close()
            self.reader.close()
            self.front.idle.pop(self, None)
            self.front.clients.discard(self)
            self.front._open_door(True)
            self.leave()


class Front:
    """most: connections of clients at a time. ready: whether clients may be told to come."""

    def __init__(
        self,
        engine_host: EngineHost,
        clock: Clock,
        most: int,
        log_event: EventLogger,
        ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self.engine_host, self.clock, self.most, self.log_event, self.ready = (
            engine_host,
            clock,
            most,
            log_event,
            ready,
        )
        self.loop = asyncio.get_event_loop()
        self.operations: Mapping[bytes, Operation] = {
            name.encode(): o for name, o in engine_host.operations.items()
        }
        self.clients: set[Client] = set()
        self.idle: OrderedDict[Client, None] = (
            OrderedDict()
        )  # with no request open; the one idle for longest first
        self.calls: dict[bytes, Call] = {}
        self.draining = False
        self.refused = self.evicted = 0
        self.longest = max((operation.time_limit for operation in engine_host.operations.values()), default=0)
        self.ends_by = 0  # once the word has come: what is owed is answered until then
        self._listener: socket.socket | None = None
        self._door = True  # whether connections are taken in at present

    def listen(self, address: str) -> str:
        """Raises OSError."""
        host, port = split_address(address)
        self._listener = sock = socket.socket(
            socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(1024)
        self.loop.add_reader(sock.fileno(), self._accept)
        self.loop.call_later(SWEEP / 1e6, self._sweep)
        return "%s:%d" % sock.getsockname()[:2]

    # ---- connections ----
    def _accept(self, most: int = 32) -> bool:
        """A few at a time: a crowd at the door holds up nobody who is inside. When all places are taken by those who
        ask for something, the others wait outside: to take them in and send them away would lose what they ask.
        Returns whether nobody waits outside any more."""
        for _ in range(most):
            if self._listener is None:
                return True
            if len(self.clients) >= self.most and not self._evict():
                self._open_door(False)
                return False
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE) and not self._evict():
                    self._open_door(False)
                    return False
                continue  # that one has gone already
            sock.setblocking(False)
            client = Client(self, sock)
            self.clients.add(client)
            self.idle[client] = None
        return False

    def _open_door(self, wide: bool) -> None:
        if self._listener is not None and wide != self._door:
            self._door = wide
            if wide:
                self.loop.add_reader(self._listener.fileno(), self._accept)
            else:
                self.loop.remove_reader(self._listener.fileno())

    def _evict(self) -> bool:
        """Makes room: first who said nothing, or has been told why it ends; then who was served long ago; then who said
        half of something. Never one that has said something which the loop has not had the time to read, nor one that
        has not taken all of its answer."""
        now, spares = self.clock.now(), {}
        for client in self.idle:
            age, begun = now - client.since, client.reader.begun
            if client.over or not (client.served or begun):
                rank = 0 if age >= YOUNG else None
            else:
                rank = (2 if age >= HALF else None) if begun else (1 if age >= SPARE else None)
            if (
                rank is not None
                and rank not in spares
                and not client.socket.unsent
                and client.socket.nothing_to_read()
            ):
                spares[rank] = client
                if rank == 0:
                    break
        if not spares:
            return False
        self.evicted += 1
        spares[min(spares)].close()
        return True

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP / 1e6, self._sweep)  # first: whatever goes wrong below, it comes again
        now = self.clock.now()
        for client in list(self.idle):
            age, left = now - client.since, client.socket.unsent
            if left:  # it reads slowly, or not at all
                if left != client.unsent:
                    client.since, client.unsent = now, left
                elif age > self.longest + LINGER:
                    client.close()
            elif client.over:  # to close on unread bytes would reset what it has not read of its answer
                if age > SILENT or (age > LINGER and client.socket.nothing_to_read()):
                    client.close()
            elif client.reader.begun:
                if age > SILENT:
                    client.refuse(408, "no whole request in time")
            elif (not client.served and age > SILENT) or (
                client.served and self.draining and self._listener is None
            ):
                if client.socket.nothing_to_read():
                    client.close()
        self._open_door(True)

    # ---- requests ----
    def take(self, client: Client, request: Request) -> None:
        """Raises MalformedError."""
        arrived = self.clock.arrival_time()
        if (not client.served or self.clock.now() - arrived > HELD_UP) and client.socket.at_end():
            client.close()  # it waited outside, or we stood still: nobody waits for it any more
            return
        path = request.target.partition(b"?")[0]
        if path == protocol.READY:
            client.say(404 if self.draining else 200 if self.ready() else 503, b"")
            return
        operation = self.operations.get(request.header(protocol.CLASS))
        if operation is None:
            raise MalformedError(404, "no such operation")
        if path.split(b"/", 2)[1:2] != [operation.name.encode()]:
            raise MalformedError(400, "the path is not of the operation")
        if request.method != (b"GET" if operation.effect == IDEMPOTENT else b"POST"):
            raise MalformedError(405, "not the operation's method")
        if operation.effect == IDEMPOTENT and request.body:
            raise MalformedError(400, "a body where none is due")
        request_id, fingerprint = request.header(protocol.ID), request.header(protocol.FINGERPRINT)
        if not _IDENT.fullmatch(request_id):
            raise MalformedError(400, "no id")
        if operation.effect == FINGERPRINTED and not _IDENT.fullmatch(fingerprint):
            raise MalformedError(400, "no key against repeats")
        limit = protocol.limit_of(request.header(protocol.LIMIT))
        if not limit:
            raise MalformedError(400, "no time limit, such as 480m")
        if self.draining:  # answered before the end is forced
            limit = max(1, min(limit, self.ends_by - arrived))
        if request_id in self.calls:
            raise MalformedError(409, "a request with this id is open")
        hint, further = request.header(protocol.HINT), protocol.further_of(request.header(protocol.FURTHER))
        head = [(b"X-Request-ID", request_id)]
        if fingerprint:
            head.append((b"Idempotency-Key", fingerprint))
        call = client.call = self.calls[request_id] = Call(client, request_id, head, request)
        key = request.header(protocol.KEY)
        invocation = self.engine_host.accept(
            call,
            operation,
            arrived,
            limit,
            customer=request.header(protocol.CUSTOMER).decode("latin-1"),
            key=key.decode("latin-1") if key else None,
            work_hint=int(hint) if hint.isdigit() and len(hint) < 12 else 0,
            retry=request.header(protocol.RETRY) == b"1",
            write=further.get("update") in ("1", "true"),
        )
        if call.client is not None:
            call.invocation = invocation

    # ---- the end ----
    def drain(self) -> None:
        """Answers end their connections from now on. Connections keep coming for a while, and clients that stay idle
        learn by the end of theirs that they are to go elsewhere."""
        self.draining = True
        self.ends_by = self.clock.now() + min(self.longest, LAST[0]) + LAST[1]
        self.loop.call_later(LATE_COMERS / 1e6, self._stop)

    def _stop(self) -> None:
        """A listener that closes resets whoever waits outside, with what they have asked already: they come in first."""
        if self._listener is None:
            return
        if not self._accept(1024) and self.clock.now() < self.ends_by - LAST[1]:
            self.loop.call_later(CROWD / 1e6, self._stop)
            return
        self._close_door()
        for client in list(self.idle):
            if (
                client.served
                and not (client.over or client.reader.begun or client.socket.unsent)
                and client.socket.nothing_to_read()
            ):
                client.close()  # a request that crosses this end was never read: its client asks elsewhere

    def _close_door(self) -> None:
        if self._listener is not None:
            self._open_door(False)
            self._listener.close()
            self._listener = None

    @property
    def busy(self) -> bool:
        """Somebody is still to come, to ask, to be answered, or to read an answer."""
        return self._listener is not None or bool(self.clients)

    def close(self) -> None:
        self._close_door()
        for client in list(self.clients):
            client.close()
