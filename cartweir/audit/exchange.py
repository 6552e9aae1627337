"""One HTTP/2 stream as one side of its connection saw it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

REFUSED_STREAM = 7  # the HTTP/2 error code
RESOURCE_EXHAUSTED = "8"  # the gRPC status with which a server throttles
OK = "0"  # the gRPC status

Headers = dict[str, str]


class HeaderBlock(NamedTuple):
    """A block of response headers or trailers."""

    at: int
    headers: Headers
    ends_stream: bool


class Reset(NamedTuple):
    """A RST_STREAM frame."""

    at: int
    sent_here: bool
    code: int


class Chunk(NamedTuple):
    """A part of the response body."""

    at: int
    data: bytes


@dataclass(eq=False, slots=True)
class Exchange:
    """A request and its response; times are microseconds, or None for what did not happen.

    Attributes:
        tap: the name of the recording.
        connection: the number of the connection in it.
        opened_here: the process whose sockets were recorded sent the request.
        peer: the address of the other side.
        began_at: when the request's headers passed.
        request_ended_at: when the request was complete.
        ended_at_times: when the response was complete; more than once if it was answered more than once.
        goaway_at: when a GOAWAY frame said that the stream was not processed.
        disconnected_at: when the connection closed with the stream open.
        body: the response body, if it was to be kept.
    """

    tap: str
    connection: int
    stream_id: int
    opened_here: bool
    peer: str
    began_at: int
    request: Headers
    request_ended_at: int | None = None
    response: list[HeaderBlock] = field(default_factory=list)
    ended_at_times: list[int] = field(default_factory=list)
    reset: Reset | None = None
    goaway_at: int | None = None
    disconnected_at: int | None = None
    body: list[Chunk] = field(default_factory=list)

    @property
    def place(self) -> str:
        """Where the exchange is found, for people."""
        return f"{self.tap} link {self.connection} stream {self.stream_id}"

    @property
    def path(self) -> str:
        """The path of the request."""
        return self.request.get(":path", "")

    @property
    def trailers(self) -> Headers:
        """The last block of response headers."""
        return self.response[-1].headers if self.response else {}

    @property
    def answered_at(self) -> int | None:
        """When the response was first complete."""
        return self.ended_at_times[0] if self.ended_at_times else None

    @property
    def ended_at(self) -> int | None:
        """When the exchange was over for both sides, as this side saw it."""
        reset_at = self.reset.at if self.reset else None
        times = (self.answered_at, reset_at, self.goaway_at, self.disconnected_at)
        return min((time for time in times if time is not None), default=None)

    @property
    def known_unprocessed_at(self) -> int | None:
        """When it became known that the request had not been processed; None if it may have been."""
        if self.reset and not self.reset.sent_here and self.reset.code == REFUSED_STREAM:
            return self.reset.at
        if self.goaway_at is not None:
            return self.goaway_at
        is_trailers_only = len(self.response) == 1 and self.response[0].ends_stream
        if is_trailers_only and self.trailers.get("grpc-status") == RESOURCE_EXHAUSTED:
            return self.response[0].at
        return None
