"""TCP on the event loop, below any protocol.

Tornado's streams connected with a timeout, and bare sockets for protocols that must know how much of what
they wrote the kernel has taken.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Protocol

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from .receive_queue import closed_by_peer, tells_state

READ_SIZE = 64 * 1024  # bytes that a stream reads at a time
SOCKET_READ_SIZE = 16 * 1024  # bytes that a bare socket reads at a time; larger ones leave gaps in the heap
# errors of a call that may succeed later: the connection is as good as before
NO_BUFFERS = frozenset((errno.ENOBUFS, errno.ENOMEM))
MOMENTARY_ERRORS = NO_BUFFERS | {errno.EAGAIN, errno.EINTR}
MAX_PORT = 65_535
BUFFER_PAUSE = 5_000  # microseconds after which a send that found no buffers is tried again


class ReadOnReadyStream(IOStream):
    """A stream that reads only when the loop reports that there is data.

    Tornado's own stream first tries to read. A connection that has just handled all its data would find its
    socket empty each time, which is one system call in two.
    """

    def _try_inline_read(self) -> None:
        found = self._find_read_pos()
        if found is not None:
            self._read_from_buffer(found)
            return
        self._check_closed()
        self._add_io_state(IOLoop.READ)


async def connect(host: str, port: int, timeout: int) -> IOStream:
    """Returns a connected stream.

    Args:
        host: An IP address or a name.
        port: The port.
        timeout: How long connecting may take, in microseconds.

    Raises:
        OSError: There is no connection; the cause of a StreamClosedError is raised as one, too.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    stream = ReadOnReadyStream(socket.socket(family, socket.SOCK_STREAM), max_buffer_size=4 * READ_SIZE)
    try:
        async with asyncio.timeout(timeout / 1e6):  # asyncio.wait_for may swallow a cancellation
            await stream.connect((host, port))
    except (
        asyncio.CancelledError
    ):  # the loop would keep the socket for as long as the other side does not answer
        stream.close()
        raise
    except StreamClosedError as error:
        raise (
            error.real_error
            if isinstance(error.real_error, OSError)
            else OSError(errno.ECONNABORTED, "connection closed")
        ) from None
    except TimeoutError:
        stream.close()
        raise OSError(errno.ETIMEDOUT, f"no connection within {timeout / 1000:.0f} ms") from None
    return stream


def split_address(text: str) -> tuple[str, int]:
    """Returns the host and the port of `host:port` or `[host]:port`.

    Raises:
        ValueError: The text is no address; the message says what is expected.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{text!r}: expected host:port, such as 127.0.0.1:7100")
    return host.strip("[]"), int(port)


class SocketOwner(Protocol):
    """Handles the events of a `NonBlockingSocket`."""

    def on_data(self, data: bytes) -> None:
        """Handles data that has arrived."""

    def on_lost(self, why: str) -> None:
        """Handles the end of the connection."""

    def on_sent(self) -> None:
        """Handles that the kernel has taken the rest of what it could not take at once."""


class NonBlockingSocket:
    """A connected, non-blocking socket on the event loop, for protocols that must know what has been sent.

    A stream of Tornado's does not tell a write that the kernel took whole from one that it took in part, and
    cannot close its sending side alone.

    Attributes:
        loop: The event loop.
        socket: The socket.
        owner: Handles its events; None once it is closed.
        closed: Whether it has been closed.
    """

    __slots__ = ("_fd", "_pause", "_tells_state", "_unsent", "closed", "loop", "owner", "socket")

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, owner: SocketOwner) -> None:
        self.loop, self.socket = loop, sock
        self.owner: SocketOwner | None = owner
        self._fd, self._unsent, self.closed = sock.fileno(), b"", False
        self._tells_state = tells_state(sock)
        self._pause: asyncio.TimerHandle | None = None  # before what is unsent is tried again
        with contextlib.suppress(OSError):  # the connection has broken already: the reader will notice
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.add_reader(self._fd, self._readable)

    @property
    def unsent(self) -> int:
        """The number of bytes that the kernel has not taken yet."""
        return len(self._unsent)

    def _readable(self) -> None:
        try:
            data = self.socket.recv(SOCKET_READ_SIZE)
        except OSError as error:
            if error.errno not in MOMENTARY_ERRORS:
                self.owner.on_lost(error.strerror or str(error))
            return
        if data:
            self.owner.on_data(data)
        else:
            self.owner.on_lost("closed by the other side")

    def nothing_to_read(self) -> bool:
        """Whether neither data nor the end of the connection waits for the loop to report it."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return error.errno in MOMENTARY_ERRORS
        return False

    def has_data(self) -> bool:
        """Whether data waits for the loop to report it."""
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def at_end(self) -> bool:
        """Whether the other side has closed the connection, also while data of it is unread."""
        if self._tells_state and closed_by_peer(self.socket):
            return True
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return error.errno not in MOMENTARY_ERRORS

    def write(self, data: bytes) -> None:
        """Sends data; what the kernel does not take at once is sent later.

        Raises:
            OSError: The connection has ended.
        """
        if self._unsent:
            self._unsent += data
            return
        taken = self._send(data)
        if taken < len(data):
            self._unsent = data[taken:]
            if self._pause is None:
                self._watch_writable()

    def _send(self, data: bytes) -> int:
        """Returns how many bytes the kernel has taken; raises OSError if the connection has ended."""
        try:
            return self.socket.send(data)
        except InterruptedError:
            return self._send(data)
        except OSError as error:
            if error.errno not in MOMENTARY_ERRORS:
                raise
            if error.errno in NO_BUFFERS:
                self._pause = self.loop.call_later(BUFFER_PAUSE / 1e6, self._watch_writable)
            return 0

    def _watch_writable(self) -> None:
        """Has the loop tell when the kernel takes more, unless that has to wait a moment."""
        self._pause = None
        self.loop.add_writer(self._fd, self._writable)

    def _writable(self) -> None:
        try:
            self._unsent = self._unsent[self._send(self._unsent) :]
        except OSError as error:
            self.owner.on_lost(error.strerror or str(error))
            return
        if not self._unsent:
            self.loop.remove_writer(self._fd)
            self.owner.on_sent()
        elif self._pause is not None:  # the socket is writable all the while
            self.loop.remove_writer(self._fd)

    def shutdown_write(self) -> None:
        """Closes the sending side, and goes on reading."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the socket; the owner gets no more events."""
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self._fd)
            if self._pause is not None:
                self._pause.cancel()
            elif self._unsent:
                self.loop.remove_writer(self._fd)
            self.socket.close()
            self.owner = None  # breaks the reference cycle: closed connections are freed at once


class PendingConnection:
    """A connection that is being made.

    Args:
        loop: The event loop.
        address: The address, as `host:port`.
        timeout: How long connecting may take, in microseconds.
        done: Called with the connected socket, or with None and the reason.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        timeout: int,
        done: Callable[[socket.socket | None, str], None],
    ) -> None:
        self.loop, self._done, self._timer, self._socket = loop, done, None, None
        try:
            target = split_address(address)
            self._socket = sock = socket.socket(
                socket.AF_INET6 if ":" in target[0] else socket.AF_INET,
                socket.SOCK_STREAM | socket.SOCK_NONBLOCK,
            )
            error = sock.connect_ex(target)
        except (OSError, ValueError) as failure:
            why = str(getattr(failure, "strerror", None) or failure)
            loop.call_soon(lambda: self._finish(None, why))
            return
        if error not in (0, errno.EINPROGRESS):
            loop.call_soon(lambda: self._finish(None, errno.errorcode.get(error, str(error))))
            return
        loop.add_writer(sock.fileno(), self._ready)
        self._timer = loop.call_later(timeout / 1e6, lambda: self._finish(None, "no connection in time"))

    def _ready(self) -> None:
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._finish(None if error else self._socket, errno.errorcode.get(error, str(error)))

    def _finish(self, sock: socket.socket | None, why: str) -> None:
        done, self._done = self._done, None
        if done is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            self.loop.remove_writer(self._socket.fileno())
            if sock is None:
                self._socket.close()
        done(sock, why)

    def cancel(self) -> None:
        """Gives the connection up without calling `done`."""
        if self._done is not None:
            self._done = lambda sock, why: None
            self._finish(None, "")


_running: set[asyncio.Task] = set()


def spawn(work: Coroutine) -> asyncio.Task:
    """Starts a task and keeps a reference until it has ended; the event loop holds only a weak one."""
    task = asyncio.ensure_future(work)
    _running.add(task)
    task.add_done_callback(_running.discard)
    return task
