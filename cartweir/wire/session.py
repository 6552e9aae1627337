"""One HTTP/2 connection without I/O: h2 for frames and states, and on top of it queues by stream that obey both
flow-control windows, windows that open only as the reader takes what came, and plain words for how a stream ended.

Bytes in by receive(), bytes out by pump(). News goes to the listener of each stream and to the session's owner.
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

WIDEST = 2**31 - 1
# How a stream can end before its time, as far as its work is concerned.
RESET, REFUSED, UNPROCESSED, CONNECTION_LOST = "reset", "refused", "unseen", "lost"


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """What this side grants the other; sizes in bytes."""

    streams: int = 1000  # at once, opened by the other side
    window: int = 256 * 1024  # of each stream: what may be under way unread
    header_list: int = 32 * 1024  # of one header block, as HTTP/2 counts it


class StreamListener(Protocol):
    """Hears what happens on one stream. May send on it, or reset it, from within."""

    def on_headers(self, stream: Stream, headers: Headers) -> None: ...

    def on_data(self, stream: Stream, data: bytes) -> None:
        """The reader owes a stream.acknowledge(len(data)) once it has room for more."""

    def on_end(self, stream: Stream, trailers: Headers) -> None:
        """The other side has said all; trailers may be empty, or all there is of the answer."""

    def on_aborted(self, stream: Stream, how: str, code: int) -> None:
        """Ended before its time: RESET by the other side, REFUSED or UNSEEN (it never ran), LOST with the link."""

    def on_sent(self, stream: Stream, size: int) -> None:
        """So many bytes of what was queued have gone out."""


class Owner(Protocol):
    def on_stream(self, stream: Stream, headers: Headers) -> StreamListener:
        """A server's: the other side opened a stream."""

    def on_settings(self) -> None:
        """The other side's settings have come or changed."""

    def on_goaway(self, code: int) -> None:
        """GOAWAY: no new stream can be opened here."""


class Stream:
    """One stream of a session, from our side."""

    __slots__ = (
        "session",
        "id",
        "listener",
        "_queue",
        "queued",
        "_tail",
        "_ending",
        "_got_headers",
        "_untaken",
        "end_sent",
        "end_received",
        "closed",
    )

    def __init__(self, session: Session, stream_id: int, listener: StreamListener | None) -> None:
        self.session, self.id, self.listener = session, stream_id, listener
        self._queue: deque[memoryview] = deque()
        self.queued = 0  # bytes that wait for the windows
        self._tail: Headers | None = None  # trailers that follow them
        self._ending = False
        self._got_headers = False
        self._untaken = 0  # bytes taken by the reader, but not yet granted anew
        self.end_sent = self.end_received = self.closed = False

    def send_headers(self, headers: Headers, end: bool = False) -> None:
        if not self.closed:
            self.session._send_headers(self, headers, end)

    def send_data(self, data: bytes, end: bool = False) -> None:
        """Queued until the windows let it out."""
        if self.closed or self._ending:
            return
        if data:
            self._queue.append(memoryview(data))
            self.queued += len(data)
        self._ending = end
        self.session._ready(self)

    def send_trailers(self, headers: Headers) -> None:
        """Ends our side, behind what is queued."""
        if self.closed or self._ending:
            return
        self._tail, self._ending = headers, True
        self.session._ready(self)

    def acknowledge(self, size: int) -> None:
        """The reader has room for so many bytes more."""
        self._untaken += size
        if not (self.closed or self.end_received) and self._untaken * 2 >= self.session.limits.window:
            self.session._grant(self)

    def reset(self, code: int = ErrorCodes.CANCEL) -> None:
        """Ends the stream at once; its listener hears no more."""
        self.session._reset(self, code)


class _Frames(H2Connection):
    """h2 takes a connection for closed once GOAWAY has come; the streams up to its mark may still be answered."""

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list, list]:
        event = events.ConnectionTerminated()
        event.error_code, event.last_stream_id = frame.error_code, frame.last_stream_id
        return [], [event]

    def take(self, data: bytes) -> tuple[list[events.Event], str | None]:
        """As receive_data(), which forgets what came before a fault in the same piece: news, and the fault."""
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
    """Either end of a connection. Raises nothing on the other side's faults: `broken` then tells, and the bytes
    that pump() gives still hold the GOAWAY that says so. `wake` is called whenever pump() may have more."""

    def __init__(self, client: bool, limits: SessionLimits, owner: Owner) -> None:
        self.client, self.limits, self.owner = client, limits, owner
        self.streams: dict[int, Stream] = {}
        self.broken: str | None = None  # why no more can be done
        self.closing = False  # GOAWAY has come or gone: no new streams
        self.pending_pings: set[bytes] = set()
        self.wake: Callable[[], None] = lambda: None
        self._waiting: dict[int, Stream] = {}  # streams with something to send, in turn
        self._blocked: dict[int, Stream] = {}  # those for which a window is shut
        self._heard = 0  # bytes of DATA that the connection's window has not been given back
        config = H2Configuration(
            client_side=client,
            header_encoding=None,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
            validate_inbound_headers=True,
        )
        self._h2 = _Frames(config)
        # a slow stream holds its own window only: the connection's is as wide as can be
        self._h2.local_settings = type(self._h2.local_settings)(
            client=client,
            initial_values={
                SettingCodes.ENABLE_PUSH: 0,
                SettingCodes.MAX_CONCURRENT_STREAMS: limits.streams,
                SettingCodes.INITIAL_WINDOW_SIZE: limits.window,
                SettingCodes.MAX_HEADER_LIST_SIZE: limits.header_list,
                SettingCodes.MAX_FRAME_SIZE: 16384,
            },
        )
        if not client:
            del self._h2.local_settings[SettingCodes.ENABLE_PUSH]
        self._h2.decoder.max_header_list_size = limits.header_list
        self._h2.max_inbound_frame_size = 16384
        self._h2.initiate_connection()
        # from here on we count: h2 would end the connection over a stream too many, we refuse the stream
        del self._h2.local_settings[SettingCodes.MAX_CONCURRENT_STREAMS]
        self._h2.increment_flow_control_window(WIDEST - 65535)

    # ---- what the owner does ----
    @property
    def can_open_stream(self) -> bool:
        """A new stream may be opened now."""
        return (
            not self.broken
            and not self.closing
            and (len(self.streams) < self._h2.remote_settings.max_concurrent_streams)
        )

    def open(self, headers: Headers, listener: StreamListener, end: bool = False) -> Stream:
        """A client's: raises RuntimeError where there is no room."""
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
        self.wake()
        return stream

    def send_goaway(self, code: int = ErrorCodes.NO_ERROR) -> None:
        """GOAWAY; streams that are open may end in peace."""
        if not self.closing and not self.broken:
            self.closing = True
            # h2 refuses every frame behind its own GOAWAY, so it is written here by hand
            last = self._h2.highest_inbound_stream_id
            self._h2._data_to_send += (
                b"\x00\x00\x08\x07\x00\x00\x00\x00\x00"
                + last.to_bytes(4, "big")
                + int(code).to_bytes(4, "big")
            )
            self.wake()

    def ping(self, payload: bytes) -> None:
        """Eight bytes; they stand in pings_due until the other side has sent them back."""
        if not self.broken:
            self.pending_pings.add(payload)
            self._h2.ping(payload)
            self.wake()

    def receive(self, data: bytes) -> None:
        if self.broken:
            return
        news, fault = self._h2.take(data)
        for event in news:
            handle = _HANDLERS.get(type(event))
            if handle is not None:
                handle(self, event)
        if fault is not None:
            self.fail(fault)
            return
        if self._heard * 2 >= WIDEST:
            self._h2.increment_flow_control_window(self._heard)
            self._heard = 0
        self.wake()

    def fail(self, reason: str) -> None:
        """The connection is of no more use; every open stream is LOST."""
        if self.broken is None:
            self.broken = reason
            for stream in list(self.streams.values()):
                self._drop(stream, CONNECTION_LOST, 0)

    def take_output(self, room: int) -> bytes:
        """What is to be written next, with about `room` bytes of bodies at most; streams take turns."""
        while self._waiting and room > 0 and not self.broken:
            room -= self._push(self._waiting.pop(next(iter(self._waiting))), room)
        return self._h2.data_to_send()

    @property
    def waiting(self) -> bool:
        """pump() would have more if given more room."""
        return bool(self._waiting)

    # ---- sending ----
    def _send_headers(self, stream: Stream, headers: Headers, end: bool) -> None:
        try:
            self._h2.send_headers(stream.id, headers, end_stream=end)
        except exceptions.StreamClosedError:
            return
        if end:
            stream._ending = True
            self._said_all(stream)
        self.wake()

    def _ready(self, stream: Stream) -> None:
        if stream.id not in self._blocked:
            self._waiting[stream.id] = stream
            self.wake()

    def _push(self, stream: Stream, room: int) -> int:
        """One frame of a stream, if the windows allow it; it then goes to the end of the row. Returns bytes moved."""
        try:
            if stream.queued:
                return self._push_data(stream, room)
            if stream._tail is not None:
                self._h2.send_headers(stream.id, stream._tail, end_stream=True)
                self._said_all(stream)
            elif stream._ending:
                self._h2.send_data(stream.id, b"", end_stream=True)
                self._said_all(stream)
        except exceptions.StreamClosedError:
            pass  # the reset that closed it is among the news at hand
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
        last = size == stream.queued and stream._ending and stream._tail is None
        self._h2.send_data(stream.id, piece[:size], end_stream=last)
        stream.queued -= size
        if size == len(piece):
            stream._queue.popleft()
        else:
            stream._queue[0] = piece[size:]
        listener = stream.listener
        if last:
            self._said_all(stream)
        elif stream.queued or stream._ending:
            self._waiting[stream.id] = stream
        if listener is not None:
            listener.on_sent(stream, size)
        return size

    def _said_all(self, stream: Stream) -> None:
        stream.end_sent = True
        if stream.end_received:
            self._forget(stream)

    def _grant(self, stream: Stream) -> None:
        size, stream._untaken = stream._untaken, 0
        try:
            self._h2.increment_flow_control_window(size, stream.id)
        except (exceptions.StreamClosedError, exceptions.NoSuchStreamError):
            return
        self.wake()

    def _reset(self, stream: Stream, code: int) -> None:
        if not stream.closed:
            self._forget(stream)
            if not self.broken:
                try:
                    self._h2.reset_stream(stream.id, code)
                except exceptions.StreamClosedError:
                    return
                self.wake()

    # ---- ends ----
    def _forget(self, stream: Stream) -> None:
        """It and its listener know each other no more: what is in no cycle is freed at once, and the collector, which
        would stop the loop for it, finds nothing to do."""
        stream.closed, stream.listener = True, None
        stream._queue.clear()
        stream.queued = 0
        self.streams.pop(stream.id, None)
        self._waiting.pop(stream.id, None)
        self._blocked.pop(stream.id, None)

    def _drop(self, stream: Stream, how: str, code: int) -> None:
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
        self._heard += event.flow_controlled_length
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
            self._drop(stream, REFUSED if code == ErrorCodes.REFUSED_STREAM else RESET, code)

    def _on_goaway(self, event: events.ConnectionTerminated) -> None:
        self.closing, last = True, event.last_stream_id or 0
        if self.client:
            for stream in [s for s in self.streams.values() if s.id > last]:
                self._drop(stream, UNPROCESSED, int(event.error_code))
        self.owner.on_goaway(int(event.error_code))

    def _on_window(self, event: events.WindowUpdated) -> None:
        if event.stream_id == 0:
            self._unblock()
        elif (stream := self._blocked.pop(event.stream_id, None)) is not None:
            self._waiting[stream.id] = stream

    def _unblock(self) -> None:
        self._waiting.update(self._blocked)
        self._blocked.clear()

    def _on_settings(self, event: events.RemoteSettingsChanged) -> None:
        self._unblock()  # the windows of all streams may have changed
        self.owner.on_settings()

    def _on_pong(self, event: events.PingAckReceived) -> None:
        self.pending_pings.discard(event.ping_data)


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
