"""The log's way out of a process: a full disk or a reader that has gone must not break what is logged."""

from __future__ import annotations

import os

STANDARD_ERROR = 2  # descriptor


class LogStream:
    """Writes lines to a descriptor, and never raises.

    A line that cannot be written is counted. The next one that can be is preceded by a line with the count.

    Attributes:
        descriptor: Where lines are written.
        lost: Lines that could not be written since the last one that could.
    """

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.descriptor = descriptor
        self.lost = 0

    def write(self, text: str) -> int:
        """Writes a line, with its end."""
        notice = f"log_lost lines={self.lost}\n" if self.lost else ""
        try:
            self._write_all((notice + text).encode("utf-8", "backslashreplace"))
        except OSError:
            self.lost += 1
        else:
            self.lost = 0
        return len(text)

    def _write_all(self, data: bytes) -> None:
        while data:
            data = data[os.write(self.descriptor, data) :]

    def flush(self) -> None:
        """Does nothing: lines are written at once."""
