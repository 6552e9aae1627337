"""Reads recordings of sockets into exchanges.

This shares no code with the agent's own HTTP/2, so that a fault there is seen here.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from hpack import Decoder
from hpack.exceptions import HPACKError
from hyperframe.exceptions import HyperframeError
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    Frame,
    GoAwayFrame,
    HeadersFrame,
    RstStreamFrame,
)

from ..wire.tap import CLOSED, OPENED, READ, WRITTEN, records
from .exchange import Chunk, Exchange, HeaderBlock, Headers, Reset

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_HEADER_SIZE = 9
LARGEST_HEADER_LIST = 1 << 20
ATTEMPT_HEADER = b"x-try"  # the clients of a run mark each attempt with a seed and a number of its own


class _Direction:
    """Reads the bytes of one direction of a connection into frames."""

    def __init__(self) -> None:
        self.is_from_client = False
        self._buffer = bytearray()
        self._decoder = Decoder()
        self._decoder.max_header_list_size = LARGEST_HEADER_LIST
        self._block: tuple[HeadersFrame, bytearray] | None = None
        self._is_garbled = False

    def read_frames(self, data: bytes) -> list[Frame]:
        """Returns the frames that these bytes complete; none any more after bytes that are not HTTP/2."""
        self._buffer += data
        if not self.is_from_client and self._buffer.startswith(PREFACE):
            del self._buffer[: len(PREFACE)]
            self.is_from_client = True
        frames = []
        while (frame := self._next_frame()) is not None:
            frames.append(frame)
        return frames

    def _next_frame(self) -> Frame | None:
        if len(self._buffer) < FRAME_HEADER_SIZE or self._is_garbled:
            return None
        try:
            header = memoryview(bytes(self._buffer[:FRAME_HEADER_SIZE]))
            frame, size = Frame.parse_frame_header(header)
            end = FRAME_HEADER_SIZE + size
            if len(self._buffer) < end:
                return None
            frame.parse_body(memoryview(bytes(self._buffer[FRAME_HEADER_SIZE:end])))
        except HyperframeError:
            self._is_garbled = True
            return None
        del self._buffer[:end]
        return frame

    def read_headers(self, frame: HeadersFrame | ContinuationFrame) -> tuple[HeadersFrame, Headers] | None:
        """Returns a header block, and its first frame, once its last frame has come."""
        if isinstance(frame, HeadersFrame):
            self._block = (frame, bytearray(frame.data))
        elif self._block is not None:
            self._block[1].extend(frame.data)
        if self._block is None or "END_HEADERS" not in frame.flags:
            return None
        first, data = self._block
        self._block = None
        try:
            pairs = self._decoder.decode(bytes(data), raw=True)
        except HPACKError:
            self._is_garbled = True
            return None
        return first, {name.decode("latin-1"): value.decode("latin-1") for name, value in pairs}


class _Connection:
    """The exchanges of one connection."""

    def __init__(self, tap: str, number: int, peer: str, keeps_body: Callable[[str], bool]) -> None:
        self.exchanges: list[Exchange] = []
        self._tap = tap
        self._number = number
        self._peer = peer
        self._keeps_body = keeps_body
        self._directions = {READ: _Direction(), WRITTEN: _Direction()}
        self._open: dict[int, Exchange] = {}

    def on_bytes(self, kind: int, at: int, data: bytes) -> None:
        """Handles bytes that were read or written."""
        direction = self._directions[kind]
        for frame in direction.read_frames(data):
            self._on_frame(direction, kind == WRITTEN, at, frame)

    def on_closed(self, at: int) -> None:
        """Handles the end of the connection."""
        for exchange in self._open.values():
            if exchange.ended_at is None:
                exchange.disconnected_at = at

    def _on_frame(self, direction: _Direction, is_written: bool, at: int, frame: Frame) -> None:
        exchange = self._open.get(frame.stream_id)
        match frame:
            case HeadersFrame() | ContinuationFrame():
                self._on_headers(direction, is_written, at, frame)
            case DataFrame() if exchange:
                if not direction.is_from_client and self._keeps_body(exchange.path):
                    exchange.body.append(Chunk(at, bytes(frame.data)))
                if "END_STREAM" in frame.flags:
                    self._on_end(direction, exchange, at)
            case RstStreamFrame() if exchange:
                if exchange.reset is None:
                    exchange.reset = Reset(at, is_written, frame.error_code)
            case GoAwayFrame() if not direction.is_from_client:
                self._on_goaway(frame.last_stream_id, at)

    def _on_headers(
        self, direction: _Direction, is_written: bool, at: int, frame: HeadersFrame | ContinuationFrame
    ) -> None:
        block = direction.read_headers(frame)
        if block is None:
            return
        first, headers = block
        stream_id = frame.stream_id
        ends_stream = "END_STREAM" in first.flags
        exchange = self._open.get(stream_id)
        if direction.is_from_client and exchange is None:
            exchange = Exchange(self._tap, self._number, stream_id, is_written, self._peer, at, headers)
            self._open[stream_id] = exchange
            self.exchanges.append(exchange)
        elif not direction.is_from_client and exchange is not None:
            exchange.response.append(HeaderBlock(at, headers, ends_stream))
        if ends_stream and exchange is not None:
            self._on_end(direction, exchange, at)

    def _on_end(self, direction: _Direction, exchange: Exchange, at: int) -> None:
        if direction.is_from_client:
            exchange.request_ended_at = at
        else:
            exchange.ended_at_times.append(at)

    def _on_goaway(self, last_stream_id: int, at: int) -> None:
        for exchange in self._open.values():
            if exchange.stream_id > last_stream_id and exchange.ended_at is None:
                exchange.goaway_at = at


@dataclass(eq=False, slots=True)
class Tap:
    """One recording: the times of its first and last record, and the exchanges in it."""

    name: str
    first: int
    last: int
    exchanges: list[Exchange]


def read_tap(path: Path, keeps_body: Callable[[str], bool] = lambda path: False) -> Tap:
    """Reads one recording; `keeps_body` tells of a request's path whether the response body is kept."""
    open_connections: dict[int, _Connection] = {}
    connections: list[_Connection] = []
    first = last = 0
    for record in records(path):
        first, last = first or record.time, record.time
        if record.kind == OPENED:
            _, peer = json.loads(record.data)
            connection = _Connection(path.name, record.link, peer, keeps_body)
            open_connections[record.link] = connection
            connections.append(connection)
        elif record.kind == CLOSED:
            open_connections.pop(record.link).on_closed(record.time)
        else:
            open_connections[record.link].on_bytes(record.kind, record.time, record.data)
    exchanges = [exchange for connection in connections for exchange in connection.exchanges]
    return Tap(path.name, first, last, exchanges)
