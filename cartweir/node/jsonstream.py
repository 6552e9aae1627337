"""JSON values out of a stream of bytes, without I/O.

A value takes one line, or is indented over several. Empty lines between two values are heartbeats; an empty
line within a value means that the rest of it will not arrive.
"""

from __future__ import annotations

import json
import re
from typing import Any

_DECODER = json.JSONDecoder()
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?')


def _open_brackets(text: bytes) -> int:
    """Returns how many brackets these lines open without closing them; those within strings do not count."""
    without_strings = b"".join(text.split(b'"')[::2]) if b"\\" not in text else _STRING.sub(b"", text)
    return (
        without_strings.count(b"{")
        + without_strings.count(b"[")
        - without_strings.count(b"}")
        - without_strings.count(b"]")
    )


class JsonStream:
    """Splits a stream of bytes into JSON values.

    Attributes:
        max_value_bytes: Bytes that an incomplete value may have.
        at_line_start: The last line has ended. A value may be complete before its line is.
    """

    def __init__(self, max_value_bytes: int) -> None:
        self.max_value_bytes = max_value_bytes
        self.at_line_start = True
        self._lines: list[bytes] = []  # complete lines of an incomplete value
        self._lines_size = 0  # bytes of these
        self._tried_size = 0  # bytes of these at the last failed decode
        self._depth = 0  # brackets that are open after the first _depth_lines lines
        self._depth_lines = 0
        self._line_pieces: list[bytes] = []  # pieces of an incomplete line
        self._line_size = 0  # bytes of these

    def feed(self, data: bytes) -> list[Any]:
        """Returns the values that these bytes complete.

        Raises:
            ValueError: The input cannot be decoded; nothing after it can be trusted.
        """
        found: list[Any] = []
        if data:
            self.at_line_start = data.endswith(b"\n")
        first, *others = data.split(b"\n")
        self._line_pieces.append(first)
        self._line_size += len(first)
        for line in others:
            complete = b"".join(self._line_pieces)
            self._line_pieces = [line]
            self._line_size = len(line)
            self._add_line(complete, found)
        if self._line_pieces[-1].rstrip().endswith(b"}"):  # the value may be complete before its line is
            self._try_unterminated_line(b"".join(self._line_pieces), found)
        if self._lines_size + self._line_size > self.max_value_bytes:
            raise ValueError(f"a value of more than {self.max_value_bytes} bytes")
        return found

    @property
    def between_values(self) -> bool:
        """No part of an incomplete value is held."""
        return not self._lines_size and not self._line_size

    def _try_unterminated_line(self, line: bytes, found: list[Any]) -> None:
        if self._lines and self._value_depth() + _open_brackets(line) > 0:
            return
        try:
            value = _DECODER.decode(b"\n".join((*self._lines, line)).decode())
        except ValueError:
            return  # incomplete
        found.append(value)
        self._reset_value()
        self._line_pieces = []
        self._line_size = 0

    def _may_be_complete(self, line: bytes) -> bool:
        """Whether the lines held are to be decoded after this one.

        They are when all brackets are closed, and in between whenever their size has doubled, since only a
        failed decode detects a value that was cut off. The total time stays linear in the size.
        """
        if not self._lines[0].lstrip().startswith(b"{"):
            return True
        if not line.rstrip().endswith(b"}"):
            return False
        return self._lines_size >= 2 * self._tried_size or self._value_depth() <= 0

    def _value_depth(self) -> int:
        self._depth += _open_brackets(b"\n".join(self._lines[self._depth_lines :]))
        self._depth_lines = len(self._lines)
        return self._depth

    def _reset_value(self) -> None:
        self._lines = []
        self._lines_size = self._tried_size = 0
        self._depth = self._depth_lines = 0

    def _add_line(self, line: bytes, found: list[Any]) -> None:
        if not line.strip():
            if self._lines:
                raise ValueError(f"a truncated value: {self._lines[-1][-80:]!r}")
            return
        self._lines.append(line)
        self._lines_size += len(line)
        if not self._may_be_complete(line):
            return  # more lines are expected
        text, position = b"\n".join(self._lines).decode().strip(), 0
        while position < len(text):
            try:
                value, position = _DECODER.raw_decode(text, position)
            except json.JSONDecodeError as error:
                if error.pos < len(text) or position:
                    raise
                self._tried_size = self._lines_size
                return  # more lines are expected
            found.append(value)
            while position < len(text) and text[position].isspace():
                position += 1
        self._reset_value()
