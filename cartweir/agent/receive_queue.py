"""How long what a new connection brought has been waiting in the kernel: nobody may have accepted for a while (a part that was killed, a
process that had just started), and the client's time runs from when it asked. From Linux's tcp(7): TCP_INFO."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

LAST_DATA = 52  # offset of tcpi_last_data_recv in struct tcp_info: milliseconds since the last data came
_INT = struct.Struct("=I")


def queued(sock: socket.socket) -> tuple[int, int]:
    """Bytes that lie unread in a connection, and how many microseconds ago the last of them came; (0, 0) where that is not known."""
    try:
        unread = _INT.unpack(fcntl.ioctl(sock, termios.FIONREAD, bytes(_INT.size)))[0]
        if not unread:
            return 0, 0
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA + _INT.size)
        return unread, _INT.unpack_from(info, LAST_DATA)[0] * 1000
    except (OSError, struct.error, AttributeError):
        return 0, 0  # another system
