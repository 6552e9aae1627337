"""A capture file of all bytes on the sockets of one process: each read and write, with its time.

A record is a head (kind, connection, microseconds of the machine's monotonic clock, size) and so many bytes.
It is written at once, so that a process that is killed loses the last record at most.
"""

from __future__ import annotations

import json
import os
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

HEAD = struct.Struct("<BIQI")
OPENED, READ, WRITTEN, CLOSED = range(4)


class FileTap:
    """Appends records to a capture file.

    Several processes may share a file if each numbers its connections from another value on.
    """

    def __init__(self, path: Path, first: int = 0) -> None:
        """Opens or creates the file.

        Args:
            path: The file.
            first: Number below that of the first connection.

        Raises:
            OSError: The file cannot be written.
        """
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._last_connection = first

    def _write(self, kind: int, connection: int, data: bytes) -> None:
        os.write(self._file, HEAD.pack(kind, connection, time.monotonic_ns() // 1000, len(data)) + data)

    def opened(self, local_address: str, peer_address: str) -> int:
        """Records a new connection and returns its number."""
        self._last_connection += 1
        addresses = json.dumps([local_address, peer_address]).encode()
        self._write(OPENED, self._last_connection, addresses)
        return self._last_connection

    def transferred(self, connection: int, outgoing: bool, data: bytes) -> None:
        """Records bytes that were read, or are about to be written."""
        self._write(WRITTEN if outgoing else READ, connection, data)

    def closed(self, connection: int, why: str) -> None:
        """Records the end of a connection."""
        self._write(CLOSED, connection, why.encode())


@dataclass(slots=True)
class Record:
    """One record of a capture file.

    Attributes:
        kind: OPENED, READ, WRITTEN or CLOSED.
        link: Number of the connection.
        time: Microseconds of the machine's monotonic clock.
        data: The bytes transferred, the addresses as JSON (OPENED), or the reason (CLOSED).
    """

    kind: int
    link: int
    time: int
    data: bytes


def records(path: Path) -> Iterator[Record]:
    """Yields all complete records of a file; a last one that was cut off is left out."""
    with open(path, "rb") as file:
        while len(head := file.read(HEAD.size)) == HEAD.size:
            kind, connection, when, size = HEAD.unpack(head)
            data = file.read(size)
            if len(data) < size:
                return
            yield Record(kind, connection, when, data)
