"""One HTTP/2 connection without I/O.

h2 handles frames and states. On top of it are a queue for each stream that obeys both flow-control windows,
windows that open only as the reader takes what arrived, and a plain reason for each stream that ended early.

Input goes in by `Session.receive`, output comes out by `Session.take_output`. Events go to the listener of
each stream and to the session's owner.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from h2 import events, exceptions
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.settings import SettingCodes
from hyperframe.exceptions import InvalidPaddingError
from hyperframe.frame import GoAwayFrame

from .grpc import Headers
from .pieces import MIN_PIECE_BYTES

MAX_WINDOW = 2**31 - 1  # bytes; the largest flow-control window of HTTP/2
DEFAULT_WINDOW = 65_535  # bytes; of a connection as it starts
MAX_FRAME_SIZE = 16_384  # bytes of input

# What h2 raises for a stream that the peer has reset among the events in hand. Once another stream has begun
# behind it, h2 has forgotten it and takes its number for one that is used again.
_STREAM_GONE = (exceptions.StreamClosedError, exceptions.StreamIDTooLowError)

# How a stream can end early, as far as the request on it is concerned.
RESET = "reset"  # by the peer
REFUSED = "refused"  # by the peer, before the request could run
UNPROCESSED = "unseen"  # GOAWAY says that the peer has not processed it
CONNECTION_LOST = "lost"


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """What one end grants the other.

    Attributes:
        streams: Streams at a time that the other end may open.
        window: Bytes on each stream that may be sent before the reader takes them.
        header_list: Bytes of one header block, as HTTP/2 counts them.
    """

    streams: int = 1000
    window: int = 256 * 1024
    header_list: int = 32 * 1024


class StreamListener(Protocol):
    """Handles the events of one stream. It may send on the stream, or reset it, from within a method."""

    def on_headers(self, stream: Stream, headers: Headers) -> None:
        """The first headers of a response have arrived."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Data has arrived; call stream.acknowledge(len(data)) once there is room for more."""

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        """The peer has sent everything; trailers may be empty, or the only headers of the response."""

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        """The stream ended early: RESET, REFUSED, UNPROCESSED or CONNECTION_LOST, with HTTP/2's error code.

        A request that was REFUSED or UNPROCESSED never ran.
        """

    def on_sent(self, stream: Stream, size: int) -> None:
        """So many queued bytes have become output."""


class SessionOwner(Protocol):
    """Handles the events that concern the whole connection."""

    def on_stream(self, stream: Stream, headers: Headers) -> StreamListener:
        """The peer, a client, has opened a stream; returns the stream's listener."""

    def on_settings(self) -> None:
        """The peer's settings have arrived or changed."""

    def on_goaway(self, code: int) -> None:
        """The peer has sent GOAWAY: no new stream can be opened here."""


class Stream:
    """One stream of a session, seen from this end.

    Attributes:
        id: The stream's number.
        queued: Bytes that wait for the flow-control windows.
        end_sent: This end has sent everything.
        end_received: The peer has sent everything.
        closed: The stream has ended, and its listener gets no more events.
    """

    __slots__ = (
        "_ending",
        "_got_headers",
        "_queue",
        "_trailers",
        "_ungranted",
        "closed",
        "end_received",
        "end_sent",
        "id",
        "listener",
        "queued",
        "session",
    )

    def __init__(self, session: Session, stream_id: int, listener: StreamListener | None) -> None:
        self.session, self.id, self.listener = session, stream_id, listener
        self._queue: deque[memoryview] = deque()
        self.queued = 0
        self._trailers: Headers | None = None  # that follow the queue
        self._ending = False  # the queue and trailers are the rest
        self._got_headers = False
        self._ungranted = 0  # bytes taken by the reader and not yet granted again
        self.end_sent = self.end_received = self.closed = False

    def send_headers(self, headers: Headers, end: bool = False) -> None:
        """Sends headers at once; end: nothing follows."""
        if not self.closed:
            self.session._send_headers(self, headers, end)

    def send_data(self, data: bytes, end: bool = False) -> None:
        """Queues data until the windows allow it to be sent; end: nothing follows."""
        if self.closed or self._ending:
            return
        if data:
            if self._queue and len(self._queue[-1]) < MIN_PIECE_BYTES:
                data_before = self._queue.pop()
                self._queue.append(memoryview(bytes(data_before) + data))
            else:
                self._queue.append(memoryview(data))
            self.queued += len(data)
        self._ending = end
        self.session._schedule(self)

    def send_trailers(self, headers: Headers) -> None:
        """Sends trailers after the queued data, and ends this side."""
        if self.closed or self._ending:
            return
        self._trailers, self._ending = headers, True
        self.session._schedule(self)

    def acknowledge(self, size: int) -> None:
        """The reader has room for so many more bytes."""
        self._ungranted += size
        if not (self.closed or self.end_received) and self._ungranted * 2 >= self.session.limits.window:
            self.session._grant(self)

    def reset(self, code: int = ErrorCodes.CANCEL) -> None:
        """Ends the stream at once; its listener gets no more events."""
        self.session._reset(self, code)


class _FrameConnection(H2Connection):
    """h2's connection, changed in two points, and with what it knows of incomplete input.

    h2 takes a connection for closed once GOAWAY has arrived, while streams up to the last one that GOAWAY
    names may still be answered. And h2 drops the events of one piece of input that precede an error in it.
    """

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list, list]:
        event = events.ConnectionTerminated()
        event.error_code, event.last_stream_id = frame.error_code, frame.last_stream_id
        return [], [event]

    @property
    def input_is_incomplete(self) -> bool:
        """Whether a frame or a block of headers has begun and not ended."""
        return bool(self.incoming_buffer._data or self.incoming_buffer._headers_buffer)

    def receive(self, data: bytes) -> tuple[list[events.Event], str | None]:
        """Returns the events of some input, and the protocol error that ended it, if any."""
        found: list[events.Event] = []
        self.incoming_buffer.max_frame_size = self.max_inbound_frame_size
        try:
            self.incoming_buffer.add_data(data)
            for frame in self.incoming_buffer:
                found.extend(self._receive_frame(frame))
        except exceptions.ProtocolError as error:
            self._terminate_connection(error.error_code)
            return found, f"{type(error).__name__}: {error}"
        except (InvalidPaddingError, ValueError, IndexError) as error:
            self._terminate_connection(ErrorCodes.PROTOCOL_ERROR)
            return found, f"{type(error).__name__}: {error}"
        return found, None


class Session:
    """Either end of a connection.

    It raises nothing for the peer's errors: `failure` then holds the reason, and the output still contains
    the GOAWAY that reports it.

    Attributes:
        client: Whether this end opened the connection.
        streams: Open streams by number.
        failure: Why the connection is of no more use; None while it works.
        closing: GOAWAY was sent or received: there are no new streams.
        pending_pings: Payloads of pings that the peer has not answered.
        calls_taken: Calls that the owner has taken so far; it counts them.
        got_settings: Whether the peer's first SETTINGS have arrived.
        inputs_ended: Pieces of input so far in which at least one frame ended.
        begins_cancelled: Whether a request is begun that was cancelled before it was read.
        on_output: Called whenever `take_output` may have more.
    """

    def __init__(self, client: bool, limits: SessionLimits, owner: SessionOwner) -> None:
        self.client, self.limits, self.owner = client, limits, owner
        self.streams: dict[int, Stream] = {}
        self.failure: str | None = None
        self.closing = False
        self.pending_pings: set[bytes] = set()
        self.begins_cancelled = True
        self.calls_taken = self.inputs_ended = 0
        self.got_settings = False
        self.on_output: Callable[[], None] = lambda: None
        self._sending: dict[int, Stream] = {}  # streams with something to send, in turn
        self._blocked: dict[int, Stream] = {}  # streams that a flow-control window blocks
        self._ungranted = 0  # bytes of DATA that the connection's window has not been given back
        config = H2Configuration(
            client_side=client,
            header_encoding=None,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
            validate_inbound_headers=True,
        )
        self._h2 = _FrameConnection(config)
        # The connection's window is as large as possible, so that a slow stream holds up only itself.
        self._h2.local_settings = type(self._h2.local_settings)(
            client=client,
            initial_values={
                SettingCodes.ENABLE_PUSH: 0,
                SettingCodes.MAX_CONCURRENT_STREAMS: limits.streams,
                SettingCodes.INITIAL_WINDOW_SIZE: limits.window,
                SettingCodes.MAX_HEADER_LIST_SIZE: limits.header_list,
                SettingCodes.MAX_FRAME_SIZE: MAX_FRAME_SIZE,
            },
        )
        if not client:
            del self._h2.local_settings[SettingCodes.ENABLE_PUSH]
        self._h2.decoder.max_header_list_size = limits.header_list
        self._h2.max_inbound_frame_size = MAX_FRAME_SIZE
        self._h2.initiate_connection()
        # Streams are counted here from now on: h2 would end the connection because of a stream too many,
        # while the session refuses that stream.
        del self._h2.local_settings[SettingCodes.MAX_CONCURRENT_STREAMS]
        self._h2.increment_flow_control_window(MAX_WINDOW - DEFAULT_WINDOW)

    # ---- for the owner ----
    @property
    def can_open_stream(self) -> bool:
        """Whether a new stream may be opened now."""
        return (
            not self.failure
            and not self.closing
            and (len(self.streams) < self._h2.remote_settings.max_concurrent_streams)
        )

    @property
    def input_is_incomplete(self) -> bool:
        """Whether the preface, the first SETTINGS, a frame or a block of headers has not ended yet."""
        return not self.got_settings or self._h2.input_is_incomplete

    @property
    def owes_answers(self) -> bool:
        """Whether the peer has sent a whole request, and the answer has not been sent completely."""
        return any(stream.end_received for stream in self.streams.values())

    def open(self, headers: Headers, listener: StreamListener, end: bool = False) -> Stream:
        """Opens a stream, at a client.

        Args:
            headers: Headers of the request.
            listener: Handles the stream's events.
            end: Whether nothing follows the headers.

        Raises:
            RuntimeError: No stream may be opened now.
        """
        if not self.can_open_stream:
            raise RuntimeError("no room for a stream")
        try:
            stream_id = self._h2.get_next_available_stream_id()
        except exceptions.NoAvailableStreamIDError:
            self.closing = True
            raise RuntimeError("stream ids of the connection are used up") from None
        stream = Stream(self, stream_id, listener)
        self.streams[stream_id] = stream
        self._h2.send_headers(stream_id, headers, end_stream=end)
        stream.end_sent = stream._ending = end
        self.on_output()
        return stream

    def send_goaway(self, code: int = ErrorCodes.NO_ERROR) -> None:
        """Announces that no new streams are accepted; open ones go on to their end."""
        if not self.closing and not self.failure:
            self.closing = True
            # Written by hand, as h2 refuses to send any frame after its own GOAWAY.
            last = self._h2.highest_inbound_stream_id
            self._h2._data_to_send += (
                b"\x00\x00\x08\x07\x00\x00\x00\x00\x00"
                + last.to_bytes(4, "big")
                + int(code).to_bytes(4, "big")
            )
            self.on_output()

    def ping(self, payload: bytes) -> None:
        """Sends eight bytes, which stay in `pending_pings` until the peer has sent them back."""
        if not self.failure:
            self.pending_pings.add(payload)
            self._h2.ping(payload)
            self.on_output()

    def receive(self, data: bytes) -> None:
        """Handles input."""
        if self.failure:
            return
        found, error = self._h2.receive(data)
        if found:
            self.inputs_ended += 1
        for event in found if self.begins_cancelled else _without_cancelled(found):
            handle = _HANDLERS.get(type(event))
            if handle is not None and not self.failure:  # the owner may close the connection in between
                handle(self, event)
        if error is not None:
            self.fail(error)
            return
        if self._ungranted * 2 >= MAX_WINDOW:
            self._h2.increment_flow_control_window(self._ungranted)
            self._ungranted = 0
        self.on_output()

    def fail(self, reason: str) -> None:
        """Gives up the connection; every open stream ends as CONNECTION_LOST."""
        if self.failure is None:
            self.failure = reason
            for stream in list(self.streams.values()):
                self._abort(stream, CONNECTION_LOST, 0)

    def take_output(self, room: int) -> bytes:
        """Returns what is to be written next, with about `room` bytes of data at most; streams take turns."""
        while self._sending and room > 0 and not self.failure:
            room -= self._push(self._sending.pop(next(iter(self._sending))), room)
        return self._h2.data_to_send()

    @property
    def output_pending(self) -> bool:
        """Whether `take_output` would return more if given more room."""
        return bool(self._sending)

    # ---- sending ----
    def _send_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        try:
            self._h2.send_headers(stream.id, headers, end_stream=end)
        except _STREAM_GONE:
            return
        if end:
            stream._ending = True
            self._mark_end_sent(stream)
        self.on_output()

    def _schedule(self, stream: Stream) -> None:
        if stream.id not in self._blocked:
            self._sending[stream.id] = stream
            self.on_output()

    def _push(self, stream: Stream, room: int) -> int:
        """Sends one frame of a stream if the windows allow it, and puts the stream last in turn.

        Returns the bytes of data sent.
        """
        try:
            if stream.queued:
                return self._push_data(stream, room)
            if stream._trailers is not None:
                self._h2.send_headers(stream.id, stream._trailers, end_stream=True)
                self._mark_end_sent(stream)
            elif stream._ending:
                self._h2.send_data(stream.id, b"", end_stream=True)
                self._mark_end_sent(stream)
        except _STREAM_GONE:
            pass
        return 0

    def _push_data(self, stream: Stream, room: int) -> int:
        piece = stream._queue[0]
        size = min(
            self._h2.local_flow_control_window(stream.id),
            len(piece),
            self._h2.max_outbound_frame_size,
            room,
        )
        if size <= 0:
            self._blocked[stream.id] = stream
            return 0
        last = size == stream.queued and stream._ending and stream._trailers is None
        self._h2.send_data(stream.id, piece[:size], end_stream=last)
        stream.queued -= size
        if size == len(piece):
            stream._queue.popleft()
        else:
            stream._queue[0] = piece[size:]
        listener = stream.listener
        if last:
            self._mark_end_sent(stream)
        elif stream.queued or stream._ending:
            self._sending[stream.id] = stream
        if listener is not None:
            listener.on_sent(stream, size)
        return size

    def _mark_end_sent(self, stream: Stream) -> None:
        stream.end_sent = True
        if stream.end_received:
            self._forget(stream)

    def _grant(self, stream: Stream) -> None:
        size, stream._ungranted = stream._ungranted, 0
        try:
            self._h2.increment_flow_control_window(size, stream.id)
        except (exceptions.StreamClosedError, exceptions.NoSuchStreamError):
            return
        self.on_output()

    def _reset(self, stream: Stream, code: int) -> None:
        if not stream.closed:
            self._forget(stream)
            if not self.failure:
                try:
                    self._h2.reset_stream(stream.id, code)
                except exceptions.StreamClosedError:
                    return
                self.on_output()

    # ---- ends ----
    def _forget(self, stream: Stream) -> None:
        """Forgets a stream and parts it from its listener.

        What is in no reference cycle is freed at once, and the garbage collector, which would stop the loop
        for it, finds nothing to do.
        """
        stream.closed, stream.listener = True, None
        stream._queue.clear()
        stream.queued = 0
        self.streams.pop(stream.id, None)
        self._sending.pop(stream.id, None)
        self._blocked.pop(stream.id, None)

    def _abort(self, stream: Stream, how: str, code: int) -> None:
        if not stream.closed:
            listener = stream.listener
            self._forget(stream)
            if listener is not None:
                listener.on_aborted(stream, how, code)

    # ---- h2's events ----
    def _on_request(self, event: events.RequestReceived) -> None:
        stream = Stream(self, event.stream_id, None)
        self.streams[stream.id] = stream
        if self.closing or len(self.streams) > self.limits.streams:
            self._reset(stream, ErrorCodes.REFUSED_STREAM)
            return
        stream._got_headers = True
        stream.listener = self.owner.on_stream(stream, event.headers)

    def _on_response(self, event: events.ResponseReceived) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            stream._got_headers = True
            if event.stream_ended is None:
                stream.listener.on_headers(stream, event.headers)
            else:
                self._end(stream, event.headers)

    def _on_trailers(self, event: events.TrailersReceived) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            self._end(stream, event.headers)

    def _on_data(self, event: events.DataReceived) -> None:
        self._ungranted += event.flow_controlled_length
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            if padding := event.flow_controlled_length - len(event.data):
                stream.acknowledge(padding)
            if event.data:
                stream.listener.on_data(stream, event.data)

    def _on_ended(self, event: events.StreamEnded) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None and not stream.end_received:
            self._end(stream, ())

    def _end(self, stream: Stream, trailers: Headers) -> None:
        stream.end_received, listener = True, stream.listener
        if stream.end_sent:
            self._forget(stream)
        listener.on_end(stream, trailers)

    def _on_reset(self, event: events.StreamReset) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            code = int(event.error_code)
            self._abort(stream, REFUSED if code == ErrorCodes.REFUSED_STREAM else RESET, code)

    def _on_goaway(self, event: events.ConnectionTerminated) -> None:
        self.closing, last = True, event.last_stream_id or 0
        if self.client:
            for stream in [s for s in self.streams.values() if s.id > last]:
                self._abort(stream, UNPROCESSED, int(event.error_code))
        self.owner.on_goaway(int(event.error_code))

    def _on_window(self, event: events.WindowUpdated) -> None:
        if event.stream_id == 0:
            self._unblock()
        elif (stream := self._blocked.pop(event.stream_id, None)) is not None:
            self._sending[stream.id] = stream

    def _unblock(self) -> None:
        self._sending.update(self._blocked)
        self._blocked.clear()

    def _on_settings(self, event: events.RemoteSettingsChanged) -> None:
        self.got_settings = True
        self._unblock()  # the windows of all streams may have changed
        self.owner.on_settings()

    def _on_pong(self, event: events.PingAckReceived) -> None:
        self.pending_pings.discard(event.ping_data)


def _without_cancelled(found: list[events.Event]) -> list[events.Event]:
    """Returns the events without the requests whose streams are reset by a later one."""
    cancelled = {event.stream_id for event in found if type(event) is events.StreamReset}
    if not cancelled:
        return found
    return [
        event
        for event in found
        if type(event) is not events.RequestReceived or event.stream_id not in cancelled
    ]


_HANDLERS = {
    events.RequestReceived: Session._on_request,
    events.ResponseReceived: Session._on_response,
    events.TrailersReceived: Session._on_trailers,
    events.DataReceived: Session._on_data,
    events.StreamEnded: Session._on_ended,
    events.WindowUpdated: Session._on_window,
    events.StreamReset: Session._on_reset,
    events.ConnectionTerminated: Session._on_goaway,
    events.RemoteSettingsChanged: Session._on_settings,
    events.PingAckReceived: Session._on_pong,
}
