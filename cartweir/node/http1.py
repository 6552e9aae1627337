"""HTTP/1.1 messages without I/O: bytes in, complete messages out, on llhttp (httptools).

The parser accepts only the strict forms. What it leaves open is limited here: the size of a head, the number
of its headers and the size of a body. A message that does not say where it ends is rejected.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser, HttpResponseParser

MAX_HEAD_BYTES = 16 * 1024  # including the first line
MAX_HEADERS = 100
MAX_BODY_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 64  # of a chunked body
MAX_SMALL_CHUNKS = 128  # of a request; parsing them takes far longer than sending them
MAX_LENGTH_DIGITS = 9  # of a Content-Length header
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))

FIRST_FINAL_STATUS = 200  # lower ones (1xx) are interim responses

REASON_PHRASES = {
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


class HttpError(Exception):
    """A message is not acceptable HTTP/1.1.

    Attributes:
        status: Status of the response to a request of this kind.
        reason: What is wrong, in a few words.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


@dataclass(slots=True)
class Request:
    """A complete request.

    Attributes:
        method: The method.
        target: The request target, with its query.
        headers: Values by lower-case name; a repeated header holds all values, separated by commas.
        body: The body.
        keep_alive: Whether the connection may carry another request.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool

    def header(self, name: bytes) -> bytes:
        """Returns the value of a header given by its lower-case name; empty where it is missing."""
        return self.headers.get(name, b"")


@dataclass(slots=True)
class Response:
    """A complete response.

    Attributes:
        status: The status code.
        headers: Values by lower-case name.
        body: The body.
        keep_alive: Whether the connection may carry another request.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


class _MessageParser:
    """Handles the events of the underlying parser and the limits, for both directions.

    Attributes:
        in_message: A message has begun and is not complete yet.
    """

    parser_type: type = HttpRequestParser
    max_body_bytes: int | None = MAX_BODY_BYTES  # None: the caller limits what it keeps
    max_small_chunks: int | None = None
    single_headers: frozenset[bytes] = frozenset()  # lower-case names of headers that must not be repeated

    def __init__(self) -> None:
        self._parser = self.parser_type(self)
        # Status and reason of the first error. An exception would keep its frames alive, and with them the
        # input.
        self._error: tuple[int, str] | None = None
        self.in_message = self._in_head = self._chunk_begun = False
        self._chunk_start = 0
        self._head_size = self._trailer_size = self._header_count = self._small_chunks = 0
        self._kept_size = 0  # bytes of the headers that are kept
        self._headers: dict[bytes, bytes] = {}
        # joined as they arrive: a list of small pieces would take many times their size
        self._body, self._target = bytearray(), bytearray()

    def close(self) -> None:
        """Ends the parsing, and frees what is held of an incomplete message.

        Breaks the reference cycle with the underlying parser; the garbage collector gets no work.
        """
        self._parser = None
        self._error = self._error or (400, "closed")
        self._headers = {}
        self._body, self._target = bytearray(), bytearray()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held of an incomplete message."""
        fields = self._kept_size + self._head_size + self._trailer_size
        return len(self._body) + len(self._target) + fields

    def on_message_begin(self) -> None:
        """Called by the underlying parser at the first byte of a message."""
        self.in_message = self._in_head = True
        self._trailer_size = self._header_count = self._small_chunks = self._kept_size = 0
        self._headers = {}
        self._body, self._target = bytearray(), bytearray()

    def on_url(self, part: bytes) -> None:
        """Called by the underlying parser with a piece of the request target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the underlying parser with one header."""
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            self._reject(431, f"more than {MAX_HEADERS} headers")
        name = name.lower()
        if self._is_dropped(name):
            return
        self._kept_size += len(name) + len(value)
        old = self._headers.get(name)
        if old is not None and name in self.single_headers:
            self._reject(400, f"more than one {name.decode('latin-1')}")
        self._headers[name] = value if old is None else old + b"," + value

    def _is_dropped(self, name: bytes) -> bool:
        """Returns whether the present header is not held; name: in lower case."""
        return False

    def on_headers_complete(self) -> None:
        """Called by the underlying parser at the end of a head."""
        self._in_head, self._head_size = False, 0
        length = self._headers.get(b"content-length")
        if (
            length is not None
            and self.max_body_bytes is not None
            and (len(length) > MAX_LENGTH_DIGITS or int(length) > self.max_body_bytes)
        ):
            self._reject(413, f"a body of over {self.max_body_bytes} bytes")

    def on_body(self, piece: bytes) -> None:
        """Called by the underlying parser with a piece of a body."""
        if self.max_body_bytes is not None and len(self._body) + len(piece) > self.max_body_bytes:
            self._reject(413, f"a body of over {self.max_body_bytes} bytes")
        self._body += piece

    def on_chunk_header(self) -> None:
        """Called by the underlying parser at the begin of a chunk, before its data."""
        self._chunk_start = len(self._body)
        self._chunk_begun = True

    def on_chunk_complete(self) -> None:
        """Called by the underlying parser at the end of a chunk."""
        if self.max_small_chunks is None or len(self._body) - self._chunk_start >= SMALL_CHUNK_BYTES:
            return
        self._small_chunks += 1
        if self._small_chunks > self.max_small_chunks:
            self._reject(400, f"more than {self.max_small_chunks} chunks below {SMALL_CHUNK_BYTES} bytes")

    def _reject(self, status: int, reason: str) -> None:
        self._error = status, reason
        raise HttpError(status, reason)

    def _parse(self, data: bytes) -> None:
        """Feeds the underlying parser; raises HttpError at the first error and at each call after it."""
        if self._error is not None:
            raise HttpError(*self._error)
        body_before, self._chunk_begun = len(self._body), False
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._error = 400, "an upgrade, which is not spoken here"
        except HttpParserError as error:
            self._error = self._error or (400, str(error) or type(error).__name__)
        if self._error is not None:
            raise HttpError(*self._error)
        if self._in_head:
            self._head_size += len(data)
            self._limit_fields("a head", self._head_size)
        elif self._chunk_begun or len(self._body) != body_before:
            self._trailer_size = 0
        elif self.in_message:  # within trailers, or a chunk's extension
            self._trailer_size += len(data)
            self._limit_fields("trailers", self._trailer_size)

    def _limit_fields(self, what: str, size: int) -> None:
        """Rejects fields that arrive in pieces without an end, which the underlying parser would keep."""
        if size > MAX_HEAD_BYTES:
            self._reject(431, f"{what} of over {MAX_HEAD_BYTES} bytes")


class RequestParser(_MessageParser):
    """Parses the requests of one connection, on the server's side."""

    max_small_chunks = MAX_SMALL_CHUNKS

    def __init__(
        self,
        kept_headers: frozenset[bytes] | None = None,
        single_headers: frozenset[bytes] = frozenset(),
    ) -> None:
        """Parses nothing yet.

        Args:
            kept_headers: Lower-case names of the headers that a request holds, `FRAMING_HEADERS` among them;
                None: all. A short header takes many times its size.
            single_headers: Lower-case names of headers of which a request must not have two.
        """
        super().__init__()
        self.kept_headers, self.single_headers = kept_headers, single_headers
        self._complete: Request | None = None

    def on_message_begin(self) -> None:
        """Called by the underlying parser at the first byte of a request.

        Input is parsed no further than to a second request: thousands fit in one read, and a connection
        carries one at a time.
        """
        if self._complete is not None:
            self._reject(400, "several requests at once on a connection")
        super().on_message_begin()

    def _is_dropped(self, name: bytes) -> bool:
        """Returns whether the agent does not read the present header; a trailer adds nothing to a head."""
        return not self._in_head or (self.kept_headers is not None and name not in self.kept_headers)

    def feed(self, data: bytes) -> Request | None:
        """Returns the request that these bytes complete, if they do.

        Raises:
            HttpError: The input is not acceptable; every later call raises it again.
        """
        self._parse(data)
        complete, self._complete = self._complete, None
        return complete

    def on_message_complete(self) -> None:
        """Called by the underlying parser at the end of a request."""
        self.in_message = False
        body, self._body = bytes(self._body), bytearray()
        self._complete = Request(
            self._parser.get_method(),
            bytes(self._target),
            self._headers,
            body,
            self._parser.should_keep_alive(),
        )


class ResponseParser(_MessageParser):
    """Parses the responses of one connection, on the client's side, one at a time.

    Interim responses (1xx) are ignored.

    Attributes:
        response: The complete response; None until then.
        has_extra_data: More has arrived than belongs to the response.
    """

    parser_type = HttpResponseParser

    def __init__(self) -> None:
        super().__init__()
        self.response: Response | None = None
        self.has_extra_data = False
        self._copies = 0  # complete copies of the response behind it
        self._extra_is_no_copy = False

    def feed(self, data: bytes) -> Response | None:
        """Returns the response once it is complete; what follows it sets `has_extra_data`.

        The last byte is parsed by itself: a response that is complete before it has something behind it, also
        where that is a line break, which the underlying parser skips.

        Raises:
            HttpError: The input is not acceptable.
        """
        was_complete = self.response is not None
        for part in (data[:-1], data[-1:]):
            if part:
                self.has_extra_data = self.has_extra_data or self.response is not None
                self._parse_part(part)
        return None if was_complete else self.response

    def _parse_part(self, part: bytes) -> None:
        """Parses some input; an error behind the response only shows that no copy of it follows."""
        try:
            self._parse(part)
        except HttpError:
            if self.response is None:
                raise
            self.has_extra_data = self._extra_is_no_copy = True

    @property
    def length_fits(self) -> bool:
        """Whether nothing but copies of the response has arrived behind it.

        A copy is recognized once its head is complete. Anything else may be the rest of a body that is longer
        than the response says.
        """
        if not self.has_extra_data:
            return True
        if self._extra_is_no_copy:
            return False
        if self.in_message:
            return not self._in_head and self._repeats_response(whole=False)
        return self._copies > 0

    def _repeats_response(self, whole: bool) -> bool:
        """Returns whether the message in hand is the response once more, or the beginning of it."""
        response, body = self.response, self._body
        same_head = (response.status, response.headers) == (self._parser.get_status_code(), self._headers)
        return same_head and (response.body == body if whole else response.body.startswith(body))

    def next(self) -> None:
        """Prepares for the response to the next request; the previous one has been handled."""
        self.response = None
        self._copies, self._extra_is_no_copy = 0, False

    def on_message_begin(self) -> None:
        """Called by the underlying parser at the first byte of a response."""
        if self.response is not None:
            self.has_extra_data = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Called by the underlying parser at the end of a head."""
        super().on_headers_complete()
        if (
            self._parser.get_status_code() >= FIRST_FINAL_STATUS
            and self.response is None
            and not (
                b"content-length" in self._headers
                or b"chunked" in self._headers.get(b"transfer-encoding", b"").lower()
            )
        ):
            self._reject(502, "a response that does not say where it ends")

    def on_message_complete(self) -> None:
        """Called by the underlying parser at the end of a response."""
        self.in_message = False
        status = self._parser.get_status_code()
        if self.response is not None:
            self._copies += 1
            self._extra_is_no_copy = self._extra_is_no_copy or not self._repeats_response(whole=True)
        elif status >= FIRST_FINAL_STATUS:
            self.response = Response(
                status, self._headers, self._whole_body(), self._parser.should_keep_alive()
            )

    def _whole_body(self) -> bytes:
        """Returns the body of the complete response, and keeps nothing of it."""
        body, self._body = bytes(self._body), bytearray()
        return body


class StreamedResponseParser(ResponseParser):
    """Parses a response whose body goes on as long as its connection; the body is read as it arrives."""

    max_body_bytes = None

    def take(self, data: bytes) -> bytes:
        """Returns the part of the body that these bytes hold.

        Raises:
            HttpError: The input is not acceptable.
        """
        self._parse(data)
        if self.in_message and self._in_head:
            return b""
        return super()._whole_body()

    def _whole_body(self) -> bytes:
        """Returns nothing: `take` has returned the body, or is about to."""
        return b""

    @property
    def status(self) -> int:
        """The status code; 0 while the head is incomplete."""
        return 0 if self._in_head else self._parser.get_status_code()


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
) -> bytes:
    """Returns a request as bytes; adds Content-Length where there is a body, and to each POST."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response(
    status: int, body: bytes = b"", headers: Iterable[tuple[bytes, bytes]] = (), keep_alive: bool = True
) -> bytes:
    """Returns a response as bytes, with Content-Length, and with Connection: close unless kept alive."""
    lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b"Unknown"))]
    lines += [name + b": " + value for name, value in headers]
    if not keep_alive:
        lines.append(b"Connection: close")
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
