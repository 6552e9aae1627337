"""Translates between gRPC and the decisions' types.

Metadata of an invocation, results of dispatches, load reports and final answers. What follows from them is
decided in `logic`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from .. import interface as ours
from ..hosting.compact_keys import compact_key
from ..proto import orca_pb2
from ..wire import grpc
from ..wire.grpc import Headers, MalformedError, Status
from ..wire.session import CONNECTION_LOST, REFUSED, RESET, UNPROCESSED

# Metadata that a client may send; all of it is also sent on to the appliance.
KEY, CUSTOMER, WORK = b"cartweir-key", b"cartweir-customer", b"cartweir-work"
RETRY, WRITE = b"cartweir-retry", b"cartweir-write"
# Metadata that an appliance gets with each dispatch: the agent's number, and invocation.dispatch.
AGENT_HEADER, DISPATCH_HEADER = b"cartweir-agent", b"cartweir-dispatch"
# Trailer of an answer that the agent gives by itself: throttled or terminated.
ANSWER = b"cartweir-answer"
LOAD = b"endpoint-load-metrics-bin"

# Statuses by which an appliance reports that it could not do the work, though it may have begun. All others
# are answers to the client: the work was done, or the appliance found that it must not be done.
ERROR_STATUSES = frozenset(
    (
        Status.UNKNOWN,
        Status.INTERNAL,
        Status.UNAVAILABLE,
        Status.DATA_LOSS,
        Status.CANCELLED,
        Status.DEADLINE_EXCEEDED,
        Status.RESOURCE_EXHAUSTED,
    )
)
# Results of dispatches whose streams were aborted, by the reason.
ABORTED_RESULTS = {
    RESET: ours.ERROR,
    REFUSED: ours.FULL,
    UNPROCESSED: ours.UNCONNECTED,
    CONNECTION_LOST: ours.RESET,
}
VOTE_ANSWERS = {0: "ok", 1: "moot", 2: "full", 3: "error"}
PHASES = (ours.ON_TRIAL, ours.GOING_BACK, ours.RELEASED, ours.WITHDRAWN)
CHOICES = {ours.NO_VOTE: 0, ours.ON: 1, ours.HOLD: 2, ours.BACK: 3}
STATES = (ours.READY, ours.DRAINING, ours.GONE)

# Headers of one hop, which are not passed on.
_HOP_HEADERS = frozenset((b"te", b"grpc-timeout", b"content-type", b"connection", b"host"))


@dataclass(slots=True)
class RequestHeaders:
    """The headers of a client's call.

    Attributes:
        path: The gRPC method's path.
        timeout: How long the client waits, in microseconds; None if it does not say.
        content_type: The content type.
        metadata: The headers that are passed on to the appliance.
        customer: The customer; empty if unknown.
        key: The invocation's key.
        hint: The client's estimate of the work, in microseconds; 0 if it gives none.
        retry: Whether the client has sent the call before.
        write: Whether the call writes.
    """

    path: bytes
    timeout: int | None
    content_type: bytes
    metadata: list[tuple[bytes, bytes]]
    customer: str = ""
    key: str | None = None
    hint: int = 0
    retry: bool = False
    write: bool = False


def read_request(headers: Headers) -> RequestHeaders:
    """Reads the headers of a client's call.

    Raises:
        MalformedError: They are not those of a gRPC call; the message says why.
    """
    found: dict[bytes, bytes] = {}
    metadata = []
    for name, value in headers:
        if name.startswith(b":") or name in _HOP_HEADERS:
            found[name] = value
        else:
            metadata.append((name, value))
            found.setdefault(name, value)
    content_type = found.get(b"content-type", b"")
    if found.get(b":method") != b"POST":
        raise MalformedError("method is not POST")
    timeout = found.get(b"grpc-timeout")
    request = RequestHeaders(
        found.get(b":path", b""),
        None if timeout is None else grpc.decode_timeout(timeout),
        content_type,
        metadata,
    )
    request.customer = found.get(CUSTOMER, b"").decode("latin-1")
    if (key := found.get(KEY)) is not None:
        request.key = compact_key(key)
    if (work := found.get(WORK)) is not None:
        request.hint = grpc.decode_timeout(work)  # written like grpc-timeout: 120m is 120 ms
    request.retry = found.get(RETRY) == b"1" or found.get(grpc.ATTEMPTS, b"0") not in (b"0", b"")
    request.write = found.get(WRITE) == b"1"
    return request


def result_of(head: Headers, tail: Headers, whole: bool) -> str:
    """Returns how a dispatch ended whose answer has arrived to its end.

    An answer that cannot be read counts as lost: the appliance may have answered well.

    Args:
        head: The answer's headers.
        tail: Its trailers.
        whole: Whether its last message is complete.
    """
    status = grpc.status_of(head, tail)
    if status is None or not whole:
        return ours.RESET
    if status == Status.RESOURCE_EXHAUSTED and not head:
        return ours.FULL  # trailers only: the appliance refused the call before any work
    return ours.ERROR if status in ERROR_STATUSES else ours.SUCCEEDED


def load_of(trailers: Headers) -> Mapping[str, float] | None:
    """Returns the load of an ORCA report by the decisions' names; None if no report can be read."""
    value = grpc.find(trailers, LOAD)
    if value is None:
        return None
    report = orca_pb2.OrcaLoadReport()
    try:
        report.ParseFromString(grpc.decode_binary(value))
    except (MalformedError, DecodeError):
        return None
    load = {
        name: report.named_metrics[name]
        for name in ("inflight", "queue", "mean_ms")
        if name in report.named_metrics
    }
    if report.rps_fractional > 0:
        load["rate"] = report.rps_fractional
    if report.cpu_utilization > 0:
        load["util"] = report.cpu_utilization
    return load or None


def throttled(retry_after: int) -> list[tuple[bytes, bytes]]:
    """Returns the trailers-only answer which says that trying again is harmless.

    Args:
        retry_after: The advised delay in microseconds; 0 for no advice.
    """
    advice = [(grpc.PUSHBACK, b"%d" % max(1, retry_after // 1000))] if retry_after else []
    return [
        *grpc.response_headers(),
        *grpc.trailers(Status.RESOURCE_EXHAUSTED, "throttled", [(ANSWER, b"throttled"), *advice]),
    ]


def terminated(begun: bool = False) -> list[tuple[bytes, bytes]]:
    """Returns the answer that promises nothing about the effect.

    UNKNOWN is in no library's set of statuses to retry, and the pushback forbids a retry as well.

    Args:
        begun: Whether headers have already been sent.
    """
    tail = grpc.trailers(Status.UNKNOWN, "terminated", [(ANSWER, b"terminated"), (grpc.PUSHBACK, b"-1")])
    return tail if begun else [*grpc.response_headers(), *tail]


def refused(status: int, text: str) -> list[tuple[bytes, bytes]]:
    """Returns the answer to a call that is not accepted at all."""
    return [*grpc.response_headers(), *grpc.trailers(status, text, [(grpc.PUSHBACK, b"-1")])]
