"""What two parts of one agent say to each other: batches of small lists over a socket pair, one batch a turn."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import msgpack
from tornado.ioloop import IOLoop

CHUNK = 256 * 1024
PATIENCE = 0.002  # seconds
# From a carrying part to the deciding one.
HELLO, TAKE, LEFT, ENDED, BEGUN, MAY, PROBED, TOLD, BOUND, BEAT = range(10)
# From the deciding part to a carrying one.
DISPATCH, CANCEL, ANSWER, MAY_GO, PROBE, ROWS, STAGE, PULSE = range(20, 28)
# Between carrying parts.
CARRY, DROP, HEAD, PIECE, ROOM, CARRIED, AGAIN, GOES = range(40, 48)


class Pipe:
    """Owns the socket. `heard` is called with each message in order, `lost` once, when the other side has gone."""

    def __init__(self, sock: socket.socket, heard: Callable[[list], None], lost: Callable[[], None]) -> None:
        sock.setblocking(False)
        self._sock, self._heard, self._lost = sock, heard, lost
        self._unpacker = msgpack.Unpacker(raw=False, max_buffer_size=1 << 30, use_list=True)
        self._batch: list[list] = []
        self._unsent = bytearray()
        self._scheduled = self.closed = False
        self._later: Any = None
        self._writing = False
        self._loop = IOLoop.current()
        self._loop.add_handler(sock, self._event, IOLoop.READ)

    def send(self, message: list, urgent: bool = True) -> None:
        """Goes out at the end of the turn, behind whatever was said before; what is not urgent waits for something
        that is, though no longer than PATIENCE: each wake-up of the other side costs more than many messages."""
        if self.closed:
            return
        self._batch.append(message)
        if self._scheduled:
            return
        if urgent:
            self._scheduled = True
            self._loop.add_callback(self.flush)
        elif self._later is None:
            self._later = self._loop.call_later(PATIENCE, self.flush)

    def flush(self) -> None:
        self._scheduled = False
        if self._later is not None:
            self._loop.remove_timeout(self._later)
            self._later = None
        if self.closed or not self._batch:
            return
        batch, self._batch = self._batch, []
        self._unsent += msgpack.packb(batch)
        if not self._writing:
            self._write()

    @property
    def unsent(self) -> int:
        return len(self._unsent)

    def _write(self) -> None:
        try:
            while self._unsent:
                with memoryview(self._unsent) as view:
                    sent = self._sock.send(view[:CHUNK])
                del self._unsent[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        writing = bool(self._unsent)
        if writing != self._writing:
            self._writing = writing
            self._loop.update_handler(self._sock, IOLoop.READ | (IOLoop.WRITE if writing else 0))

    def _event(self, sock: socket.socket, events: int) -> None:
        if events & IOLoop.WRITE:
            self._write()
        if self.closed or not events & ~IOLoop.WRITE:
            return
        try:
            data = self._sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self._unpacker.feed(data)
        for batch in self._unpacker:
            for message in batch:
                if self.closed:
                    return
                self._heard(message)

    def close(self) -> None:
        """The other side hears of it; so does the owner, at its next turn."""
        if not self.closed:
            self.flush()
        if not self.closed:  # which flush() may have done
            self.closed = True
            self._loop.remove_handler(self._sock)
            self._sock.close()
            self._loop.add_callback(self._lost)


def pair() -> tuple[socket.socket, socket.socket]:
    """Raises OSError."""
    one, other = socket.socketpair()
    for sock in (one, other):
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, 1 << 20)
    return one, other


Message = list[Any]
