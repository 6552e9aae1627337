"""Tells how long the data of a new connection has been waiting in the kernel.

A connection may have waited to be accepted, because a worker was killed or a process had just started, and
the client's time limit counts from when it sent its call. Uses TCP_INFO of Linux's tcp(7).
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import NamedTuple

LAST_DATA_OFFSET = 52  # of tcpi_last_data_recv in struct tcp_info: milliseconds since data last arrived
_INT = struct.Struct("=I")


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
