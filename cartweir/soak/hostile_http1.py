"""The bytes that hostile clients of the node send, in HTTP/1.1. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import count

from .hostile_plan import Attack, HostilePlan

BODY_BYTES = 65_000
SENT_BYTES = 60_000  # of a body that stops half way
SLOW_PIECE_BYTES = 400
TRAILER_PIECE_BYTES = 60_000
SHORT_FIELDS = 92
WRITE_BYTES = 64 * 1024  # of what is sent at full speed
FIELD_NUMBERS = range(16, 16 + SHORT_FIELDS)


def head(plan: HostilePlan, number: int, length: str, more: str = "") -> bytes:
    """Returns the head of a keyed request without its end, but for the last empty line."""
    return (
        f"POST {plan.path} HTTP/1.1\r\nHost: a\r\nX-Request-ID: hostile-{number}\r\n"
        f"X-Priority-Class: {plan.path.split('/')[1]}\r\nX-Timeout: 2000m\r\n"
        f"Idempotency-Key: hostile-{number}\r\n{length}{more}"
    ).encode()


def pieces(plan: HostilePlan, number: int) -> Iterator[bytes]:
    """Returns what one connection sends, piece by piece; without an end where it never ends.

    Args:
        plan: What the client does.
        number: A number that no other connection has.
    """
    return _PIECES[plan.attack](plan, number)


def _slow_body(plan: HostilePlan, number: int) -> Iterator[bytes]:
    yield head(plan, number, f"Content-Length: {BODY_BYTES}\r\n\r\n")
    for _ in range(BODY_BYTES // SLOW_PIECE_BYTES - 1):
        yield b"x" * SLOW_PIECE_BYTES


def _half_request(plan: HostilePlan, number: int) -> Iterator[bytes]:
    yield head(plan, number, f"Content-Length: {BODY_BYTES}\r\n\r\n") + b"x" * SENT_BYTES


def _short_fields(plan: HostilePlan, number: int) -> Iterator[bytes]:
    fields = "".join(f"{field:x}: {field:x}\r\n" for field in FIELD_NUMBERS)
    yield head(plan, number, "", fields)


def _tiny_chunks(plan: HostilePlan, number: int) -> Iterator[bytes]:
    yield head(plan, number, "Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(SENT_BYTES // 2000):
        yield b"2\r\nxy\r\n" * 1000


def _endless_trailer(plan: HostilePlan, number: int) -> Iterator[bytes]:
    yield head(plan, number, "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ")
    while True:
        yield b"x" * TRAILER_PIECE_BYTES


def _small_requests(plan: HostilePlan, number: int) -> Iterator[bytes]:
    request = b"GET / HTTP/1.1\r\n\r\n"
    while True:
        yield request * (WRITE_BYTES // len(request))


def _new_names(plan: HostilePlan, number: int) -> Iterator[bytes]:
    """Sends requests of classes, tenants and ids that do not exist, as many as fit in a write."""
    for name in count():
        batch = b"".join(
            f"GET /class-{name}-{request}/x HTTP/1.1\r\nX-Request-ID: new-{number}-{name}-{request}\r\n"
            f"X-Priority-Class: class-{name}-{request}\r\nX-Tenant-Id: t{name}-{request}\r\n"
            f"X-Route-Key: k{name}-{request}\r\nX-Timeout: 2000m\r\n\r\n".encode()
            for request in range(200)
        )
        yield batch


def _blank_lines(plan: HostilePlan, number: int) -> Iterator[bytes]:
    while True:
        yield b"\r\n" * (WRITE_BYTES // 2)


def _unread_answers(plan: HostilePlan, number: int) -> Iterator[bytes]:
    while True:
        yield b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"


_PIECES = {
    Attack.SLOW_BODIES: _slow_body,
    Attack.HALF_REQUESTS: _half_request,
    Attack.SHORT_FIELDS: _short_fields,
    Attack.TINY_CHUNKS: _tiny_chunks,
    Attack.ENDLESS_TRAILERS: _endless_trailer,
    Attack.SMALL_REQUESTS: _small_requests,
    Attack.NEW_NAMES: _new_names,
    Attack.BLANK_LINES: _blank_lines,
    Attack.UNREAD_ANSWERS: _unread_answers,
}
