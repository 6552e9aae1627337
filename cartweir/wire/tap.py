"""What passed on the sockets of one process, as a file: each read and each write with its time and its link.

A record is a head (kind, link, microseconds of the machine's monotonic clock, size) and so many bytes. It is
written through at once, so that a process that is killed leaves all but the last.
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
    """One file of a process, or of several that number their links apart from `first` on. Raises OSError where it
    cannot be written."""

    def __init__(self, path: Path, first: int = 0) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._links = first

    def _write(self, kind: int, link: int, data: bytes) -> None:
        os.write(self._file, HEAD.pack(kind, link, time.monotonic_ns() // 1000, len(data)) + data)

    def opened(self, ours: str, theirs: str) -> int:
        self._links += 1
        self._write(OPENED, self._links, json.dumps([ours, theirs]).encode())
        return self._links

    def passed(self, link: int, out: bool, data: bytes) -> None:
        self._write(WRITTEN if out else READ, link, data)

    def closed(self, link: int, why: str) -> None:
        self._write(CLOSED, link, why.encode())


@dataclass(slots=True)
class Record:
    kind: int
    link: int
    time: int
    data: bytes


def records(path: Path) -> Iterator[Record]:
    """All whole records of a file; a last one that was cut off is left out."""
    with open(path, "rb") as file:
        while len(head := file.read(HEAD.size)) == HEAD.size:
            kind, link, when, size = HEAD.unpack(head)
            data = file.read(size)
            if len(data) < size:
                return
            yield Record(kind, link, when, data)
