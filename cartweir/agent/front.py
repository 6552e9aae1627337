"""The clients' side: accepts connections, makes a whole call into an invocation, gives it its one answer."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Mapping

from h2.errors import ErrorCodes
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

from ..hosting.clock import Clock
from ..hosting.engine_host import EngineHost
from ..hosting.tcp import ReadOnReadyStream, split_address
from ..interface import Invocation, Operation
from ..wire import grpc
from ..wire.connection import Connection, Tap
from ..wire.grpc import Headers, MalformedError, MessageScanner, Status
from ..wire.session import SessionLimits, Stream
from . import grpc_mapping
from .receive_queue import queued

EventLogger = Callable[..., None]


class FrontLimits:
    """Of the front: sizes in bytes, times in microseconds."""

    def __init__(self, connections: int, streams: int, window: int, message: int, header_list: int) -> None:
        self.connections, self.message = connections, message
        self.limits = SessionLimits(streams, window, header_list)


class Front:
    """Listens on one address. `aside`: handlers of our own methods (peers' messages), by path, each called with
    the message; its answer is empty."""

    def __init__(
        self,
        engine_host: EngineHost,
        methods: Mapping[bytes, Operation],
        bounds: FrontLimits,
        clock: Clock,
        log_event: EventLogger,
        aside: Mapping[bytes, Callable[[bytes], None]],
        tap: Tap | None = None,
    ) -> None:
        self.engine_host, self.methods, self.bounds, self.clock, self.log_event = (
            engine_host,
            methods,
            bounds,
            clock,
            log_event,
        )
        self.aside, self.tap = aside, tap
        self.links: set[Connection] = set()
        self.draining = False
        self._sockets: list[socket.socket] = []
        self._at_once = 64
        self._after: Callable[[int], int] | None = None
        self._looking = self._resting = self._full = False
        self._owed: list[ClientCall] = []
        self._loop = IOLoop.current()
        self._short = False  # of file descriptors
        self._over = False  # the bound on connections

    # ---- listening ----
    def listen(self, address: str) -> str:
        """Returns the address with the port it got. Raises OSError."""
        host, port = split_address(address)
        self._sockets = bind_sockets(port, host, backlog=1024)
        self.accept_from(self._sockets)
        return f"{host}:{self._sockets[0].getsockname()[1]}"

    def accept_from(self, sockets: list[socket.socket], after: Callable[[int], int] | None = None) -> None:
        """Sockets that listen already. after: other processes accept from them too, so that one is taken at a time,
        none while the bound on connections is reached, and each so many microseconds later as `after` says of the
        connections there are."""
        self._sockets, self._after, self._at_once = sockets, after, 1 if after else 64
        self._look_out()

    def _look_out(self) -> None:
        """Looks at the sockets if nothing speaks against it."""
        if not (self._looking or self._resting or self._full):
            self._looking = True
            for sock in self._sockets:
                self._loop.add_handler(sock, self._accept, IOLoop.READ)

    def _look_away(self) -> None:
        self._looking = False
        for sock in self._sockets:
            self._loop.remove_handler(sock)

    def _accept(self, sock: socket.socket, events: int) -> None:
        if self._after is not None and (wait := self._after(len(self.links))):
            self._look_away()
            self._loop.call_later(wait / 1e6, self._accept_later)
        else:
            self._accept_now(sock)

    def _accept_later(self) -> None:
        for sock in self._sockets if not (self._resting or self._full) else ():
            self._accept_now(sock)
        self._look_out()

    def _accept_now(self, sock: socket.socket) -> None:
        for _ in range(self._at_once):  # a turn is shared with those that are connected
            try:
                connection, _ = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    raise
                self._rest(error)
                return
            self._accepted(connection)

    def _rest(self, error: OSError) -> None:
        """Nothing can be accepted: clients wait in the socket's queue until there may be room, instead of the loop
        being woken for them without end."""
        if not self._short:
            self._short = True
            self.log_event(
                "accept_short",
                level="error",
                reason=error.strerror,
                connections=len(self.links),
                due="a higher limit on open files (ulimit -n), or fewer connections",
            )
        self._resting = True
        self._look_away()
        self._loop.call_later(self.clock.heartbeat / 1e6, self._rested)

    def _rested(self) -> None:
        self._resting = False
        self._look_out()

    def _accepted(self, connection: socket.socket) -> None:
        if len(self.links) >= self.bounds.connections:
            if not self._over:
                self._over = True
                self.log_event("connections_full", level="warning", connections=len(self.links))
            connection.close()
            return
        if self._after is not None and len(self.links) + 1 >= self.bounds.connections:
            self.log_event("connections_full", level="warning", connections=len(self.links) + 1)
            self._full = True  # others may have room
            self._look_away()
        if self._short:
            self._short = False
            self.log_event("accept_again", connections=len(self.links))
        owner = ClientLink(self, *queued(connection))
        owner.link = Connection(
            ReadOnReadyStream(connection, max_buffer_size=256 * 1024),
            False,
            self.bounds.limits,
            owner,
            self.tap,
        )
        self.links.add(owner.link)

    def lost(self, link: Connection, why: str) -> None:
        self.links.discard(link)
        if self._full and len(self.links) < self.bounds.connections:
            self._full = False
            self._look_out()
        self._over = self._over and len(self.links) >= self.bounds.connections
        self.log_event("client_lost", level="debug", client=link.peer_address, why=why)

    # ---- answers under way ----
    def owe(self, call: ClientCall) -> None:
        """An answer that is given but not all said yet; looked after at each heartbeat, not by a timer of its own."""
        if not self._owed:
            self._loop.call_later(self.clock.heartbeat / 1e6, self._look_after)
        self._owed.append(call)

    def _look_after(self) -> None:
        now = self.clock.now()
        self._owed = [call for call in self._owed if call.unread(now)]
        if self._owed:
            self._loop.call_later(self.clock.heartbeat / 1e6, self._look_after)

    # ---- the end ----
    def drain(self) -> None:
        """Accept nothing more; calls that are not whole yet, or come now, are refused unseen."""
        self.draining = True
        self._look_away()
        for sock in self._sockets:
            sock.close()
        self._sockets = []
        for link in self.links:
            link.session.send_goaway()

    def close(self) -> None:
        for link in list(self.links):
            link.close("agent ends")

    @property
    def unsent(self) -> int:
        """Bytes of answers that have not reached their sockets."""
        return sum(link.unsent + sum(s.queued for s in link.session.streams.values()) for link in self.links)


class ClientLink:
    """Owner of one client's link."""

    link: Connection

    def __init__(self, front: Front, unread: int, waited: int) -> None:
        """unread: bytes that had come when it was accepted, the last of them `waited` microseconds before."""
        self.front, self.unread, self.came = front, unread, front.clock.now() - waited

    def on_stream(self, stream: Stream, headers: Headers) -> ClientCall:
        call = ClientCall(self.front, stream, headers)
        if self.link.bytes_processed < self.unread:
            call.arrived = min(call.arrived, self.came)
        return call

    def on_settings(self) -> None: ...
    def on_goaway(self, code: int) -> None: ...

    def on_lost(self, link: Connection, why: str) -> None:
        self.front.lost(link, why)


class ClientCall:
    """One call of a client, from its headers to its one answer."""

    __slots__ = (
        "front",
        "stream",
        "request",
        "arrived",
        "body",
        "walk",
        "invocation",
        "source",
        "_granted",
        "_answered",
    )

    def __init__(self, front: Front, stream: Stream, headers: Headers) -> None:
        self.front, self.stream = front, stream
        self.arrived = front.clock.arrival_time()
        self.body: list[bytes] = []
        self.walk = MessageScanner(front.bounds.message)
        self.invocation: Invocation | None = None
        self.source: Stream | None = None  # the appliance's stream that is passed on
        self._granted = 0  # bytes under way to the client that it was granted room for already
        self._answered = False
        self.request: grpc_mapping.RequestHeaders | None = None
        try:
            self.request = grpc_mapping.read_request(headers)
        except MalformedError as error:
            self.refuse(Status.INVALID_ARGUMENT, str(error))
            return
        if not self.request.content_type.startswith(grpc.CONTENT_TYPE):
            # the protocol's own answer to what is no gRPC at all
            self._answered = True
            stream.send_headers([(b":status", b"415")], end=True)
            stream.reset(ErrorCodes.NO_ERROR)
        elif self.request.path not in front.methods and self.request.path not in front.aside:
            self.refuse(
                Status.UNIMPLEMENTED, f"no operation has the method {self.request.path.decode('latin-1')}"
            )

    # ---- the request ----
    def on_headers(self, stream: Stream, headers: Headers) -> None:
        pass

    def on_data(self, stream: Stream, data: bytes) -> None:
        stream.acknowledge(len(data))
        if self._answered:
            return
        try:
            self.walk.feed(data)
        except MalformedError as error:
            self.refuse(
                Status.RESOURCE_EXHAUSTED if "the most" in str(error) else Status.INTERNAL, str(error)
            )
            return
        self.body.append(data)

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        if self._answered:
            return
        if not self.walk.whole or self.walk.messages != 1:
            self.refuse(
                Status.INTERNAL,
                f"the request has {self.walk.messages} whole messages"
                f"{'' if self.walk.whole else ' and a part'}, where one is due",
            )
            return
        asked, front = self.request, self.front
        if (handle := front.aside.get(asked.path)) is not None:
            try:
                handle(b"".join(self.body)[5:])
            except MalformedError as error:
                self.refuse(Status.INVALID_ARGUMENT, str(error))
                return
            self._answered = True
            stream.send_headers(grpc.response_headers())
            stream.send_data(grpc.frame(b""))
            stream.send_trailers(grpc.trailers(0))
            return
        if front.draining:
            stream.reset(ErrorCodes.REFUSED_STREAM)
            return
        operation = front.methods[asked.path]
        limit = operation.time_limit if asked.timeout is None else asked.timeout
        self.invocation = front.engine_host.accept(
            self,
            operation,
            self.arrived,
            limit,
            customer=asked.customer,
            key=asked.key,
            work_hint=asked.hint,
            retry=asked.retry,
            write=asked.write,
        )

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        """The client has left."""
        if self.invocation is not None and not self._answered:
            self._answered = True
            self.front.engine_host.client_left(self.invocation)

    def on_sent(self, stream: Stream, size: int) -> None:
        if self.source is not None:
            known = min(size, self._granted)
            self._granted -= known
            self.source.acknowledge(size - known)

    # ---- the answer ----
    def refuse(self, status: int, text: str) -> None:
        """Not taken at all."""
        self._answered = True
        self.body = []
        self.stream.send_headers(grpc_mapping.refused(status, text), end=True)
        if not self.stream.end_received:
            self.stream.reset(ErrorCodes.NO_ERROR)  # the rest of the request is not wanted

    def begin(self, source: Stream, head: Headers, body: list[bytes]) -> None:
        """Pass on what there is of an answer; what follows comes by data(). The source is granted room as the
        client takes it."""
        self.source, self._granted = source, sum(map(len, body))
        self.stream.send_headers(_passed(head))
        for piece in body:
            self.stream.send_data(piece)

    def data(self, piece: bytes) -> None:
        self.stream.send_data(piece)

    def succeed(self, head: Headers, body: list[bytes], tail: Headers) -> None:
        self._answered, self.body = True, []
        if self.source is not None:
            self.stream.send_trailers(_passed(tail))
        elif head:
            self.stream.send_headers(_passed(head))
            for piece in body:
                self.stream.send_data(piece)
            self.stream.send_trailers(_passed(tail))
        else:
            self.stream.send_headers(_passed(tail), end=True)
        self._expect()

    def throttle(self, retry_after: int) -> None:
        self._answered, self.body = True, []
        self.stream.send_headers(grpc_mapping.throttled(retry_after), end=True)

    def terminate(self) -> None:
        self._answered, self.body = True, []
        if self.source is None:
            self.stream.send_headers(grpc_mapping.terminated(), end=True)
        else:
            self.stream.send_trailers(grpc_mapping.terminated(begun=True))
            self._expect()

    def _expect(self) -> None:
        """A client that does not read its answer by its time gets no more of it, and the memory is free again."""
        if not self.stream.end_sent and not self.stream.closed:
            self.front.owe(self)

    def unread(self, now: int) -> bool:
        """Whether there is still more to say; its time over, it is not said."""
        if self.stream.end_sent or self.stream.closed:
            return False
        if now >= self.invocation.deadline:
            self.front.log_event("answer_unread", invocation=self.invocation.id, queued=self.stream.queued)
            self.stream.reset()
            return False
        return True


def _passed(headers: Headers) -> list[tuple[bytes, bytes]]:
    """What of an appliance's header block goes to the client: all but the hop's own."""
    return [(name, value) for name, value in headers if name not in (b"connection", b"content-length")]
