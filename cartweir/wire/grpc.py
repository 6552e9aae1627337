"""The encodings of gRPC over HTTP/2, as defined by grpc/doc/PROTOCOL-HTTP2.md.

No I/O, and no state but that of `MessageScanner`. Times are whole microseconds.
"""

from __future__ import annotations

import base64
import binascii
import re
import struct
from collections.abc import Iterable, Sequence
from enum import IntEnum
from urllib.parse import unquote_to_bytes

Headers = Sequence[tuple[bytes, bytes]]

CONTENT_TYPE = b"application/grpc"
PUSHBACK = b"grpc-retry-pushback-ms"  # gRFC A6: how long a client is to wait; -1: not to retry
ATTEMPTS = b"grpc-previous-rpc-attempts"  # gRFC A6: set by clients that retry by themselves
PREFIX = struct.Struct(">BI")  # compressed flag, message length
PREFIX_SIZE = PREFIX.size  # bytes
MAX_STATUS_DIGITS = 3


class Status(IntEnum):
    """grpc-status; values from grpc/doc/statuscodes.md."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class MalformedError(ValueError):
    """The input does not follow the protocol; the text says where and why."""


class MessageTooLongError(MalformedError):
    """A message is longer than the settings allow."""


# ---- grpc-timeout -----------------------------------------------------------------------------------
_UNITS = {b"H": 3_600_000_000, b"M": 60_000_000, b"S": 1_000_000, b"m": 1_000, b"u": 1, b"n": 0.001}
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
_TIMEOUT_LIMIT = 10**8  # numbers from here on have too many digits


def decode_timeout(value: bytes) -> int:
    """Returns a grpc-timeout in microseconds, rounded down.

    Raises:
        MalformedError: The value is no grpc-timeout.
    """
    found = _TIMEOUT.fullmatch(value)
    if found is None:
        raise MalformedError(
            f"grpc-timeout {value[:20]!r}: one to eight digits and one of H M S m u n are due"
        )
    return int(int(found[1]) * _UNITS[found[2]])


def encode_timeout(time: int) -> bytes:
    """Returns microseconds as grpc-timeout, rounded down, in the finest unit that takes 8 digits."""
    for unit in (b"u", b"m", b"S", b"M", b"H"):
        if (number := max(0, time) // _UNITS[unit]) < _TIMEOUT_LIMIT:
            return b"%d%s" % (number, unit)
    return b"99999999H"


# ---- grpc-message, binary metadata ------------------------------------------------------------------
_PERCENT = ord("%")
_FIRST_PRINTABLE, _LAST_PRINTABLE = 0x20, 0x7E


def encode_message(text: str) -> bytes:
    """Returns UTF-8 with the percent sign and all bytes that are not printable ASCII percent-encoded."""
    return b"".join(
        bytes((byte,))
        if _FIRST_PRINTABLE <= byte <= _LAST_PRINTABLE and byte != _PERCENT
        else b"%%%02X" % byte
        for byte in text.encode()
    )


def decode_message(value: bytes) -> str:
    """Decodes grpc-message; keeps what cannot be decoded, as the protocol requires, and never raises."""
    return unquote_to_bytes(value).decode("utf-8", "replace")


def encode_binary(value: bytes) -> bytes:
    """Returns the value of a -bin header, without padding."""
    return base64.b64encode(value).rstrip(b"=")


def decode_binary(value: bytes) -> bytes:
    """Decodes the value of a -bin header, padded or not.

    Raises:
        MalformedError: The value is not base64.
    """
    try:
        return base64.b64decode(value + b"=" * (-len(value) % 4), validate=True)
    except binascii.Error as error:
        raise MalformedError(f"binary metadata is not base64 ({error})") from None


# ---- headers ----------------------------------------------------------------------------------------
def find(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of that name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def request_headers(
    path: bytes,
    authority: bytes,
    timeout: int | None,
    metadata: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a request; timeout: in microseconds, None for none."""
    headers = [
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":path", path),
        (b":authority", authority),
        (b"te", b"trailers"),
    ]
    if timeout is not None:
        headers.append((b"grpc-timeout", encode_timeout(timeout)))
    headers.append((b"content-type", CONTENT_TYPE))
    headers.extend(metadata)
    return headers


def response_headers(metadata: Iterable[tuple[bytes, bytes]] = ()) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a response."""
    return [(b":status", b"200"), (b"content-type", CONTENT_TYPE), *metadata]


def trailers(
    status: int, text: str = "", metadata: Iterable[tuple[bytes, bytes]] = ()
) -> list[tuple[bytes, bytes]]:
    """Returns the trailers of a response, with its status and message."""
    headers = [(b"grpc-status", b"%d" % status)]
    if text:
        headers.append((b"grpc-message", encode_message(text)))
    headers.extend(metadata)
    return headers


# For HTTP responses without grpc-status (grpc/doc/http-grpc-status-mapping.md).
_STATUS_OF_HTTP = {
    b"400": Status.INTERNAL,
    b"401": Status.UNAUTHENTICATED,
    b"403": Status.PERMISSION_DENIED,
    b"404": Status.UNIMPLEMENTED,
    b"429": Status.UNAVAILABLE,
    b"502": Status.UNAVAILABLE,
    b"503": Status.UNAVAILABLE,
    b"504": Status.UNAVAILABLE,
}


def status_of(head: Headers, tail: Headers) -> int | None:
    """Returns the grpc-status of a response from its last header block, else one for its HTTP status.

    None: the response has neither, so it is no gRPC response.
    """
    value = find(tail, b"grpc-status")
    if value is not None:
        return int(value) if value.isdigit() and len(value) <= MAX_STATUS_DIGITS else None
    http = find(head, b":status")
    return None if http == b"200" else _STATUS_OF_HTTP.get(http or b"", Status.UNKNOWN)


# ---- length-prefixed messages -----------------------------------------------------------------------
def frame(message: bytes) -> bytes:
    """Returns an uncompressed message with its length prefix."""
    return PREFIX.pack(0, len(message)) + message


class MessageScanner:
    """Follows the length prefixes through a body that arrives in pieces; keeps none of it.

    Attributes:
        max_message_bytes: Bytes that a message may have.
        messages: Complete messages so far.
    """

    __slots__ = ("_missing", "_prefix", "max_message_bytes", "messages")

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self.messages = 0
        self._prefix = b""  # part of a prefix
        self._missing = -1  # bytes of the current message; -1: a prefix is next

    def feed(self, piece: bytes) -> None:
        """Scans the next piece.

        Raises:
            MalformedError: A compressed flag is neither 0 nor 1.
            MessageTooLongError: A message is too long.
        """
        position, size = 0, len(piece)
        while position < size:
            if self._missing < 0:
                count = min(PREFIX_SIZE - len(self._prefix), size - position)
                self._prefix += bytes(piece[position : position + count])
                position += count
                if len(self._prefix) < PREFIX_SIZE:
                    return
                flag, self._missing = PREFIX.unpack(self._prefix)
                self._prefix = b""
                if flag > 1:
                    raise MalformedError(f"compressed flag is {flag}, where 0 or 1 is due")
                if self._missing > self.max_message_bytes:
                    raise MessageTooLongError(
                        f"message of {self._missing} bytes, where {self.max_message_bytes} are the most"
                    )
            count = min(self._missing, size - position)
            position, self._missing = position + count, self._missing - count
            if self._missing == 0:
                self.messages, self._missing = self.messages + 1, -1

    @property
    def whole(self) -> bool:
        """The input so far ends with a complete message."""
        return self._missing < 0 and not self._prefix


def messages(body: bytes) -> list[bytes]:
    """Returns the messages of a complete, uncompressed body.

    Raises:
        MalformedError: A message is compressed or incomplete.
    """
    found, position = [], 0
    while position < len(body):
        if position + PREFIX_SIZE > len(body):
            raise MalformedError("body ends within a length prefix")
        flag, size = PREFIX.unpack_from(body, position)
        if flag:
            raise MalformedError("compressed message where none was negotiated")
        position += PREFIX_SIZE
        if position + size > len(body):
            raise MalformedError(f"length prefix says {size} bytes, {len(body) - position} are there")
        found.append(body[position : position + size])
        position += size
    return found
