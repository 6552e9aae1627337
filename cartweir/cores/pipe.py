"""Connection between two processes of one agent: messages over a socket pair, one batch a loop turn."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import msgpack
from tornado.ioloop import IOLoop

CHUNK_SIZE = 256 * 1024  # bytes read or written at once
SOCKET_BUFFER = 1 << 20  # bytes
MAX_RECEIVE_BUFFER = 1 << 30  # bytes
MAX_DELAY = 0.002  # seconds that a message that is not urgent may wait for others

Message = list[Any]


class Pipe:
    """One end of a connection to another process.

    Args:
        sock: Its socket, which the pipe owns from now on.
        on_message: Called with each message, in order.
        on_closed: Called once, when the connection has ended.
    """

    def __init__(
        self, sock: socket.socket, on_message: Callable[[Message], None], on_closed: Callable[[], None]
    ) -> None:
        sock.setblocking(False)
        self._sock, self._on_message, self._on_closed = sock, on_message, on_closed
        self._unpacker = msgpack.Unpacker(raw=False, max_buffer_size=MAX_RECEIVE_BUFFER, use_list=True)
        self._batch: list[Message] = []
        self._unsent = bytearray()
        self._flush_scheduled = self.closed = False
        self._delayed_flush: Any = None
        self._writing = False
        self._loop = IOLoop.current()
        self._loop.add_handler(sock, self._on_event, IOLoop.READ)

    def send(self, message: Message, urgent: bool = True) -> None:
        """Sends a message behind those before it, at the end of the loop turn.

        A message that is not urgent waits for an urgent one, for `MAX_DELAY` at most: waking the other
            process costs
        more than many messages.
        """
        if self.closed:
            return
        self._batch.append(message)
        if self._flush_scheduled:
            return
        if urgent:
            self._flush_scheduled = True
            self._loop.add_callback(self.flush)
        elif self._delayed_flush is None:
            self._delayed_flush = self._loop.call_later(MAX_DELAY, self.flush)

    def flush(self) -> None:
        """Sends at once what waits for the end of the turn."""
        self._flush_scheduled = False
        if self._delayed_flush is not None:
            self._loop.remove_timeout(self._delayed_flush)
            self._delayed_flush = None
        if self.closed or not self._batch:
            return
        batch, self._batch = self._batch, []
        self._unsent += msgpack.packb(batch)
        if not self._writing:
            self._write()

    @property
    def unsent(self) -> int:
        """Bytes that the socket has not taken yet."""
        return len(self._unsent)

    def _write(self) -> None:
        try:
            while self._unsent:
                with memoryview(self._unsent) as view:
                    sent = self._sock.send(view[:CHUNK_SIZE])
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

    def _on_event(self, sock: socket.socket, events: int) -> None:
        if events & IOLoop.WRITE:
            self._write()
        if self.closed or not events & ~IOLoop.WRITE:
            return
        try:
            data = self._sock.recv(CHUNK_SIZE)
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
                self._on_message(message)

    def close(self) -> None:
        """Closes the connection; `on_closed` is called in the next loop turn."""
        if not self.closed:
            self.flush()
        if not self.closed:  # flush() closes the pipe when it cannot write
            self.closed = True
            self._loop.remove_handler(self._sock)
            self._sock.close()
            self._loop.add_callback(self._on_closed)


def create_socket_pair() -> tuple[socket.socket, socket.socket]:
    """Returns two connected sockets with large buffers.

    Raises:
        OSError: If the sockets cannot be created.
    """
    one, other = socket.socketpair()
    for sock in (one, other):
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER)
    return one, other
