"""Receivers of streamed answers: real HTTP/2 sessions in memory, whose bytes are counted, not written."""

from __future__ import annotations

from ..wire import grpc
from ..wire.calls import Request
from ..wire.grpc import Headers
from ..wire.session import Session, SessionLimits, Stream, StreamListener
from .workload import Counts

ROOM = 1 << 20  # bytes of bodies that a session may give at once


class CountedRequest(Request):
    """A request whose answer is a stream; each message passes gRPC and HTTP/2 framing and is counted."""

    def __init__(self, counts: Counts, path: str, message: bytes) -> None:
        """message: the request's own, as the receiver sent it."""
        client, server = (
            Session(True, SessionLimits(), _Side(self)),
            Session(False, SessionLimits(), _Side(self)),
        )
        headers = grpc.request_headers(path.encode(), b"127.0.0.1:1", None, ())
        client.open(headers, self).send_data(grpc.frame(message), end=True)
        self.counts = counts
        super().__init__(path, headers, message, stream=None, connection=None)
        for _ in range(2):  # settings of both sides, and their acknowledgements
            server.receive(client.take_output(ROOM))
            client.receive(server.take_output(ROOM))

    def send(self, message: bytes) -> None:
        """Count what would be written."""
        super().send(message)
        self.counts.add_message(len(self.stream.session.take_output(ROOM)))

    def on_sent(self, stream: Stream, size: int) -> None:
        """Nothing waits for it."""


class _Ignoring:
    """A listener to whom it does not matter what comes."""

    def on_headers(self, stream: Stream, headers: Headers) -> None: ...
    def on_data(self, stream: Stream, data: bytes) -> None: ...
    def on_end(self, stream: Stream, trailers: Headers) -> None: ...
    def on_aborted(self, stream: Stream, how: str, code: int) -> None: ...
    def on_sent(self, stream: Stream, size: int) -> None: ...


class UnaryCall(_Ignoring):
    """The bytes of one unary call on a connection that stands, both ways, as h2 and HPACK write them."""

    def __init__(self, path: str) -> None:
        """A connection on which a call was made before, so that headers are known by index."""
        self.path = path
        self._client = Session(True, SessionLimits(), _Side(self))
        self._server = Session(False, SessionLimits(), _Side(self))
        self.stream: Stream | None = None
        for _ in range(2):  # settings and their acknowledgements, then headers
            self.bytes_of(b"")

    def bytes_of(self, message: bytes) -> int:
        """Of a call with this message, answered by an empty one."""
        headers = grpc.request_headers(self.path.encode(), b"127.0.0.1:1", None, ())
        self._client.open(headers, self).send_data(grpc.frame(message), end=True)
        asked = self._passed(self._client, self._server)
        self.stream.send_headers(grpc.response_headers())
        self.stream.send_data(grpc.frame(b""))
        self.stream.send_trailers(grpc.trailers(0, "", ()))
        return asked + self._passed(self._server, self._client)

    @staticmethod
    def _passed(sender: Session, receiver: Session) -> int:
        data = sender.take_output(ROOM)
        receiver.receive(data)
        return len(data)


class _Side:
    """The owner of one end of the connection."""

    def __init__(self, request: CountedRequest | UnaryCall) -> None:
        self.request = request

    def on_stream(self, stream: Stream, headers: Headers) -> StreamListener:
        self.request.stream = stream
        return self.request

    def on_settings(self) -> None: ...

    def on_goaway(self, code: int) -> None: ...
