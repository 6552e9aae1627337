"""One connection of a client of the node: its requests, and the one response of each.

Clients are not trusted. A request that cannot be understood gets a status of its own (never 429 or 503, which
make a promise) and loses its connection.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter, OrderedDict
from enum import StrEnum
from typing import Any, Protocol

from ..hosting.clock import Clock
from ..hosting.engine_host import EngineHost
from ..hosting.tcp import NonBlockingSocket
from ..interface import Invocation
from ..logic.dispatch_guard import Invariant
from ..logic.eviction import Idleness
from ..logic.executed_requests import ClientIds
from ..logic.request_memory import RequestMemory
from . import http1
from .http1 import HttpError, Request, RequestParser
from .protocol import REQUEST_HEADERS, UNCHANGED_HEADERS
from .request_check import CheckedRequest

NOT_YET = 1 << 62  # later than any time
MAX_LINGER_BYTES = 256 * 1024  # read and discarded from a client whose connection ends


class CloseReason(StrEnum):
    """Why a client's connection was closed; the names that the log counts them by."""

    CLIENT_GONE = "client_gone"  # the client has closed it, or it broke
    UNWRITABLE = "unwritable"  # its response could not be written, because it has ended
    EVICTED = "evicted"  # to make room
    NO_REQUEST = "no_request"  # the client sent nothing for too long
    NOT_READ = "not_read"  # the client took nothing of its response for too long
    TOO_MUCH_SENT = "too_much_sent"  # the client went on sending after its last response
    RESPONDED = "responded"  # its last response was written, and the client had the time to read it
    DRAINING = "draining"  # this process ends, and the connection carried nothing
    STOPPED = "stopped"  # this process has ended


# reasons for which a request that was read may stay without a response
_NOBODY_TO_ANSWER = frozenset((CloseReason.CLIENT_GONE, CloseReason.UNWRITABLE))


class ClientOwner(Protocol):
    """Accepted the connections of clients, and handles their requests.

    Attributes:
        loop: The event loop.
        clock: The agent's clock.
        engine_host: Takes the invocations.
        clients: All connections.
        idle: Connections without an open request, the one idle for longest first.
        calls: Open requests by their id.
        closed: Connections closed so far, by reason.
        draining: The order to end has come.
        memory: The bytes that requests and responses hold.
    """

    loop: asyncio.AbstractEventLoop
    clock: Clock
    engine_host: EngineHost
    clients: set[ClientConnection]
    idle: OrderedDict[ClientConnection, None]
    calls: dict[bytes, ClientCall]
    closed: Counter[CloseReason]
    draining: bool
    memory: RequestMemory

    def handle_request(self, client: ClientConnection, request: Request) -> None:
        """Checks a request and hands it to the decisions; raises HttpError if it is refused."""

    def record_refusal(self, client: ClientConnection, status: int, reason: str) -> None:
        """Counts a refused request."""

    def settle(self, client: ClientConnection, call: ClientCall, throttled: bool = False) -> None:
        """Forgets the id of a request that needs no response any more, if nothing ran."""

    def set_accepting(self, accepting: bool) -> None:
        """Watches the listener for new connections, or stops watching it."""

    def free_memory(self) -> bool:
        """Has incomplete requests give way until the limit is kept; returns whether it is."""


def retry_headers(retry_after: int) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the headers that tell a client when to retry; retry_after: microseconds, 0 for no advice."""
    return ((b"Retry-After", b"%.3f" % (retry_after / 1e6)),) if retry_after else ()


class ClientCall:
    """One request until its response: the client's side of an invocation.

    Attributes:
        client: The connection that it came on; None once it needs no response any more.
        id: Its id.
        operation: What it asks for.
        body: Its body.
        head: Method, target and headers that are passed on unchanged.
        invocation: The invocation; None until the decisions have accepted it.
    """

    __slots__ = ("body", "client", "head", "id", "invocation", "operation")

    def __init__(self, client: ClientConnection, checked: CheckedRequest) -> None:
        self.client: ClientConnection | None = client
        self.id, self.operation, self.body = checked.id, checked.operation, checked.request.body
        self.head = (checked.request.method, checked.request.target, checked.head())
        self.invocation: Invocation | None = None

    def succeed(self, head: Any, body: list[bytes], tail: Any) -> None:
        """Responds with an appliance's body."""
        whole = b"".join(body)
        self._settle()
        if self.client is not None:
            self.client.front.memory.record_response(len(whole))
        self._respond(200, whole)

    def throttle(self, retry_after: int) -> None:
        """Responds that a retry does no harm; retry_after: microseconds until then, 0 for no advice.

        A fingerprinted request may have run all the same.
        """
        self._settle(throttled=True)
        self._respond(429, headers=retry_headers(retry_after))

    def terminate(self) -> None:
        """Responds without any promise."""
        self._settle()
        self._respond(500)

    def client_left(self) -> bool:
        """Whether the client has left, even if the loop has not had the time to report it."""
        return self.client is None or self.client.socket.at_end()

    def close_client(self) -> None:
        """Closes the connection of a client that has left."""
        if self.client is not None:
            self.client.close(CloseReason.CLIENT_GONE)

    def _settle(self, throttled: bool = False) -> None:
        if self.client is not None:
            self.client.front.settle(self.client, self, throttled)

    def _respond(self, status: int, body: bytes = b"", headers: Any = ()) -> None:
        client, self.client = self.client, None
        if client is not None:
            client.front.calls.pop(self.id, None)
            client.call = None
            client.respond(status, body, headers)


class ClientConnection:
    """One connection of a client.

    Attributes:
        call: The request that waits for its response.
        arrived_at: When its first request may have arrived, if it waited to be accepted; else `NOT_YET`.
        last_active: When it connected, began a request, was answered, or last took a part of its response.
        served: Whether it has had a response.
        unanswered: A complete request has arrived, and no response was written yet.
        closing: Its last response is written; only the client's reading of it is awaited.
        keep_alive: Whether the client allows another request on it.
        discarded: Bytes that arrived while it was closing.
        ids: The ids of its requests that may have run.
        unsent_before: Bytes of its response that the kernel had not taken at the last sweep.
    """

    __slots__ = (
        "arrived_at",
        "call",
        "closing",
        "discarded",
        "front",
        "ids",
        "keep_alive",
        "last_active",
        "parser",
        "served",
        "socket",
        "unanswered",
        "unsent_before",
    )

    def __init__(self, front: ClientOwner, sock: socket.socket) -> None:
        self.front, self.parser = front, RequestParser(REQUEST_HEADERS, UNCHANGED_HEADERS)
        self.call: ClientCall | None = None
        self.last_active = front.clock.now()
        self.ids = ClientIds()
        self.arrived_at = NOT_YET
        self.served = self.unanswered = False
        self.closing = False
        self.keep_alive, self.discarded, self.unsent_before = True, 0, 0
        self.socket = NonBlockingSocket(front.loop, sock, self)

    @property
    def idleness(self) -> Idleness:
        """What it has done, while it has no open request."""
        if self.closing:
            return Idleness.SILENT
        if self.parser.in_message:
            return Idleness.PARTIAL
        return Idleness.SERVED if self.served else Idleness.SILENT

    # ---- input ----
    def on_data(self, data: bytes) -> None:
        """Handles input; a connection carries one request at a time."""
        if self.closing:
            self.discarded += len(data)
            if self.discarded > MAX_LINGER_BYTES:
                self.close(CloseReason.TOO_MUCH_SENT)
            return
        in_message_before = self.parser.in_message
        try:
            request = self.parser.feed(data)
        except HttpError as error:
            self.refuse(error.status, error.reason)
            return
        if request is None:  # an empty line after a body is no request
            self._on_partial_request(in_message_before)
            return
        if self.call is not None or self.socket.unsent:
            self.refuse(400, "a second request before the first was answered")
            return
        self.front.idle.pop(self, None)
        self.keep_alive, self.unanswered = request.keep_alive, True
        try:
            self.front.handle_request(self, request)
        except HttpError as error:
            self.refuse(error.status, error.reason)
        except Exception:  # an internal error, which the loop reports: the request is answered all the same
            if self.unanswered and self.call is None:
                self.refuse(500, "an error of the agent")
            elif self.call is not None:  # the error concerned another request; this one was accepted
                self.call.invocation = next(
                    (
                        invocation
                        for invocation, call in self.front.engine_host.calls.items()
                        if call is self.call
                    ),
                    None,
                )
            raise

    def _on_partial_request(self, in_message_before: bool) -> None:
        if not self.parser.in_message:
            return
        if self.call is not None or self.socket.unsent:
            self.refuse(400, "a second request before the first was answered")
            return
        if self.served and not in_message_before:
            self.last_active = self.front.clock.now()
        self.front.memory.charge(self, self.parser.held_bytes, incomplete=True)
        self.front.free_memory()

    def on_lost(self, why: str) -> None:
        """The client's end of the connection is closed, or it broke."""
        self.close(CloseReason.CLIENT_GONE)

    def on_sent(self) -> None:
        """The kernel has taken the whole response; idle and linger times begin only now, for slow readers."""
        self.last_active, self.unsent_before = self.front.clock.now(), 0
        self.front.memory.release(self)
        if self.closing:
            self.socket.shutdown_write()

    # ---- output ----
    def refuse(self, status: int, reason: str, headers: Any = ()) -> None:
        """Responds with an error of the front itself, and ends the connection."""
        self.front.record_refusal(self, status, reason)
        self.abandon_call()
        self.keep_alive = False
        self.parser.close()
        self.respond(status, reason.encode("latin-1", "replace") + b"\n", headers)

    def respond(self, status: int, body: bytes, headers: Any = ()) -> None:
        """Writes a response; ends the connection unless it may carry another request."""
        if self.socket.closed:
            return
        front = self.front
        keep_alive = self.keep_alive and not front.draining
        self.last_active, self.served, self.unanswered = front.clock.now(), True, False
        try:
            self.socket.write(http1.encode_response(status, body, headers, keep_alive))
        except OSError:
            self.close(CloseReason.UNWRITABLE)
            return
        front.memory.charge(self, self.socket.unsent)
        if not keep_alive:
            self.closing = True
            if not self.socket.unsent:
                self.socket.shutdown_write()
        front.idle[self] = None

    def abandon_call(self) -> None:
        """Drops the open request; its response is no longer wanted."""
        call, self.call = self.call, None
        if call is not None:
            self.front.settle(self, call)
            call.client = None
            self.front.calls.pop(call.id, None)
            if call.invocation is not None:
                self.front.engine_host.client_left(call.invocation)

    def close(self, reason: CloseReason) -> None:
        """Closes the connection at once."""
        if not self.socket.closed:
            self.front.closed[reason] += 1
            if self.unanswered and reason not in _NOBODY_TO_ANSWER:
                self.front.engine_host.guard.report(
                    Invariant.CLOSED_UNANSWERED,
                    request=self.call.id.decode("latin-1") if self.call else "",
                    reason=str(reason),
                )
            self.socket.close()
            self.parser.close()
            self.front.memory.release(self)
            self.front.idle.pop(self, None)
            self.front.clients.discard(self)
            self.front.set_accepting(True)
            self.abandon_call()
