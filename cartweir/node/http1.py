"""HTTP/1.1 without I/O: bytes in, whole messages out, on llhttp (httptools). Knows nothing about routing.

The parser's own forms are the strict ones. What it leaves open is bounded here: how long a head may be, how many
headers it may hold, how large a body; and a message that does not say where it ends is none.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser, HttpResponseParser

MOST_HEAD = 16 * 1024  # bytes of a head, its first line included
MOST_HEADERS = 100
MOST_BODY = 64 * 1024

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


class MalformedError(Exception):
    """What came is no HTTP/1.1 of the form that is due; `status` answers a request of that kind."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


@dataclass(slots=True)
class Request:
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]  # names in small letters; one that came twice holds both, with a comma
    body: bytes
    stays: bool  # the connection may carry another one

    def header(self, name: bytes) -> bytes:
        return self.headers.get(name, b"")


@dataclass(slots=True)
class Answer:
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    stays: bool


class _Reader:
    """What both directions share: the parser's events, and the bounds."""

    make: type = HttpRequestParser
    most_body: int | None = MOST_BODY  # bytes; None: whoever takes the pieces bounds what is kept of them

    def __init__(self) -> None:
        self._parser = self.make(self)
        self._fault: tuple[int, str] | None = (
            None  # not the exception: it would keep its frames, and they what was read
        )
        self.begun = self._in_head = False  # a message has begun and is not whole yet
        self._head_size = self._size = self._count = 0

    def close(self) -> None:
        """Parser and reader know each other: parted, they leave nothing to the collector."""
        self._parser = None
        self._fault = self._fault or (400, "closed")

    def on_message_begin(self) -> None:
        self.begun = self._in_head = True
        self._size = self._count = 0
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._target: list[bytes] = []

    def on_url(self, part: bytes) -> None:
        self._target.append(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        old = self._headers.get(name)
        self._headers[name] = value if old is None else old + b"," + value
        self._count += 1
        if self._count > MOST_HEADERS:
            self._stop(431, f"more than {MOST_HEADERS} headers")

    def on_headers_complete(self) -> None:
        self._in_head, self._head_size = False, 0
        length = self._headers.get(b"content-length")
        if (
            length is not None
            and self.most_body is not None
            and (len(length) > 9 or int(length) > self.most_body)
        ):
            self._stop(413, f"a body of over {self.most_body} bytes")

    def on_body(self, piece: bytes) -> None:
        self._size += len(piece)
        if self.most_body is not None and self._size > self.most_body:
            self._stop(413, f"a body of over {self.most_body} bytes")
        self._body.append(piece)

    def _stop(self, status: int, reason: str) -> None:
        self._fault = status, reason
        raise MalformedError(status, reason)

    def _parse(self, data: bytes) -> None:
        """Raises MalformedError."""
        if self._fault is not None:
            raise MalformedError(*self._fault)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._fault = 400, "an upgrade, which is not spoken here"
        except HttpParserError as error:
            self._fault = self._fault or (400, str(error) or type(error).__name__)
        if self._fault is not None:
            raise MalformedError(*self._fault)
        if self._in_head:  # a head that goes on and on, in pieces
            self._head_size += len(data)
            if self._head_size > MOST_HEAD:
                self._stop(431, f"a head of over {MOST_HEAD} bytes")


class Requests(_Reader):
    """The server's side of one connection."""

    def __init__(self) -> None:
        super().__init__()
        self._whole: list[Request] = []

    def feed(self, data: bytes) -> list[Request]:
        """The requests that have become whole. Raises MalformedError, from then on each time."""
        self._parse(data)
        if not self._whole:
            return []
        whole, self._whole = self._whole, []
        return whole

    def on_message_complete(self) -> None:
        self.begun = False
        parser = self._parser
        self._whole.append(
            Request(
                parser.get_method(),
                b"".join(self._target),
                self._headers,
                b"".join(self._body),
                parser.should_keep_alive(),
            )
        )


class Answers(_Reader):
    """The client's side of one connection, one answer at a time. Interim answers (1xx) are passed over."""

    make = HttpResponseParser

    def __init__(self) -> None:
        super().__init__()
        self.answer: Answer | None = None  # whole
        self.surplus = False  # more has come than belongs to it

    def feed(self, data: bytes) -> Answer | None:
        """The answer, once it is whole; what comes behind it only sets `surplus`. Raises MalformedError."""
        if self.answer is not None:
            self.surplus = True
            return None
        try:
            self._parse(data)
        except MalformedError:
            if self.answer is None:
                raise
            self.surplus = True
        return self.answer

    def next(self) -> None:
        """The answer has been dealt with, and another request goes out."""
        self.answer = None

    def on_message_begin(self) -> None:
        if self.answer is not None:
            self.surplus = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if (
            self._parser.get_status_code() >= 200
            and self.answer is None
            and not (
                b"content-length" in self._headers
                or b"chunked" in self._headers.get(b"transfer-encoding", b"").lower()
            )
        ):
            self._stop(502, "an answer that does not say where it ends")

    def on_message_complete(self) -> None:
        self.begun = False
        status = self._parser.get_status_code()
        if self.answer is None and status >= 200:
            self.answer = Answer(
                status, self._headers, b"".join(self._body), self._parser.should_keep_alive()
            )


class Pieces(Answers):
    """An answer whose body goes on for as long as the connection does, read as it comes."""

    most_body = None

    def take(self, data: bytes) -> bytes:
        """What has come of the body. Raises MalformedError."""
        self._parse(data)
        if self.begun and self._in_head:
            return b""
        pieces, self._body = self._body, []
        return b"".join(pieces)

    @property
    def status(self) -> int:
        """0 while the head is not whole."""
        return 0 if self._in_head else self._parser.get_status_code()


def request(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def answer(
    status: int, body: bytes = b"", headers: Iterable[tuple[bytes, bytes]] = (), stays: bool = True
) -> bytes:
    lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Unknown"))]
    lines += [name + b": " + value for name, value in headers]
    if not stays:
        lines.append(b"Connection: close")
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
