"""The server that clients call: makes invocations of their calls, and answers each of them once."""

from __future__ import annotations

import errno
import math
import socket
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from h2.errors import ErrorCodes
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

from ..hosting.clock import Clock
from ..hosting.engine_host import EngineHost
from ..hosting.event_log import EventLogger
from ..hosting.log_limiter import LogLimiter
from ..hosting.receive_queue import QueuedData, queued_data
from ..hosting.tcp import ReadOnReadyStream, split_address
from ..interface import Invocation, Operation
from ..logic.overload import retry_advice
from ..logic.reading_time import LOOK_INTERVAL, MAX_LOOK_TIME, LookClock, reading_deadline
from ..logic.request_memory import RequestMemory
from ..wire import grpc
from ..wire.connection import Connection, Tap
from ..wire.grpc import Headers, MalformedError, MessageScanner, MessageTooLongError, Status
from ..wire.pieces import append_piece
from ..wire.session import SessionLimits, Stream
from . import grpc_mapping

LISTEN_BACKLOG = 1024  # connections that the kernel holds until they are accepted
ACCEPTS_PER_TURN = 64  # so that established connections get their share of each turn of the event loop
ACCEPT_RETRIES = 1  # at once, of an accept that failed for want of resources: that may pass in a moment
READ_BUFFER_BYTES = 256 * 1024
PREFIX_BYTES = 5  # of a gRPC message: its compression flag and length
FIELD_BYTES = 160  # that a header takes besides its name and value
SURE_MESSAGES = 2  # of the largest size, that always fit
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """The limits of the server.

    Attributes:
        connections: The most connections at a time.
        message: The largest message of a request, in bytes.
        request_memory: Bytes that all requests may hold, of which two of the largest messages are sure.
        request_timeout: Microseconds for a whole request, of clients that do not say how long they wait; and
            for a connection's preface, first SETTINGS and each frame or block of headers.
        session: The limits of each HTTP/2 session.
    """

    connections: int
    message: int
    request_memory: int
    request_timeout: int
    session: SessionLimits

    def part(self, count: int) -> FrontLimits:
        """Returns the limits of each of so many servers that share these."""
        return replace(
            self,
            connections=math.ceil(self.connections / count),
            request_memory=self.request_memory // count,
        )


@dataclass(eq=False)
class Front:
    """Serves clients on one address.

    Attributes:
        engine_host: Takes the invocations.
        operations: The operations by the path of their methods.
        limits: The server's limits.
        clock: The agent's clock.
        log_event: Logs an event.
        handlers: Handles the agent's own methods, such as messages of other agents, by path. A handler is
            called with the message; its answer is empty.
        tap: Records what passes on the connections.
        connections: The open connections.
        draining: Whether new calls are refused.
        memory: The bytes that requests hold.
    """

    engine_host: EngineHost
    operations: Mapping[bytes, Operation]
    limits: FrontLimits
    clock: Clock
    log_event: EventLogger
    handlers: Mapping[bytes, Callable[[bytes], None]]
    tap: Tap | None = None

    def __post_init__(self) -> None:
        self.connections: set[Connection] = set()
        self.draining = False
        self.memory = RequestMemory(max(self.limits.request_memory, SURE_MESSAGES * self.limits.message))
        self._sockets: list[socket.socket] = []
        self._accepts_per_turn = ACCEPTS_PER_TURN
        self._accept_delay: Callable[[int], int] | None = None
        self._watching = self._pausing = self._full = False
        self._unfinished: list[ClientCall] = []
        self._overdue: deque[ClientCall] = deque()  # incomplete calls whose time is over
        self._look_clock = LookClock(self.clock.now())
        self._loop = IOLoop.current()
        self._out_of_descriptors = False
        self._over_limit = False
        self._refusals_logged = LogLimiter()

    # ---- listening ----
    def listen(self, address: str) -> str:
        """Listens on an address.

        Returns:
            The address with the port that was assigned.

        Raises:
            OSError: The address cannot be listened on.
        """
        host, port = split_address(address)
        self._sockets = bind_sockets(port, host, backlog=LISTEN_BACKLOG)
        self.accept_from(self._sockets)
        return f"{host}:{self._sockets[0].getsockname()[1]}"

    def accept_from(
        self, sockets: list[socket.socket], accept_delay: Callable[[int], int] | None = None
    ) -> None:
        """Accepts connections from sockets that listen already.

        Args:
            sockets: The listening sockets.
            accept_delay: Set where other processes accept from the same sockets. Connections are then
                accepted one at a time, none while the limit of connections is reached, and each with the
                delay in microseconds that this function returns for the number of open connections.
        """
        self._sockets, self._accept_delay = sockets, accept_delay
        self._loop.call_later(LOOK_INTERVAL / 1e6, self._sweep)
        self._accepts_per_turn = 1 if accept_delay else ACCEPTS_PER_TURN
        self._watch()

    def _watch(self) -> None:
        """Watches the listening sockets, unless accepting pauses or the server is full."""
        if not (self._watching or self._pausing or self._full):
            self._watching = True
            for sock in self._sockets:
                self._loop.add_handler(sock, self._accept, IOLoop.READ)

    def _unwatch(self) -> None:
        self._watching = False
        for sock in self._sockets:
            self._loop.remove_handler(sock)

    def _accept(self, sock: socket.socket, events: int) -> None:
        if self._accept_delay is not None and (delay := self._accept_delay(len(self.connections))):
            self._unwatch()
            self._loop.call_later(delay / 1e6, self._accept_delayed)
        else:
            self._accept_now(sock)

    def _accept_delayed(self) -> None:
        for sock in self._sockets if not (self._pausing or self._full) else ():
            self._accept_now(sock)
        self._watch()

    def _accept_now(self, sock: socket.socket) -> None:
        count = failures = 0  # failures in a row
        while count < self._accepts_per_turn:
            try:
                accepted, _ = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in OUT_OF_RESOURCES:
                    raise
                failures += 1
                if failures > ACCEPT_RETRIES:
                    self._pause(error)
                    return
                continue
            count, failures = count + 1, 0
            self._accepted(accepted)

    def _pause(self, error: OSError) -> None:
        """Stops accepting for a heartbeat, because the process is out of file descriptors or memory.

        Clients wait in the socket's queue until there may be room; otherwise the loop would be woken for them
        endlessly.
        """
        if not self._out_of_descriptors:
            self._out_of_descriptors = True
            self.log_event(
                "accept_short",
                level="error",
                reason=error.strerror,
                connections=len(self.connections),
                due="a higher limit on open files (ulimit -n), or fewer connections",
            )
        self._pausing = True
        self._unwatch()
        self._loop.call_later(self.clock.heartbeat / 1e6, self._resume)

    def _resume(self) -> None:
        self._pausing = False
        self._watch()

    def _accepted(self, accepted: socket.socket) -> None:
        if len(self.connections) >= self.limits.connections:
            if not self._over_limit:
                self._over_limit = True
                self.log_event("connections_full", level="warning", connections=len(self.connections))
            accepted.close()
            return
        if self._accept_delay is not None and len(self.connections) + 1 >= self.limits.connections:
            self.log_event("connections_full", level="warning", connections=len(self.connections) + 1)
            self._full = True  # other processes may have room
            self._unwatch()
        if self._out_of_descriptors:
            self._out_of_descriptors = False
            self.log_event("accept_again", connections=len(self.connections))
        owner = ClientConnection(self, queued_data(accepted))
        owner.connection = Connection(
            ReadOnReadyStream(accepted, max_buffer_size=READ_BUFFER_BYTES),
            False,
            self.limits.session,
            owner,
            self.tap,
        )
        owner.connection.session.begins_cancelled = False
        self.connections.add(owner.connection)

    def lost(self, connection: Connection, why: str) -> None:
        """Forgets a connection that has ended."""
        self.connections.discard(connection)
        if self._full and len(self.connections) < self.limits.connections:
            self._full = False
            self._watch()
        self._over_limit = self._over_limit and len(self.connections) >= self.limits.connections
        self.log_event("client_lost", level="debug", client=connection.peer_address, why=why)

    def log_refusal(self, call: ClientCall, status: int, text: str) -> None:
        """Logs some of the refused calls with the reason."""
        if self._refusals_logged.allows(self.clock.now()):
            self.log_event(
                "refused",
                status=int(status),
                why=text,
                stream=call.stream.id,
                suppressed=self._refusals_logged.take_suppressed(),
            )

    def free_memory(self) -> bool:
        """Has incomplete calls give way until the limit is kept; returns whether it is."""
        while self.memory.is_exceeded():
            call = self.memory.give_way()
            if call is None:
                return False
            self.log_refusal(call, Status.RESOURCE_EXHAUSTED, "no memory for a request of this size now")
            call.throttle(retry_advice(self.engine_host.settings))
        return True

    # ---- input that does not end ----
    def _sweep(self) -> None:
        """Ends calls and connections whose input has not become whole in time."""
        if self.draining and not self.connections:
            return
        self._loop.call_later(LOOK_INTERVAL / 1e6, self._sweep)
        now, goes_on = self.clock.now(), bool(self._overdue)
        if self._look_clock.stood_still(now):
            return
        for connection in list(self.connections):
            connection.end_if_overdue(now, self.limits.request_timeout)
        self._overdue = deque(call for call in self.memory.incomplete if call.is_overdue(now))
        if not goes_on:
            self._end_overdue()

    def _end_overdue(self) -> None:
        """Ends incomplete calls whose time is over, a few in each turn of the loop."""
        until = self.clock.now() + MAX_LOOK_TIME
        while self._overdue and self.clock.now() < until:
            self._overdue.popleft().end_overdue()
        if self._overdue:
            self._loop.add_callback(self._end_overdue)

    # ---- answers that are being sent ----
    def expect_end(self, call: ClientCall) -> None:
        """Watches an answer that has been given but not sent completely.

        It is checked at each heartbeat instead of by a timer of its own.
        """
        if not self._unfinished:
            self._loop.call_later(self.clock.heartbeat / 1e6, self._check_unfinished)
        self._unfinished.append(call)

    def _check_unfinished(self) -> None:
        now = self.clock.now()
        self._unfinished = [call for call in self._unfinished if call.is_unfinished(now)]
        if self._unfinished:
            self._loop.call_later(self.clock.heartbeat / 1e6, self._check_unfinished)

    # ---- the end ----
    def drain(self) -> None:
        """Accepts no more connections, and refuses calls that are incomplete or arrive from now on."""
        self.draining = True
        self._unwatch()
        for sock in self._sockets:
            sock.close()
        self._sockets = []
        for connection in self.connections:
            connection.session.send_goaway()

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self.connections):
            connection.close("agent ends")

    @property
    def unsent(self) -> int:
        """Bytes of answers that have not reached their sockets."""
        return sum(
            connection.unsent + sum(stream.queued for stream in connection.session.streams.values())
            for connection in self.connections
        )


class ClientConnection:
    """Handles what happens on one client's connection.

    Attributes:
        connection: The connection, set once it is made.
        front: The server.
    """

    connection: Connection

    def __init__(self, front: Front, queued: QueuedData) -> None:
        self.front = front
        self._queued_bytes = queued.size  # that had arrived when the connection was accepted
        self._queued_since = front.clock.now() - queued.age

    def on_stream(self, stream: Stream, headers: Headers) -> ClientCall:
        """Begins a call."""
        call = ClientCall(self.front, stream, headers)
        call.arrived = min(call.arrived, self.connection.input_since)
        if self.connection.bytes_processed < self._queued_bytes:
            call.arrived = min(call.arrived, self._queued_since)
        return call

    def on_settings(self) -> None:
        """Ignores the client's settings, which the session applies."""

    def on_goaway(self, code: int) -> None:
        """Ignores that the client will open no more streams."""

    def on_lost(self, connection: Connection, why: str) -> None:
        """Forgets the connection."""
        self.front.lost(connection, why)


class ClientCall:
    """One call of a client, from its headers to its one answer.

    Attributes:
        front: The server.
        stream: The client's stream.
        request: The call's headers; None if they cannot be read.
        arrived: When the call arrived, in microseconds.
        body: Pieces of the request's body; empty once the call has been answered.
        scanner: Checks the request's messages.
        invocation: The invocation, once the call is complete.
        source: The appliance's stream whose answer is passed on, if that has begun.
    """

    __slots__ = (
        "_answered",
        "_granted",
        "_size",
        "arrived",
        "body",
        "front",
        "invocation",
        "request",
        "scanner",
        "source",
        "stream",
    )

    def __init__(self, front: Front, stream: Stream, headers: Headers) -> None:
        self.front, self.stream = front, stream
        self.arrived = front.clock.arrival_time()
        self.body: list[bytes] = []
        self.scanner = MessageScanner(front.limits.message)
        self.invocation: Invocation | None = None
        self.source: Stream | None = None
        self._granted = (
            0  # bytes on their way to the client that have been acknowledged to the source already
        )
        self._answered = False
        self._size = sum(len(name) + len(value) + FIELD_BYTES for name, value in headers)
        self.request: grpc_mapping.RequestHeaders | None = None
        try:
            self.request = grpc_mapping.read_request(headers)
        except MalformedError as error:
            self.refuse(Status.INVALID_ARGUMENT, str(error))
            return
        if not self.request.content_type.startswith(grpc.CONTENT_TYPE):
            # gRPC's answer to a request that is not gRPC
            self._answered = True
            stream.send_headers([(b":status", b"415")], end=True)
            stream.reset(ErrorCodes.NO_ERROR)
        elif self.request.path not in front.operations and self.request.path not in front.handlers:
            self.refuse(
                Status.UNIMPLEMENTED, f"no operation has the method {self.request.path.decode('latin-1')}"
            )
        else:
            front.memory.charge(self, self._size, incomplete=True)
            front.free_memory()

    # ---- the request ----
    def on_headers(self, stream: Stream, headers: Headers) -> None:
        """Ignores further headers of the request."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Takes a piece of the request's body."""
        stream.acknowledge(len(data))
        if self._answered:
            return
        try:
            self.scanner.feed(data)
        except MessageTooLongError as error:
            self.refuse(Status.RESOURCE_EXHAUSTED, str(error))
            return
        except MalformedError as error:
            self.refuse(Status.INTERNAL, str(error))
            return
        append_piece(self.body, data)
        self._size += len(data)
        self.front.memory.charge(self, self._size, incomplete=True)
        self.front.free_memory()

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        """Makes an invocation of the call, now that it is complete, or hands its message to a handler."""
        if self._answered:
            return
        if not self.scanner.whole or self.scanner.messages != 1:
            self.refuse(
                Status.INTERNAL,
                f"the request has {self.scanner.messages} whole messages"
                f"{'' if self.scanner.whole else ' and a part'}, where one is due",
            )
            return
        request, front = self.request, self.front
        front.memory.charge(self, self._size)
        if (handle := front.handlers.get(request.path)) is not None:
            try:
                handle(b"".join(self.body)[PREFIX_BYTES:])
            except MalformedError as error:
                self.refuse(Status.INVALID_ARGUMENT, str(error))
                return
            self._finish()
            stream.send_headers(grpc.response_headers())
            stream.send_data(grpc.frame(b""))
            stream.send_trailers(grpc.trailers(0))
            return
        if front.draining:
            stream.reset(ErrorCodes.REFUSED_STREAM)
            self._finish()
            return
        if not front.free_memory():
            self.throttle(retry_advice(front.engine_host.settings))
            return
        stream.session.calls_taken += 1
        operation = front.operations[request.path]
        limit = operation.time_limit if request.timeout is None else request.timeout
        self.invocation = front.engine_host.accept(
            self,
            operation,
            self.arrived,
            limit,
            customer=request.customer,
            key=request.key,
            work_hint=request.hint,
            retry=request.retry,
            write=request.write,
        )

    def is_overdue(self, now: int) -> bool:
        """Whether its time is over while it is incomplete; now: in microseconds."""
        operation = self.front.operations.get(self.request.path)
        return now >= reading_deadline(
            self.arrived,
            self.request.timeout,
            operation and operation.time_limit,
            self.front.limits.request_timeout,
        )

    def end_overdue(self) -> None:
        """Ends it, unless it has become whole, or has its answer."""
        if not self._answered and self.invocation is None:
            self.refuse(Status.DEADLINE_EXCEEDED, "the request was not whole in time")

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        """Ends the invocation, because the client has reset the call or disconnected."""
        self.front.memory.release(self)
        if self.invocation is not None and not self._answered:
            self._answered = True
            self.front.engine_host.client_left(self.invocation)

    def on_sent(self, stream: Stream, size: int) -> None:
        """Lets the appliance send as much more as the client has taken."""
        if self.source is not None:
            acknowledged = min(size, self._granted)
            self._granted -= acknowledged
            self.source.acknowledge(size - acknowledged)

    # ---- the answer ----
    def refuse(self, status: int, text: str) -> None:
        """Answers that the call is not accepted."""
        self.front.log_refusal(self, status, text)
        self._finish()
        self.stream.send_headers(grpc_mapping.refused(status, text), end=True)
        if not self.stream.end_received:
            self.stream.reset(ErrorCodes.NO_ERROR)  # the client need not send the rest of the request

    def begin(self, source: Stream, head: Headers, body: list[bytes]) -> None:
        """Starts to pass an answer on; `data` passes on the rest.

        The appliance may send more as the client takes what it has been sent.

        Args:
            source: The appliance's stream.
            head: The answer's headers.
            body: The pieces of the body that have arrived.
        """
        self.source, self._granted = source, sum(map(len, body))
        self.stream.send_headers(_passed(head))
        for piece in body:
            self.stream.send_data(piece)

    def data(self, piece: bytes) -> None:
        """Passes a piece of the answer on."""
        self.stream.send_data(piece)

    def succeed(self, head: Headers, body: list[bytes], tail: Headers) -> None:
        """Passes an appliance's answer on to its end."""
        self._finish()
        if self.source is not None:
            self.stream.send_trailers(_passed(tail))
        elif head:
            self.stream.send_headers(_passed(head))
            for piece in body:
                self.stream.send_data(piece)
            self.stream.send_trailers(_passed(tail))
        else:
            self.stream.send_headers(_passed(tail), end=True)
        self._expect_end()

    def throttle(self, retry_after: int) -> None:
        """Answers that trying again is harmless; the advised delay is in microseconds."""
        self._finish()
        self.stream.send_headers(grpc_mapping.throttled(retry_after), end=True)
        if not self.stream.end_received:
            self.stream.reset(ErrorCodes.NO_ERROR)  # the client need not send the rest of the request

    def terminate(self) -> None:
        """Answers without any promise about the effect."""
        self._finish()
        if self.source is None:
            self.stream.send_headers(grpc_mapping.terminated(), end=True)
        else:
            self.stream.send_trailers(grpc_mapping.terminated(begun=True))
            self._expect_end()

    def _finish(self) -> None:
        """Holds nothing of the request any more, as it has its answer."""
        self._answered, self.body = True, []
        self.front.memory.release(self)

    def _expect_end(self) -> None:
        """Has the answer dropped if the client does not read it in time, which frees its memory."""
        if not self.stream.end_sent and not self.stream.closed:
            self.front.expect_end(self)

    def is_unfinished(self, now: int) -> bool:
        """Whether a part of the answer is still to be sent; resets the stream when its time is over."""
        if self.stream.end_sent or self.stream.closed:
            return False
        if now >= self.invocation.deadline:
            self.front.log_event("answer_unread", invocation=self.invocation.id, queued=self.stream.queued)
            self.stream.reset()
            return False
        return True


def _passed(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an appliance's answer that go to the client: all but those of the hop."""
    return [(name, value) for name, value in headers if name not in (b"connection", b"content-length")]
