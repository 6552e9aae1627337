"""A client and a server for the process's own calls: registry, votes, probes, stand-ins.

Requests are unary; responses hold one message or a stream of them. Invocations of clients do not pass here.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from h2.errors import ErrorCodes
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from ..hosting.tcp import connect, spawn, split_address
from ..logic.request_memory import RequestMemory
from . import grpc
from .connection import Connection, Tap
from .grpc import Headers, MalformedError, MessageScanner, Status
from .session import REFUSED, UNPROCESSED, SessionLimits, Stream

DEFAULT_LIMITS = SessionLimits()
MAX_MESSAGE_BYTES = 4 << 20
MAX_BUFFER_BYTES = 256 * 1024  # of input that a server's stream buffers
REQUEST_MEMORY = 32 << 20  # bytes that the incomplete requests of a server may hold
FIELD_BYTES = 160  # that a header takes besides its name and value
MEMORY_RETRY_DELAY = 500_000  # microseconds after which a caller that was refused for memory is to retry
MAX_RETRY_DELAY_DIGITS = 7  # of grpc-retry-pushback-ms

Metadata = Iterable[tuple[bytes, bytes]]


class CallError(Exception):
    """A call had another status than OK, or no response.

    Attributes:
        status: The grpc-status.
        text: The grpc-message, or what went wrong on this side.
        never_ran: It is known that the request did not run.
        metadata: Trailers of the response.
    """

    def __init__(self, status: int, text: str, never_ran: bool = False, metadata: Headers = ()) -> None:
        super().__init__(f"{Status(status).name if status in Status._value2member_map_ else status}: {text}")
        self.status, self.text, self.never_ran, self.metadata = status, text, never_ran, metadata

    @property
    def retry_delay(self) -> int:
        """Microseconds after which the server wants the call repeated; 0: not given."""
        value = grpc.find(self.metadata, grpc.PUSHBACK) or b""
        return int(value) * 1000 if value.isdigit() and len(value) <= MAX_RETRY_DELAY_DIGITS else 0


def retry_later(text: str, retry_delay: int) -> CallError:
    """Returns the refusal of a caller that is to retry after so many microseconds; nothing ran."""
    return CallError(Status.UNAVAILABLE, text, True, [(grpc.PUSHBACK, b"%d" % max(1, retry_delay // 1000))])


@dataclass(slots=True)
class Response:
    """A complete response of one message."""

    message: bytes
    headers: Headers = ()
    trailers: Headers = ()


class _ResponseListener:
    """Listens to the response of one call and queues its messages, then its trailers or error."""

    def __init__(self, max_message_bytes: int) -> None:
        self.queue: asyncio.Queue = asyncio.Queue()
        self.scanner, self.body, self.headers = MessageScanner(max_message_bytes), bytearray(), ()

    def on_headers(self, stream: Stream, headers: Headers) -> None:
        self.headers = headers

    def on_data(self, stream: Stream, data: bytes) -> None:
        stream.acknowledge(len(data))
        self.body += data
        try:
            self.scanner.feed(data)
            while len(self.body) >= grpc.PREFIX_SIZE and len(self.body) >= (
                end := grpc.PREFIX_SIZE + int.from_bytes(self.body[1 : grpc.PREFIX_SIZE], "big")
            ):
                self.queue.put_nowait(bytes(self.body[grpc.PREFIX_SIZE : end]))
                del self.body[:end]
        except MalformedError as error:
            stream.reset()
            self.queue.put_nowait(CallError(Status.INTERNAL, str(error)))

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        status = grpc.status_of(self.headers, trailers)
        text = grpc.decode_message(grpc.find(trailers, b"grpc-message") or b"")
        if status == 0 and not self.body:
            self.queue.put_nowait(trailers)
        elif status == 0:
            self.queue.put_nowait(CallError(Status.INTERNAL, "the response ends within a message"))
        else:
            self.queue.put_nowait(
                CallError(
                    Status.UNKNOWN if status is None else status, text or "no status", metadata=trailers
                )
            )

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        self.queue.put_nowait(CallError(Status.UNAVAILABLE, f"call {how}", how in (REFUSED, UNPROCESSED)))

    def on_sent(self, stream: Stream, size: int) -> None:
        pass


class Channel:
    """Calls to one address over one connection, opened when needed and again after it was lost."""

    def __init__(
        self,
        address: str,
        connect_timeout: int,
        limits: SessionLimits = DEFAULT_LIMITS,
        tap: Tap | None = None,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        """Connects nothing yet.

        Args:
            address: Address of the server.
            connect_timeout: Microseconds for making a connection.
            limits: What the connection grants the server.
            tap: Sees all bytes.
            max_message_bytes: Bytes that a message of a response may have.
        """
        self.address, self.connect_timeout = address, connect_timeout
        self.limits, self.tap, self.max_message_bytes = limits, tap, max_message_bytes
        self._connection: Connection | None = None
        self._opening: asyncio.Future | None = None

    # ---- the connection's owner ----
    def on_stream(self, stream: Stream, headers: Headers) -> None:
        """Resets a stream that the server opened: servers may not."""
        stream.reset(ErrorCodes.PROTOCOL_ERROR)

    def on_settings(self) -> None:
        """Nothing depends on the server's settings."""

    def on_goaway(self, code: int) -> None:
        """Lets the next call open another connection."""
        self._connection = None

    def on_lost(self, connection: Connection, why: str) -> None:
        """Lets the next call open another connection."""
        if self._connection is connection:
            self._connection = None

    async def _ready(self) -> Connection:
        connection = self._connection
        if connection is not None and not connection.closed and connection.session.can_open_stream:
            return connection
        if self._opening is None:
            self._opening = asyncio.ensure_future(self._open())
            self._opening.add_done_callback(self._opened)
        return await asyncio.shield(self._opening)

    async def _open(self) -> Connection:
        try:
            stream = await connect(*split_address(self.address), self.connect_timeout)
        except OSError as error:
            raise CallError(Status.UNAVAILABLE, f"{self.address}: {error.strerror or error}", True) from None
        if stream.closed():  # the peer broke it before this turn of the loop
            raise CallError(Status.UNAVAILABLE, f"{self.address}: broke as it was made", True)
        self._connection = Connection(stream, True, self.limits, self, self.tap)
        return self._connection

    def _opened(self, done: asyncio.Future) -> None:
        self._opening = None
        if not done.cancelled():
            done.exception()  # marks the error as retrieved; the callers that wait get it

    async def _start(
        self, path: str, message: bytes, timeout: int | None, metadata: Metadata
    ) -> tuple[Stream, _ResponseListener]:
        connection, listener = await self._ready(), _ResponseListener(self.max_message_bytes)
        headers = grpc.request_headers(path.encode(), self.address.encode(), timeout, metadata)
        try:
            stream = connection.session.open(headers, listener)
        except RuntimeError as error:
            raise CallError(Status.UNAVAILABLE, str(error), True) from None
        stream.send_data(grpc.frame(message), end=True)
        return stream, listener

    async def unary(self, path: str, message: bytes, timeout: int, metadata: Metadata = ()) -> Response:
        """Returns the response to a call; timeout: in microseconds, including the connection.

        Raises:
            CallError: The status is not OK, or there was no response in time.
        """
        started: list[Stream] = []

        async def run() -> Response:
            stream, listener = await self._start(path, message, timeout, metadata)
            started.append(stream)
            first = await listener.queue.get()
            trailers = await listener.queue.get() if isinstance(first, bytes) else first
            for item in (first, trailers):
                if isinstance(item, CallError):
                    raise item
            if not isinstance(first, bytes) or isinstance(trailers, bytes):
                raise CallError(Status.INTERNAL, "the response has not exactly one message")
            return Response(first, listener.headers, trailers)

        try:
            async with asyncio.timeout(timeout / 1e6):  # asyncio.wait_for may swallow a cancellation
                return await run()
        except TimeoutError:
            raise CallError(Status.DEADLINE_EXCEEDED, f"no answer within {timeout / 1000:.0f} ms") from None
        finally:
            if started:
                started[0].reset()

    async def stream(self, path: str, message: bytes, metadata: Metadata = ()) -> AsyncIterator[bytes]:
        """Yields the messages of a response as they arrive, until the server ends it with OK.

        Raises:
            CallError: The response ended otherwise.
        """
        stream, listener = await self._start(path, message, None, metadata)
        try:
            while True:
                item = await listener.queue.get()
                if isinstance(item, CallError):
                    raise item
                if not isinstance(item, bytes):
                    return
                yield item
        finally:
            stream.reset()

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close("closed by us")


# ---- the server's end ---------------------------------------------------------------------------------
@dataclass(eq=False)
class Request:
    """A complete call that a server received; listens to its stream while the response is written.

    Attributes:
        path: The path, /package.Service/Method.
        headers: The headers.
        message: The one message.
        stream: The stream.
        connection: The connection that carries the stream.
        cancelled: The client has left.
        trailers: Metadata to send after the response.
    """

    path: str
    headers: Headers
    message: bytes
    stream: Stream
    connection: Connection
    cancelled: bool = False
    trailers: list = field(default_factory=list)
    _started: bool = False

    def send(self, message: bytes) -> None:
        """Sends one message of the response, after those sent before."""
        if not self._started:
            self._started = True
            self.stream.send_headers(grpc.response_headers())
        self.stream.send_data(grpc.frame(message))

    def finish(self, status: int = 0, text: str = "") -> None:
        """Ends the response."""
        trailers = grpc.trailers(status, text, self.trailers)
        if self._started:
            self.stream.send_trailers(trailers)
        else:
            self.stream.send_headers([*grpc.response_headers(), *trailers], end=True)

    # ---- the stream's listener while the response is written ----
    def on_headers(self, stream: Stream, headers: Headers) -> None:
        """Nothing more is expected from the client."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Nothing more is expected from the client."""

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        """Nothing more is expected from the client."""

    def on_sent(self, stream: Stream, size: int) -> None:
        """Nothing waits for what has been sent."""

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        """Notes that the client has left."""
        self.cancelled = True


Handler = Callable[[Request], Awaitable[bytes | None]]


class _RequestListener:
    """Listens to a request until it is complete."""

    def __init__(self, service: Service, connection: Connection, stream: Stream, headers: Headers) -> None:
        self.service, self.connection, self.stream, self.headers = service, connection, stream, headers
        self.body, self.scanner = bytearray(), MessageScanner(service.max_message_bytes)
        self._header_size = sum(len(name) + len(value) + FIELD_BYTES for name, value in headers)
        self._charge()

    def on_headers(self, stream: Stream, headers: Headers) -> None: ...
    def on_sent(self, stream: Stream, size: int) -> None: ...

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        self.service.memory.release(self)

    def _charge(self) -> None:
        """Charges what the request holds; it may have to give way itself."""
        self.service.memory.charge(self, self._header_size + len(self.body), incomplete=True)
        self.service.free_memory()

    def give_way(self) -> None:
        """Refuses the request, because all requests together hold too much."""
        error = retry_later("no memory for a request of this size now", MEMORY_RETRY_DELAY)
        self._refuse(self.stream, error.status, error.text, error.metadata)

    def on_data(self, stream: Stream, data: bytes) -> None:
        stream.acknowledge(len(data))
        if stream.closed:
            return
        self.body += data
        try:
            self.scanner.feed(data)
        except MalformedError as error:
            self._refuse(
                stream,
                Status.RESOURCE_EXHAUSTED if self.scanner.messages == 0 else Status.INTERNAL,
                str(error),
            )
            return
        self._charge()

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        self.service.memory.release(self)
        if stream.closed:
            return
        try:
            (message,) = grpc.messages(bytes(self.body))
        except (MalformedError, ValueError) as error:
            self._refuse(stream, Status.INTERNAL, f"one message is due: {error}")
            return
        path = (grpc.find(self.headers, b":path") or b"").decode("latin-1")
        request = Request(path, self.headers, message, stream, self.connection)
        stream.listener = request
        handler = self.service.handlers.get(path, self.service.default_handler)
        if handler is None:
            request.finish(Status.UNIMPLEMENTED, f"no method {path}")
        else:
            spawn(self.service.handle(handler, request))

    def _refuse(self, stream: Stream, status: int, text: str, metadata: Headers = ()) -> None:
        self.service.memory.release(self)
        self.body = bytearray()
        stream.send_headers([*grpc.response_headers(), *grpc.trailers(status, text, metadata)], end=True)
        stream.reset(ErrorCodes.NO_ERROR)


class Service(TCPServer):
    """A server that dispatches calls to handlers by path.

    A handler returns the one message of its response, or None if it has sent and finished the response
    itself. A CallError that it raises becomes the response.

    Attributes:
        handlers: Handlers by path.
        default_handler: Handler for every other path; None: they are unimplemented.
        connections: Open connections.
        accepted: Connections accepted since the start.
        memory: The bytes that incomplete requests hold.
    """

    def __init__(
        self,
        limits: SessionLimits = DEFAULT_LIMITS,
        tap: Tap | None = None,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        """Listens to nothing yet.

        Args:
            limits: What each connection grants its client.
            tap: Sees all bytes.
            max_message_bytes: Bytes that a request's message may have.
        """
        super().__init__(max_buffer_size=MAX_BUFFER_BYTES)
        self.limits, self.tap, self.max_message_bytes = limits, tap, max_message_bytes
        self.handlers: dict[str, Handler] = {}
        self.default_handler: Handler | None = None
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.memory = RequestMemory(max(REQUEST_MEMORY, 2 * max_message_bytes))

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Called by Tornado with a new connection."""
        self.accepted += 1
        owner = _AcceptedConnection(self)
        owner.connection = Connection(stream, False, self.limits, owner, self.tap)
        self.connections.add(owner.connection)

    def free_memory(self) -> None:
        """Has incomplete requests give way until the limit is kept."""
        while self.memory.is_exceeded():
            request = self.memory.give_way()
            if request is None:
                return
            request.give_way()

    def listen_on(self, address: str) -> str:
        """Listens, and returns the address with the port that was bound.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = split_address(address)
        self.listen(port, host)
        return f"{host}:{self.port}"

    async def handle(self, handler: Handler, request: Request) -> None:
        """Runs a handler and sends its response."""
        try:
            message = await handler(request)
        except CallError as error:
            request.trailers.extend(error.metadata)
            request.finish(error.status, error.text)
            return
        if message is not None:
            request.send(message)
            request.finish()

    @property
    def port(self) -> int:
        """The port that is listened to."""
        return next(iter(self._sockets.values())).getsockname()[1]

    def shutdown(self) -> None:
        """Stops listening and closes all connections."""
        self.stop()
        for connection in list(self.connections):
            connection.close("service shut")


class _AcceptedConnection:
    """Owns one connection of a service."""

    connection: Connection

    def __init__(self, service: Service) -> None:
        self.service = service

    def on_stream(self, stream: Stream, headers: Headers) -> _RequestListener:
        return _RequestListener(self.service, self.connection, stream, headers)

    def on_settings(self) -> None: ...
    def on_goaway(self, code: int) -> None: ...

    def on_lost(self, connection: Connection, why: str) -> None:
        self.service.connections.discard(connection)


__all__ = ["CallError", "Channel", "Request", "Response", "Service"]
