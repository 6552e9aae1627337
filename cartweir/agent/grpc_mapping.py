"""What gRPC says, in our words, and back: metadata of an invocation, how a dispatch ended, load, final answers.

Translation alone: what follows from it is decided in logic.py.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from .. import interface as ours
from ..proto import orca_pb2
from ..wire import grpc
from ..wire.grpc import Headers, MalformedError, Status
from ..wire.session import CONNECTION_LOST, REFUSED, RESET, UNPROCESSED

# Metadata that a client may send; all of it also reaches the appliance.
KEY, CUSTOMER, WORK = b"cartweir-key", b"cartweir-customer", b"cartweir-work"
RETRY, WRITE = b"cartweir-retry", b"cartweir-write"
# Metadata that an appliance gets with each dispatch: number of the agent, and invocation.dispatch.
AGENT_HEADER, DISPATCH_HEADER = b"cartweir-agent", b"cartweir-dispatch"
# Trailer of an answer that the agent gives by itself: throttled or terminated.
ANSWER = b"cartweir-answer"
LOAD = b"endpoint-load-metrics-bin"

# Statuses by which an appliance says that it could not do the work though it may have begun. All others are
# answers to the client: the work was done, or it was found that it must not be.
ERRORS = frozenset(
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
GONE = {RESET: ours.ERROR, REFUSED: ours.FULL, UNPROCESSED: ours.UNCONNECTED, CONNECTION_LOST: ours.RESET}
ANSWERS = {0: "ok", 1: "moot", 2: "full", 3: "error"}
PHASES = (ours.ON_TRIAL, ours.GOING_BACK, ours.RELEASED, ours.WITHDRAWN)
CHOICES = {ours.NO_VOTE: 0, ours.ON: 1, ours.HOLD: 2, ours.BACK: 3}
STATES = (ours.READY, ours.DRAINING, ours.GONE)

# Headers of one hop, which the router does not pass on.
_HOP = frozenset((b"te", b"grpc-timeout", b"content-type", b"connection", b"host"))


@dataclass(slots=True)
class RequestHeaders:
    """What the headers of a call say; times in microseconds."""

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
    """Raises MalformedError on what is no gRPC call, with the reason."""
    found: dict[bytes, bytes] = {}
    metadata = []
    for name, value in headers:
        if name.startswith(b":") or name in _HOP:
            found[name] = value
        else:
            metadata.append((name, value))
            found.setdefault(name, value)
    kind = found.get(b"content-type", b"")
    if found.get(b":method") != b"POST":
        raise MalformedError("method is not POST")
    timeout = found.get(b"grpc-timeout")
    asked = RequestHeaders(
        found.get(b":path", b""), None if timeout is None else grpc.decode_timeout(timeout), kind, metadata
    )
    asked.customer = found.get(CUSTOMER, b"").decode("latin-1")
    if (key := found.get(KEY)) is not None:
        asked.key = key.decode("latin-1")
    if (work := found.get(WORK)) is not None:
        asked.hint = grpc.decode_timeout(work)  # written like grpc-timeout: 120m is 120 ms
    asked.retry = found.get(RETRY) == b"1" or found.get(grpc.ATTEMPTS, b"0") not in (b"0", b"")
    asked.write = found.get(WRITE) == b"1"
    return asked


def outcome_of(head: Headers, tail: Headers, whole: bool) -> str:
    """How a dispatch ended that the appliance has answered to the end; `whole`: no message is cut short."""
    status = grpc.status_of(head, tail)
    if status is None or not whole:
        return ours.ERROR
    if status == Status.RESOURCE_EXHAUSTED and not head:
        return ours.FULL  # trailers alone: turned away before any work
    return ours.ERROR if status in ERRORS else ours.SUCCEEDED


def load_of(trailers: Headers) -> Mapping[str, float] | None:
    """ORCA's report in our names; None where there is none, or none that can be read."""
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
    """The trailers-only answer that says that trying again is harmless; advice in microseconds, 0 for none."""
    advice = [(grpc.PUSHBACK, b"%d" % max(1, retry_after // 1000))] if retry_after else []
    return [
        *grpc.response_headers(),
        *grpc.trailers(Status.RESOURCE_EXHAUSTED, "throttled", [(ANSWER, b"throttled"), *advice]),
    ]


def terminated(begun: bool = False) -> list[tuple[bytes, bytes]]:
    """The answer that promises nothing. UNKNOWN is in no library's set of statuses to retry, and the pushback says
    so once more; `begun`: headers have gone out already."""
    tail = grpc.trailers(Status.UNKNOWN, "terminated", [(ANSWER, b"terminated"), (grpc.PUSHBACK, b"-1")])
    return tail if begun else [*grpc.response_headers(), *tail]


def refused(status: int, text: str) -> list[tuple[bytes, bytes]]:
    """For a call that is not taken at all."""
    return [*grpc.response_headers(), *grpc.trailers(status, text, [(grpc.PUSHBACK, b"-1")])]
