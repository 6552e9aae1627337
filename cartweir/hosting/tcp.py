"""TCP on the loop, below any protocol: Tornado's streams made with a time-out, and bare sockets for whoever must know how
much of what it wrote the kernel has taken."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Protocol

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

READ_SIZE = 64 * 1024  # read at a time


class ReadOnReadyStream(IOStream):
    """Reads when it is told that there is something. Tornado's own first tries, and a link that has just dealt with all
    there was would find its socket empty each time: one system call in two."""

    def _try_inline_read(self) -> None:
        found = self._find_read_pos()
        if found is not None:
            self._read_from_buffer(found)
            return
        self._check_closed()
        self._add_io_state(IOLoop.READ)


async def connect(host: str, port: int, timeout: int) -> IOStream:
    """A connected stream within so many microseconds. Raises OSError or StreamClosedError's cause as OSError."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    stream = ReadOnReadyStream(socket.socket(family, socket.SOCK_STREAM), max_buffer_size=4 * READ_SIZE)
    try:
        await asyncio.wait_for(stream.connect((host, port)), timeout / 1e6)
    except asyncio.CancelledError:  # the loop would hold on to it for as long as nobody answers there
        stream.close()
        raise
    except StreamClosedError as error:
        raise (
            error.real_error
            if isinstance(error.real_error, OSError)
            else OSError(errno.ECONNABORTED, "connection closed")
        ) from None
    except (asyncio.TimeoutError, TimeoutError):
        stream.close()
        raise OSError(errno.ETIMEDOUT, f"no connection within {timeout / 1000:.0f} ms") from None
    return stream


def split_address(text: str) -> tuple[str, int]:
    """host:port, or [host]:port. Raises ValueError with what would be right."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r}: host:port is due, such as 127.0.0.1:7100")
    return host.strip("[]"), int(port)


class SocketOwner(Protocol):
    def on_data(self, data: bytes) -> None: ...
    def on_lost(self, why: str) -> None: ...
    def on_sent(self) -> None:
        """The kernel has taken what it had not taken at once."""


class NonBlockingSocket:
    """A connected, non-blocking socket on the loop, for protocols that must know what has left: a stream of Tornado's
    does not tell a write that the kernel took whole from one that it took in part, and cannot end its sending alone."""

    __slots__ = ("loop", "socket", "owner", "_fd", "_unsent", "closed")

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, owner: SocketOwner) -> None:
        self.loop, self.socket, self.owner = loop, sock, owner
        self._fd, self._unsent, self.closed = sock.fileno(), b"", False
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # it broke off already: the reader hears of it
        loop.add_reader(self._fd, self._readable)

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return len(self._unsent)

    def _readable(self) -> None:
        try:
            data = self.socket.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.owner.on_lost(error.strerror or str(error))
            return
        if data:
            self.owner.on_data(data)
        else:
            self.owner.on_lost("closed by the other side")

    def nothing_to_read(self) -> bool:
        """Nothing has come, not even an end, that the loop has not had the time to tell."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def at_end(self) -> bool:
        """The other side has ended it, and all that it said before has been told."""
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def write(self, data: bytes) -> None:
        """Raises OSError where the kernel takes nothing any more."""
        if self._unsent:
            self._unsent += data
            return
        try:
            taken = self.socket.send(data)
        except (BlockingIOError, InterruptedError):
            taken = 0
        if taken < len(data):
            self._unsent = data[taken:]
            self.loop.add_writer(self._fd, self._writable)

    def _writable(self) -> None:
        try:
            self._unsent = self._unsent[self.socket.send(self._unsent) :]
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.owner.on_lost(error.strerror or str(error))
            return
        if not self._unsent:
            self.loop.remove_writer(self._fd)
            self.owner.on_sent()

    def shutdown_write(self) -> None:
        """Ends our sending, and goes on reading."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self._fd)
            if self._unsent:
                self.loop.remove_writer(self._fd)
            self.socket.close()


class PendingConnection:
    """A connection being made. `done` is told the connected socket, or None and why there is none."""

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
        except (OSError, ValueError) as fault:
            why = str(getattr(fault, "strerror", None) or fault)
            loop.call_soon(lambda: self._tell(None, why))
            return
        if error not in (0, errno.EINPROGRESS):
            loop.call_soon(lambda: self._tell(None, errno.errorcode.get(error, str(error))))
            return
        loop.add_writer(sock.fileno(), self._ready)
        self._timer = loop.call_later(timeout / 1e6, lambda: self._tell(None, "no connection in time"))

    def _ready(self) -> None:
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._tell(None if error else self._socket, errno.errorcode.get(error, str(error)))

    def _tell(self, sock: socket.socket | None, why: str) -> None:
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
        """It is no longer wanted; nobody is told."""
        if self._done is not None:
            self._done = lambda sock, why: None
            self._tell(None, "")


_running: set[asyncio.Task] = set()


def spawn(work: Coroutine) -> asyncio.Task:
    """A task that is kept until it has ended: the loop itself holds tasks but weakly."""
    task = asyncio.ensure_future(work)
    _running.add(task)
    task.add_done_callback(_running.discard)
    return task
