"""JSON objects out of a stream of bytes, without I/O: one a line, or indented over several. Empty lines between two are
signs of life; one within an object says that the rest of it will not come."""

from __future__ import annotations

import json
import re
from typing import Any

_DECODER = json.JSONDecoder()
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?')


def _depth_of(text: bytes) -> int:
    """The brackets that these lines open and do not close, those within strings left aside."""
    bare = b"".join(text.split(b'"')[::2]) if b"\\" not in text else _STRING.sub(b"", text)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class JsonStream:
    def __init__(self, most: int) -> None:
        self.most = most
        self._begun: list[bytes] = []  # lines of an object that is not whole yet
        self._begun_size = 0  # bytes of these
        self._tried_size = 0  # of these when they were last decoded, and not complete
        self._depth = 0  # open brackets behind the first _depth_lines lines
        self._depth_lines = 0
        self._rest: list[bytes] = []  # pieces of a line that is not whole yet
        self._rest_size = 0  # bytes of these

    def feed(self, data: bytes) -> list[Any]:
        """What has become whole. Raises ValueError for what can't be read; nothing behind it is to be trusted."""
        found: list[Any] = []
        first, *others = data.split(b"\n")
        self._rest.append(first)
        self._rest_size += len(first)
        for line in others:
            complete = b"".join(self._rest)
            self._rest = [line]
            self._rest_size = len(line)
            self._line(complete, found)
        if self._rest[-1].rstrip().endswith(b"}"):  # perhaps the end of its line is yet to come
            self._unterminated_line(b"".join(self._rest), found)
        if self._begun_size + self._rest_size > self.most:
            raise ValueError(f"an object of over {self.most} bytes")
        return found

    @property
    def between_objects(self) -> bool:
        """No part of an object has come whose rest has not."""
        return not self._begun_size and not self._rest_size

    def _unterminated_line(self, line: bytes, found: list[Any]) -> None:
        if self._begun and self._object_depth() + _depth_of(line) > 0:
            return
        try:
            whole = _DECODER.decode(b"\n".join((*self._begun, line)).decode())
        except ValueError:
            return  # cut somewhere
        found.append(whole)
        self._reset_object()
        self._rest = []
        self._rest_size = 0

    def _may_be_complete(self, line: bytes) -> bool:
        """Whether the lines held are to be decoded: when all brackets are closed, and in between whenever their size has
        doubled, as an object that was cut off is detected by a failed decode. The total time stays linear in the size."""
        if not self._begun[0].lstrip().startswith(b"{"):
            return True
        if not line.rstrip().endswith(b"}"):
            return False
        return self._begun_size >= 2 * self._tried_size or self._object_depth() <= 0

    def _object_depth(self) -> int:
        self._depth += _depth_of(b"\n".join(self._begun[self._depth_lines :]))
        self._depth_lines = len(self._begun)
        return self._depth

    def _reset_object(self) -> None:
        self._begun = []
        self._begun_size = self._tried_size = 0
        self._depth = self._depth_lines = 0

    def _line(self, line: bytes, found: list[Any]) -> None:
        if not line.strip():
            if self._begun:
                raise ValueError(f"an object that breaks off: {self._begun[-1][-80:]!r}")
            return
        self._begun.append(line)
        self._begun_size += len(line)
        if not self._may_be_complete(line):
            return  # more lines are due
        text, at = b"\n".join(self._begun).decode().strip(), 0
        while at < len(text):
            try:
                whole, at = _DECODER.raw_decode(text, at)
            except json.JSONDecodeError as error:
                if error.pos < len(text) or at:
                    raise
                self._tried_size = self._begun_size
                return  # more lines are due
            found.append(whole)
            while at < len(text) and text[at].isspace():
                at += 1
        self._reset_object()
