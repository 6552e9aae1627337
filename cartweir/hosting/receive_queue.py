"""Tells what the kernel knows of a connection beyond its next bytes. Uses TCP_INFO of Linux's tcp(7).

A connection may have waited to be accepted, because a worker was killed or a process had just started, and
the client's time limit counts from when it sent its call. And a client may have closed a connection of which
much is still unread: reading alone would tell so only behind the last byte.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import NamedTuple

WAITING_OFFSET = 24  # of tcpi_unacked, which tells of a listener how many connections wait to be accepted
LAST_DATA_OFFSET = 52  # of tcpi_last_data_recv in struct tcp_info: milliseconds since data last arrived
_INT = struct.Struct("=I")

# states of a connection in tcpi_state, the first byte of struct tcp_info
ESTABLISHED = 1
CLOSE_WAIT = 8  # the other side has closed it
CLOSED_BY_PEER = frozenset((6, 7, CLOSE_WAIT, 9, 11))  # also: TIME_WAIT, CLOSE, LAST_ACK, CLOSING
STATE_BYTES = 1
UNKNOWN_STATE = 0


class QueuedData(NamedTuple):
    """Unread data of a connection.

    Attributes:
        size: The number of bytes.
        age: How many microseconds ago the last of them arrived.
    """

    size: int
    age: int


NOTHING_QUEUED = QueuedData(0, 0)


def queued_data(sock: socket.socket) -> QueuedData:
    """Returns the data that lies unread in a connection; `NOTHING_QUEUED` if that is unknown."""
    try:
        unread = _INT.unpack(fcntl.ioctl(sock, termios.FIONREAD, bytes(_INT.size)))[0]
        if not unread:
            return NOTHING_QUEUED
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_OFFSET + _INT.size)
        return QueuedData(unread, _INT.unpack_from(info, LAST_DATA_OFFSET)[0] * 1000)
    except (OSError, struct.error, AttributeError):
        return NOTHING_QUEUED  # the system has no TCP_INFO


def waiting_connections(listener: socket.socket) -> int:
    """Returns how many connections wait to be accepted; 0 if that is unknown."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, WAITING_OFFSET + _INT.size)
        return _INT.unpack_from(info, WAITING_OFFSET)[0]
    except (OSError, struct.error, AttributeError):
        return 0  # the system has no TCP_INFO


def tcp_state(sock: socket.socket) -> int:
    """Returns the state of a connection; `UNKNOWN_STATE` if it is unknown."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, STATE_BYTES)[0]
    except (OSError, IndexError, AttributeError):
        return UNKNOWN_STATE


def tells_state(sock: socket.socket) -> bool:
    """Returns whether the state of a new connection is one that such a connection can have."""
    return tcp_state(sock) in (ESTABLISHED, CLOSE_WAIT)


def closed_by_peer(sock: socket.socket) -> bool:
    """Returns whether the other side has closed a connection, though data of it may be unread."""
    return tcp_state(sock) in CLOSED_BY_PEER
