"""A session on a socket: reads, feeds, and writes once a turn of the loop what the session has to say."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..hosting.tcp import READ_SIZE
from .grpc import Headers
from .session import Session, SessionLimits, Stream, StreamListener

MOST_UNSENT = (
    256 * 1024
)  # bytes handed to the socket that it has not taken; more stays in the streams' queues


class Tap(Protocol):
    """Sees each byte that a link reads or writes, in order."""

    def opened(self, ours: str, theirs: str) -> int: ...
    def passed(self, link: int, out: bool, data: bytes) -> None: ...
    def closed(self, link: int, why: str) -> None: ...


class ConnectionOwner(Protocol):
    """Whoever opened or accepted the link."""

    def on_stream(self, stream: Stream, headers: Headers) -> StreamListener: ...
    def on_settings(self) -> None: ...
    def on_goaway(self, code: int) -> None: ...
    def on_lost(self, link: Connection, why: str) -> None: ...


class Connection:
    """Owns an IOStream until it is closed. Streams are opened through `session`."""

    def __init__(
        self,
        stream: IOStream,
        client: bool,
        limits: SessionLimits,
        owner: ConnectionOwner,
        tap: Tap | None = None,
    ) -> None:
        self._stream, self._owner, self._tap = stream, owner, tap
        self.session = Session(client, limits, owner)
        self.session.wake = self._wake
        self._scheduled = self._closed = False
        self._unsent = 0
        self.bytes_processed = 0  # bytes dealt with, before those that are being dealt with now
        stream.set_nodelay(True)
        self.local_address, self.peer_address = (
            _name(stream.socket, "getsockname"),
            _name(stream.socket, "getpeername"),
        )
        self._number = tap.opened(self.local_address, self.peer_address) if tap else 0
        self._paused: asyncio.Event | None = None
        self._loop = IOLoop.current()
        self._wake()
        self.reading = asyncio.ensure_future(self._read())

    # ---- reading ----
    async def _read(self) -> None:
        why = "closed by the other side"
        try:
            while not self._closed:
                if self._paused is not None:
                    await self._paused.wait()
                data = await self._stream.read_bytes(READ_SIZE, partial=True)
                if self._closed:
                    return
                if self._tap:
                    self._tap.passed(self._number, False, data)
                self.session.receive(data)
                self.bytes_processed += len(data)
                if self.session.broken:
                    why = self.session.broken
                    break
        except StreamClosedError as error:
            if error.real_error is not None:
                why = str(error.real_error)
        except UnsatisfiableReadError:
            why = "too much to read"
        except Exception as error:  # noqa: BLE001 - a fault of ours ends this link, and is told
            why = f"internal error: {error!r}"
            asyncio.get_running_loop().call_exception_handler(
                {"message": f"link {self.peer_address}", "exception": error}
            )
        self.close(why)

    def pause(self) -> None:
        """Read no more until resume(): bytes stay in the socket."""
        self._paused = self._paused or asyncio.Event()

    def resume(self) -> None:
        if self._paused is not None:
            self._paused.set()
            self._paused = None

    # ---- writing ----
    def _wake(self) -> None:
        if not (self._scheduled or self._closed):
            self._scheduled = True
            self._loop.add_callback(self.flush)

    def flush(self) -> None:
        """Write what the session has to say, as far as the socket has taken what went before."""
        self._scheduled = False
        if self._closed:
            return
        data = self.session.take_output(MOST_UNSENT - self._unsent)
        if data:
            if self._tap:
                self._tap.passed(self._number, True, data)
            self._unsent += len(data)
            try:
                written = self._stream.write(data)
            except StreamClosedError:
                return  # the reader hears of it too
            written.add_done_callback(lambda done: self._written(len(data), done))

    def _written(self, size: int, done: asyncio.Future) -> None:
        self._unsent -= size
        if not done.cancelled() and done.exception() is None and self.session.waiting:
            self._wake()

    @property
    def unsent(self) -> int:
        return self._unsent

    # ---- the end ----
    @property
    def closed(self) -> bool:
        return self._closed

    def close(self, why: str) -> None:
        """At once; streams that are open are lost. What was said before is still written if the socket takes it."""
        if self._closed:
            return
        self.session.fail(why)
        self.flush()
        self._closed = True
        self.resume()
        if self._tap:
            self._tap.closed(self._number, why)
        self._stream.close()
        self._owner.on_lost(self, why)


def _name(sock: socket.socket, which: str) -> str:
    try:
        host, port = getattr(sock, which)()[:2]
    except OSError:
        return "?"
    return f"{host}:{port}"
