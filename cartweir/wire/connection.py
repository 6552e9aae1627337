"""An HTTP/2 session on a socket: feeds it input, and writes its output once a turn of the loop."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from h2.errors import ErrorCodes
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..hosting.clock import monotonic
from ..hosting.receive_queue import closed_by_peer
from ..hosting.tcp import READ_SIZE
from ..logic.reading_time import InputWatch
from .grpc import Headers
from .input_pacer import MAX_TURN_TIME, InputPacer, backlog_turn, callbacks_wait, others_wait
from .session import Session, SessionLimits, Stream, StreamListener

MAX_UNSENT_BYTES = 256 * 1024  # handed to the socket and not yet taken; more stays in the streams' queues
MAX_UNREAD_REPLIES = 64 * 1024  # bytes beyond: replies to frames that the other side sends and does not read


class Tap(Protocol):
    """Sees all bytes that a connection reads or writes, in order."""

    def opened(self, local_address: str, peer_address: str) -> int:
        """Returns a number for a new connection."""

    def transferred(self, connection: int, outgoing: bool, data: bytes) -> None:
        """Bytes were read, or are about to be written."""

    def closed(self, connection: int, why: str) -> None:
        """The connection has ended."""


class ConnectionOwner(Protocol):
    """Opened or accepted a connection, and hears of what concerns the whole of it."""

    def on_stream(self, stream: Stream, headers: Headers) -> StreamListener:
        """The peer opened a stream; returns its listener."""

    def on_settings(self) -> None:
        """The peer's settings have arrived or changed."""

    def on_goaway(self, code: int) -> None:
        """No new stream can be opened any more."""

    def on_lost(self, connection: Connection, why: str) -> None:
        """The connection has ended."""


class Connection:
    """Owns an IOStream until it is closed. Streams are opened through `session`.

    Attributes:
        session: The HTTP/2 session.
        bytes_processed: Bytes of input handled so far, without those being handled now.
        input_since: The earliest time at which the input in hand may have arrived, as far as it waited for
            this connection's own input; in microseconds of the monotonic clock.
        local_address: Address of this end; "?" if unknown.
        peer_address: Address of the other end; "?" if unknown.
        reading: The task that reads.
    """

    def __init__(
        self,
        stream: IOStream,
        client: bool,
        limits: SessionLimits,
        owner: ConnectionOwner,
        tap: Tap | None = None,
    ) -> None:
        """Starts to read and write.

        Args:
            stream: A connected stream.
            client: Whether this end opened the connection.
            limits: What this end grants the other.
            owner: Hears of streams and of the end.
            tap: Sees all bytes.
        """
        self._stream, self._owner, self._tap = stream, owner, tap
        self._descriptor = stream.socket.fileno()
        self.session = Session(client, limits, owner)
        self.session.on_output = self._schedule_flush
        self._flush_scheduled = self._closed = False
        self._unsent = 0
        self._written = asyncio.Event()
        self.bytes_processed = 0
        self.input_since = monotonic()
        self._pacer, self._input_watch = InputPacer(), InputWatch()
        stream.set_nodelay(True)
        self.local_address = _format_address(stream.socket, "getsockname")
        self.peer_address = _format_address(stream.socket, "getpeername")
        self._tap_number = tap.opened(self.local_address, self.peer_address) if tap else 0
        self._paused: asyncio.Event | None = None
        self._loop = IOLoop.current()
        self._schedule_flush()
        self.reading = asyncio.ensure_future(self._read())

    # ---- reading ----
    async def _read(self) -> None:
        why = "closed by the other side"
        waited_since: int | None = None  # since when the next data may wait behind that of the read before
        try:
            while not self._closed:
                if self._paused is not None:
                    await self._paused.wait()
                data = await self._stream.read_bytes(READ_SIZE, partial=True)
                if self._closed:
                    return
                read_at = monotonic()
                self.input_since = read_at if waited_since is None else waited_since
                waited_since = read_at if len(data) > self._pacer.slice_bytes else None
                await self._process(data)
                if self.session.failure:
                    why = self.session.failure
                    break
        except StreamClosedError as error:
            if error.real_error is not None:
                why = str(error.real_error)
        except UnsatisfiableReadError:
            why = "too much to read"
        except Exception as error:  # an internal error ends this connection, and is reported
            why = f"internal error: {error!r}"
            asyncio.get_running_loop().call_exception_handler(
                {"message": f"link {self.peer_address}", "exception": error}
            )
        self.close(why)

    async def _process(self, data: bytes) -> None:
        """Handles input slice by slice, in turn with other connections that wait."""
        await self._until_replies_are_read()
        position = self._process_slices(data, 0)
        while position < len(data):
            await self._until_replies_are_read()
            async with backlog_turn():
                position = self._process_slices(data, position)
                await asyncio.sleep(0)

    def _process_slices(self, data: bytes, position: int) -> int:
        """Handles slices from a position on until another connection waits; returns where they end.

        Timers wait too, but those of the decisions are run with each call that is taken.
        """
        began, taken_before = monotonic(), self.session.calls_taken
        while not self._has_ended():
            position = self._process_slice(data, position)
            idle = not self.session.client and self.session.calls_taken == taken_before
            turn_is_over = idle and self._turn_is_over(began)
            if position == len(data) or turn_is_over or others_wait(self._descriptor):
                return position
        return len(data)  # the rest is of no use

    def _turn_is_over(self, began: int) -> bool:
        """Returns whether slices without a call give way to callbacks and timers; began: when they did."""
        return monotonic() - began > MAX_TURN_TIME or callbacks_wait(own=self._flush_scheduled)

    def _has_ended(self) -> bool:
        """Returns whether input is of no more use."""
        if self._closed or self.session.failure is not None:
            return True
        if not self.session.begins_cancelled and closed_by_peer(self._stream.socket):
            self.close("closed by the other side")
        return self._closed

    async def _until_replies_are_read(self) -> None:
        """Waits while the other side reads too little of what it is sent: its next input would add to it."""
        while self._unsent > MAX_UNSENT_BYTES + MAX_UNREAD_REPLIES and not self._closed:
            self._written = asyncio.Event()
            await self._written.wait()

    def _process_slice(self, data: bytes, position: int) -> int:
        """Handles the slice that begins at a position; returns where it ends."""
        piece = data[position : position + self._pacer.slice_bytes]
        if self._tap:
            self._tap.transferred(self._tap_number, False, piece)
        began = monotonic()
        self.session.receive(piece)
        self._pacer.record(monotonic() - began)
        self.bytes_processed += len(piece)
        return position + len(piece)

    def end_if_overdue(self, now: int, timeout: int) -> None:
        """Closes the connection if what the other side has begun to send has not ended for too long.

        Not while it is owed answers to whole requests. To be called at intervals.

        Args:
            now: In microseconds.
            timeout: For how long the preface, the first SETTINGS, a frame or a block of headers may take.
        """
        session = self.session
        overdue = self._input_watch.is_overdue(
            session.input_is_incomplete, session.inputs_ended, now, timeout
        )
        if overdue and not session.owes_answers:
            session.send_goaway(ErrorCodes.PROTOCOL_ERROR)
            self.close("what it began to send did not end in time")

    def pause(self) -> None:
        """Stops reading until `resume`; bytes stay in the socket."""
        self._paused = self._paused or asyncio.Event()

    def resume(self) -> None:
        """Continues to read."""
        if self._paused is not None:
            self._paused.set()
            self._paused = None

    # ---- writing ----
    def _schedule_flush(self) -> None:
        if not (self._flush_scheduled or self._closed):
            self._flush_scheduled = True
            self._loop.add_callback(self.flush)

    def flush(self) -> None:
        """Writes the session's output, as far as the socket has taken what was written before."""
        self._flush_scheduled = False
        if self._closed:
            return
        data = self.session.take_output(MAX_UNSENT_BYTES - self._unsent)
        if data:
            if self._tap:
                self._tap.transferred(self._tap_number, True, data)
            self._unsent += len(data)
            try:
                written = self._stream.write(data)
            except StreamClosedError:
                return  # the reader gets the same error
            written.add_done_callback(lambda done: self._on_written(len(data), done))

    def _on_written(self, size: int, done: asyncio.Future) -> None:
        self._unsent -= size
        self._written.set()
        if not done.cancelled() and done.exception() is None and self.session.output_pending:
            self._schedule_flush()

    @property
    def unsent(self) -> int:
        """Bytes handed to the socket that it has not taken yet."""
        return self._unsent

    # ---- the end ----
    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    def close(self, why: str) -> None:
        """Closes the connection at once; open streams are lost.

        Output that is ready is still written if the socket takes it.
        """
        if self._closed:
            return
        self.session.fail(why)
        self.flush()
        self._closed = True
        self.resume()
        self._written.set()
        if self._tap:
            self._tap.closed(self._tap_number, why)
        self._stream.close()
        self._owner.on_lost(self, why)


def _format_address(sock: socket.socket, method: str) -> str:
    try:
        host, port = getattr(sock, method)()[:2]
    except OSError:
        return "?"
    return f"{host}:{port}"
