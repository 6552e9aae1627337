"""Checks a client's request, and translates its headers to what the decisions take. No I/O, no decision."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..hosting.compact_keys import compact_key
from ..interface import FINGERPRINTED, IDEMPOTENT, Operation
from . import protocol
from .http1 import HttpError, Request

MAX_WORK_DIGITS = 11  # of the header that hints at the work of a request

_TOKEN = re.compile(rb"[!-~]{1,128}")


@dataclass(frozen=True, slots=True)
class CheckedRequest:
    """A request that may be handed to the decisions.

    Attributes:
        id: Its id.
        operation: What it asks for.
        fingerprint: The key by which appliances recognize repeats; empty for none.
        time_limit: How long its client waits, in microseconds.
        request: The request.
    """

    id: bytes
    operation: Operation
    fingerprint: bytes
    time_limit: int
    request: Request

    def head(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers that are passed on unchanged."""
        head = [(b"X-Request-ID", self.id)]
        if self.fingerprint:
            head.append((b"Idempotency-Key", self.fingerprint))
        return head

    def attributes(self) -> dict[str, Any]:
        """Returns the further fields of its invocation."""
        header = self.request.header
        key, work = header(protocol.KEY_HEADER), header(protocol.WORK_HEADER)
        figures = protocol.parse_attributes(header(protocol.ATTRIBUTES_HEADER))
        return {
            "customer": header(protocol.CUSTOMER_HEADER).decode("latin-1"),
            "key": compact_key(key) if key else None,
            "work_hint": int(work) if work.isdigit() and len(work) <= MAX_WORK_DIGITS else 0,
            "retry": header(protocol.RETRY_HEADER) == b"1",
            "write": figures.get("update") in ("1", "true"),
        }


def check_request(request: Request, path: bytes, operations: Mapping[bytes, Operation]) -> CheckedRequest:
    """Returns a request whose headers and method are sound.

    Args:
        request: The request.
        path: The path of its target.
        operations: The operations by their names.

    Raises:
        HttpError: It is not.
    """
    operation = _operation_of(request, path, operations)
    request_id = request.header(protocol.REQUEST_ID_HEADER)
    fingerprint = request.header(protocol.FINGERPRINT_HEADER)
    if not _TOKEN.fullmatch(request_id):
        raise HttpError(400, "no id")
    if operation.effect == FINGERPRINTED and not _TOKEN.fullmatch(fingerprint):
        raise HttpError(400, "no key against repeats")
    time_limit = protocol.parse_time_limit(request.header(protocol.TIME_LIMIT_HEADER))
    if not time_limit:
        raise HttpError(400, "no time limit, such as 480m")
    return CheckedRequest(request_id, operation, fingerprint, time_limit, request)


def _operation_of(request: Request, path: bytes, operations: Mapping[bytes, Operation]) -> Operation:
    operation = operations.get(request.header(protocol.OPERATION_HEADER))
    if operation is None:
        raise HttpError(404, "no such operation")
    if path.split(b"/", 2)[1:2] != [operation.name.encode()]:
        raise HttpError(400, "the path is not of the operation")
    if request.method != (b"GET" if operation.effect == IDEMPOTENT else b"POST"):
        raise HttpError(405, "not the operation's method")
    if operation.effect == IDEMPOTENT and request.body:
        raise HttpError(400, "a body where none is due")
    return operation
