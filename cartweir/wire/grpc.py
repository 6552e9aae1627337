"""gRPC over HTTP/2 as its protocol document (grpc/doc/PROTOCOL-HTTP2.md) words it: no I/O, no state but the
walk through a body. Times are whole microseconds."""

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
    """Input that does not follow the protocol; the text says where and why."""


# ---- grpc-timeout -----------------------------------------------------------------------------------
_UNITS = {b"H": 3_600_000_000, b"M": 60_000_000, b"S": 1_000_000, b"m": 1_000, b"u": 1, b"n": 0.001}
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")


def decode_timeout(value: bytes) -> int:
    """Microseconds, rounded down. Raises MalformedError."""
    found = _TIMEOUT.fullmatch(value)
    if found is None:
        raise MalformedError(
            f"grpc-timeout {value[:20]!r}: one to eight digits and one of H M S m u n are due"
        )
    return int(int(found[1]) * _UNITS[found[2]])


def encode_timeout(time: int) -> bytes:
    """The finest unit in which the time, rounded down, takes eight digits at most."""
    for unit in (b"u", b"m", b"S", b"M", b"H"):
        if (number := max(0, time) // _UNITS[unit]) < 100_000_000:
            return b"%d%s" % (number, unit)
    return b"99999999H"


# ---- grpc-message, binary metadata ------------------------------------------------------------------
def encode_message(text: str) -> bytes:
    """Percent-encoded UTF-8: bytes outside 0x20 to 0x7e, and the percent sign."""
    return b"".join(
        bytes((byte,)) if 0x20 <= byte <= 0x7E and byte != 0x25 else b"%%%02X" % byte
        for byte in text.encode()
    )


def decode_message(value: bytes) -> str:
    """What cannot be decoded is kept as it is, as the protocol asks; never raises."""
    return unquote_to_bytes(value).decode("utf-8", "replace")


def encode_binary(value: bytes) -> bytes:
    return base64.b64encode(value).rstrip(b"=")


def decode_binary(value: bytes) -> bytes:
    """Value of a -bin header, padded or not. Raises MalformedError."""
    try:
        return base64.b64decode(value + b"=" * (-len(value) % 4), validate=True)
    except binascii.Error as error:
        raise MalformedError(f"binary metadata is not base64 ({error})") from None


# ---- headers ----------------------------------------------------------------------------------------
def find(headers: Headers, name: bytes) -> bytes | None:
    """First value of that name, or None."""
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
    return [(b":status", b"200"), (b"content-type", CONTENT_TYPE), *metadata]


def trailers(
    status: int, text: str = "", metadata: Iterable[tuple[bytes, bytes]] = ()
) -> list[tuple[bytes, bytes]]:
    headers = [(b"grpc-status", b"%d" % status)]
    if text:
        headers.append((b"grpc-message", encode_message(text)))
    headers.extend(metadata)
    return headers


# HTTP answers that carry no grpc-status (grpc/doc/http-grpc-status-mapping.md).
_HTTP = {
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
    """grpc-status of an answer from its last header block, else from its HTTP status; None: an answer
    with neither, which is no gRPC answer."""
    value = find(tail, b"grpc-status")
    if value is not None:
        return int(value) if value.isdigit() and len(value) < 4 else None
    http = find(head, b":status")
    return None if http == b"200" else _HTTP.get(http or b"", Status.UNKNOWN)


# ---- length-prefixed messages -----------------------------------------------------------------------
def frame(message: bytes) -> bytes:
    return PREFIX.pack(0, len(message)) + message


class MessageScanner:
    """Follows the length prefixes through a body that comes in pieces, and keeps none of it."""

    __slots__ = ("most", "messages", "_head", "_left")

    def __init__(self, most: int) -> None:
        self.most = most  # bytes a message may have
        self.messages = 0  # whole ones so far
        self._head = b""  # part of a prefix
        self._left = -1  # bytes due of the message under way; -1: a prefix is due

    def feed(self, piece: bytes) -> None:
        """Raises MalformedError on a flag that is neither 0 nor 1 or on a message over the bound."""
        at, size = 0, len(piece)
        while at < size:
            if self._left < 0:
                taken = min(5 - len(self._head), size - at)
                self._head += bytes(piece[at : at + taken])
                at += taken
                if len(self._head) < 5:
                    return
                flag, self._left = PREFIX.unpack(self._head)
                self._head = b""
                if flag > 1:
                    raise MalformedError(f"compressed flag is {flag}, where 0 or 1 is due")
                if self._left > self.most:
                    raise MalformedError(f"message of {self._left} bytes, where {self.most} are the most")
            taken = min(self._left, size - at)
            at, self._left = at + taken, self._left - taken
            if self._left == 0:
                self.messages, self._left = self.messages + 1, -1

    @property
    def whole(self) -> bool:
        """Nothing of a message is missing."""
        return self._left < 0 and not self._head


def messages(body: bytes) -> list[bytes]:
    """The messages of a whole, uncompressed body. Raises MalformedError."""
    found, at = [], 0
    while at < len(body):
        if at + 5 > len(body):
            raise MalformedError("body ends within a length prefix")
        flag, size = PREFIX.unpack_from(body, at)
        if flag:
            raise MalformedError("compressed message where none was negotiated")
        if at + 5 + size > len(body):
            raise MalformedError(f"length prefix says {size} bytes, {len(body) - at - 5} are there")
        found.append(body[at + 5 : at + 5 + size])
        at += 5 + size
    return found
