"""Our own calls on links: a Channel for the client's end, a Service for the server's. Unary requests; answers of
one message or of many. The router's path does not pass here: this is for news, votes, probes and stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from h2.errors import ErrorCodes
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from ..hosting.tcp import connect, spawn, split_address
from . import grpc
from .connection import Connection, Tap
from .grpc import Headers, MalformedError, MessageScanner, Status
from .session import CONNECTION_LOST, REFUSED, UNPROCESSED, SessionLimits, Stream

Metadata = Iterable[tuple[bytes, bytes]]


class CallError(Exception):
    """An answer other than OK, or none: status, text, and whether it is known that nothing ran."""

    def __init__(self, status: int, text: str, never_ran: bool = False, metadata: Headers = ()) -> None:
        super().__init__(f"{Status(status).name if status in Status._value2member_map_ else status}: {text}")
        self.status, self.text, self.never_ran, self.metadata = status, text, never_ran, metadata

    @property
    def retry_delay(self) -> int:
        """Microseconds after which the other side wants to be asked again; 0: it does not say."""
        said = grpc.find(self.metadata, grpc.PUSHBACK) or b""
        return int(said) * 1000 if said.isdigit() and len(said) < 8 else 0


def retry_later(text: str, retry_delay: int) -> CallError:
    """The refusal of one that is to ask again after so many microseconds: nothing ran."""
    return CallError(Status.UNAVAILABLE, text, True, [(grpc.PUSHBACK, b"%d" % max(1, retry_delay // 1000))])


@dataclass(slots=True)
class Answer:
    message: bytes
    headers: Headers = ()
    trailers: Headers = ()


class _Call:
    """Listener of one call of ours: messages and the end go into a queue."""

    def __init__(self, max_message_bytes: int) -> None:
        self.queue: asyncio.Queue = asyncio.Queue()
        self.walk, self.body, self.head = MessageScanner(max_message_bytes), bytearray(), ()

    def on_headers(self, stream: Stream, headers: Headers) -> None:
        self.head = headers

    def on_data(self, stream: Stream, data: bytes) -> None:
        stream.acknowledge(len(data))
        self.body += data
        try:
            self.walk.feed(data)
            while len(self.body) >= 5 and len(self.body) >= (
                due := 5 + int.from_bytes(self.body[1:5], "big")
            ):
                self.queue.put_nowait(bytes(self.body[5:due]))
                del self.body[:due]
        except MalformedError as error:
            stream.reset()
            self.queue.put_nowait(CallError(Status.INTERNAL, str(error)))

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        status = grpc.status_of(self.head, trailers)
        text = grpc.decode_message(grpc.find(trailers, b"grpc-message") or b"")
        if status == 0 and not self.body:
            self.queue.put_nowait(trailers)
        elif status == 0:
            self.queue.put_nowait(CallError(Status.INTERNAL, "the answer ends within a message"))
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
    """Calls to one address over one connection, opened at need and anew after it was lost."""

    def __init__(
        self,
        address: str,
        connect_timeout: int,
        limits: SessionLimits = SessionLimits(),
        tap: Tap | None = None,
        max_message_bytes: int = 4 << 20,
    ) -> None:
        self.address, self.connect_timeout, self.limits, self.tap, self.max_message_bytes = (
            address,
            connect_timeout,
            limits,
            tap,
            max_message_bytes,
        )
        self._link: Connection | None = None
        self._opening: asyncio.Future | None = None

    # ---- the link's owner ----
    def on_stream(self, stream: Stream, headers: Headers) -> None:
        stream.reset(ErrorCodes.PROTOCOL_ERROR)

    def on_settings(self) -> None:
        pass

    def on_goaway(self, code: int) -> None:
        self._link = None

    def on_lost(self, link: Connection, why: str) -> None:
        if self._link is link:
            self._link = None

    async def _ready(self) -> Connection:
        if self._link is not None and not self._link.closed and self._link.session.can_open_stream:
            return self._link
        if self._opening is None:
            self._opening = asyncio.ensure_future(self._open())
            self._opening.add_done_callback(self._opened)
        return await asyncio.shield(self._opening)

    async def _open(self) -> Connection:
        try:
            stream = await connect(*split_address(self.address), self.connect_timeout)
        except OSError as error:
            raise CallError(Status.UNAVAILABLE, f"{self.address}: {error.strerror or error}", True) from None
        if stream.closed():  # broken by the other side before this turn
            raise CallError(Status.UNAVAILABLE, f"{self.address}: broke as it was made", True)
        self._link = Connection(stream, True, self.limits, self, self.tap)
        return self._link

    def _opened(self, done: asyncio.Future) -> None:
        self._opening = None
        if not done.cancelled():
            done.exception()  # seen by whoever waits

    async def _start(
        self, path: str, message: bytes, timeout: int | None, metadata: Metadata
    ) -> tuple[Stream, _Call]:
        link, call = await self._ready(), _Call(self.max_message_bytes)
        headers = grpc.request_headers(path.encode(), self.address.encode(), timeout, metadata)
        try:
            stream = link.session.open(headers, call)
        except RuntimeError as error:
            raise CallError(Status.UNAVAILABLE, str(error), True) from None
        stream.send_data(grpc.frame(message), end=True)
        return stream, call

    async def unary(self, path: str, message: bytes, timeout: int, metadata: Metadata = ()) -> Answer:
        """One answer within so many microseconds. Raises CallError."""
        started: list[Stream] = []

        async def run() -> Answer:
            stream, call = await self._start(path, message, timeout, metadata)
            started.append(stream)
            found = await call.queue.get()
            tail = await call.queue.get() if isinstance(found, bytes) else found
            for item in (found, tail):
                if isinstance(item, CallError):
                    raise item
            if not isinstance(found, bytes) or isinstance(tail, bytes):
                raise CallError(Status.INTERNAL, "one message was due")
            return Answer(found, call.head, tail)

        try:
            return await asyncio.wait_for(run(), timeout / 1e6)
        except (asyncio.TimeoutError, TimeoutError):
            raise CallError(Status.DEADLINE_EXCEEDED, f"no answer within {timeout / 1000:.0f} ms") from None
        finally:
            if started:
                started[0].reset()

    async def stream(self, path: str, message: bytes, metadata: Metadata = ()) -> AsyncIterator[bytes]:
        """Messages as they come; ends with the other side's OK. Raises CallError."""
        stream, call = await self._start(path, message, None, metadata)
        try:
            while True:
                item = await call.queue.get()
                if isinstance(item, CallError):
                    raise item
                if not isinstance(item, bytes):
                    return
                yield item
        finally:
            stream.reset()

    def close(self) -> None:
        if self._link is not None:
            self._link.close("closed by us")


# ---- the server's end ---------------------------------------------------------------------------------
@dataclass(eq=False)
class Request:
    """One call that came in, whole."""

    path: str
    headers: Headers
    message: bytes
    stream: Stream
    connection: Connection
    cancelled: bool = False  # the client has left
    trailers: list = field(default_factory=list)  # metadata to go behind the answer
    _started: bool = False

    def send(self, message: bytes) -> None:
        """One message of the answer, behind those sent before."""
        if not self._started:
            self._started = True
            self.stream.send_headers(grpc.response_headers())
        self.stream.send_data(grpc.frame(message))

    def finish(self, status: int = 0, text: str = "") -> None:
        tail = grpc.trailers(status, text, self.trailers)
        if self._started:
            self.stream.send_trailers(tail)
        else:
            self.stream.send_headers([*grpc.response_headers(), *tail], end=True)

    # ---- as the stream's listener, while the answer is under way ----
    def on_headers(self, stream: Stream, headers: Headers) -> None: ...
    def on_data(self, stream: Stream, data: bytes) -> None: ...
    def on_end(self, stream: Stream, trailers: Headers) -> None: ...
    def on_sent(self, stream: Stream, size: int) -> None: ...

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        self.cancelled = True


Handler = Callable[[Request], Awaitable[bytes | None]]


class _Coming:
    """Listener of a request until it is whole."""

    def __init__(self, service: Service, link: Connection, headers: Headers) -> None:
        self.service, self.connection, self.headers = service, link, headers
        self.body, self.walk = bytearray(), MessageScanner(service.max_message_bytes)

    def on_headers(self, stream: Stream, headers: Headers) -> None: ...
    def on_sent(self, stream: Stream, size: int) -> None: ...
    def on_aborted(self, stream: Stream, how: str, code: int) -> None: ...

    def on_data(self, stream: Stream, data: bytes) -> None:
        stream.acknowledge(len(data))
        self.body += data
        try:
            self.walk.feed(data)
        except MalformedError as error:
            self._refuse(
                stream, Status.RESOURCE_EXHAUSTED if self.walk.messages == 0 else Status.INTERNAL, str(error)
            )

    def on_end(self, stream: Stream, trailers: Headers) -> None:
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

    def _refuse(self, stream: Stream, status: int, text: str) -> None:
        stream.send_headers([*grpc.response_headers(), *grpc.trailers(status, text)], end=True)
        stream.reset(ErrorCodes.NO_ERROR)


class Service(TCPServer):
    """Serves handlers by path. A handler returns the one message of its answer, or None if it has sent and
    finished by itself; a CallError that it raises is the answer."""

    def __init__(
        self,
        limits: SessionLimits = SessionLimits(),
        tap: Tap | None = None,
        max_message_bytes: int = 4 << 20,
    ) -> None:
        super().__init__(max_buffer_size=256 * 1024)
        self.limits, self.tap, self.max_message_bytes = limits, tap, max_message_bytes
        self.handlers: dict[str, Handler] = {}
        self.default_handler: Handler | None = None  # for every other path
        self.connections: set[Connection] = set()
        self.accepted = 0  # connections, since the start

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        self.accepted += 1
        owner = _Accepted(self)
        owner.connection = Connection(stream, False, self.limits, owner, self.tap)
        self.connections.add(owner.connection)

    def listen_on(self, address: str) -> str:
        """Returns the address with the port it got. Raises OSError."""
        host, port = split_address(address)
        self.listen(port, host)
        return f"{host}:{self.port}"

    async def handle(self, handler: Handler, request: Request) -> None:
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
        return next(iter(self._sockets.values())).getsockname()[1]

    def shutdown(self) -> None:
        self.stop()
        for link in list(self.connections):
            link.close("service shut")


class _Accepted:
    connection: Connection

    def __init__(self, service: Service) -> None:
        self.service = service

    def on_stream(self, stream: Stream, headers: Headers) -> _Coming:
        return _Coming(self.service, self.connection, headers)

    def on_settings(self) -> None: ...
    def on_goaway(self, code: int) -> None: ...

    def on_lost(self, link: Connection, why: str) -> None:
        self.service.connections.discard(link)


__all__ = ["Answer", "CallError", "Channel", "Request", "Service"]
