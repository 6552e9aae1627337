"""What a hostile client of a soak or a test does, as data that fits on a command line."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import StrEnum


class Attack(StrEnum):
    """Kinds of hostile clients."""

    # many connections at once
    SLOW_BODIES = "slow_bodies"  # large requests, written in small pieces
    HALF_REQUESTS = "half_requests"  # large requests that stop half way
    SHORT_FIELDS = "short_fields"  # heads of very many short fields
    TINY_CHUNKS = "tiny_chunks"  # bodies in chunks of two bytes
    ENDLESS_TRAILERS = "endless_trailers"  # a field behind a chunked body that never ends
    # one connection at full speed
    SMALL_REQUESTS = "small_requests"  # unsound ones, without a wait for their answers
    NEW_NAMES = "new_names"  # the same, under ever new names
    BLANK_LINES = "blank_lines"  # where a request should begin
    UNREAD_ANSWERS = "unread_answers"  # asks again and again, and reads nothing
    # HTTP/2 alone
    RESETS = "resets"  # streams that are reset as soon as they are complete
    PINGS = "pings"
    SETTINGS = "settings"


CROWDS = (
    Attack.SLOW_BODIES,
    Attack.HALF_REQUESTS,
    Attack.SHORT_FIELDS,
    Attack.TINY_CHUNKS,
    Attack.ENDLESS_TRAILERS,
)
FLOODS = (Attack.SMALL_REQUESTS, Attack.NEW_NAMES, Attack.BLANK_LINES, Attack.UNREAD_ANSWERS)
HTTP2_CROWDS = (Attack.HALF_REQUESTS, Attack.SHORT_FIELDS, Attack.TINY_CHUNKS)
HTTP2_FLOODS = (
    Attack.SMALL_REQUESTS,
    Attack.NEW_NAMES,
    Attack.RESETS,
    Attack.PINGS,
    Attack.SETTINGS,
    Attack.UNREAD_ANSWERS,
)


@dataclass(frozen=True)
class HostilePlan:
    """What one process of hostile clients does.

    Attributes:
        attack: The kind.
        address: Address of the agent.
        path: Path of a sound request: the operation of the node, the method of the gRPC agent.
        connections: Connections at a time.
        seconds: For how long.
        pause: Seconds after which a connection that has ended is made anew; below 0: never.
        http2: Whether the agent speaks HTTP/2.
    """

    attack: Attack
    address: str
    path: str
    connections: int
    seconds: float
    pause: float = 0.05
    http2: bool = False

    def to_json(self) -> str:
        """Returns the plan as the process takes it."""
        return json.dumps(asdict(self))

    @classmethod
    def from_json(cls, text: str) -> HostilePlan:
        """Returns the plan that `to_json` has written."""
        fields = json.loads(text)
        return cls(**{**fields, "attack": Attack(fields["attack"])})


@dataclass(frozen=True)
class HostileResult:
    """What became of the connections of a hostile client.

    Attributes:
        connections: Connections that were made.
        refused: Connections that could not be made.
        sent: Bytes that were written.
        ended: Connections that got an answer or were closed by the agent.
        slowest: Seconds until then, of the slowest one.
        waiting: Connections that got neither in the time that they are owed it.
    """

    connections: int = 0
    refused: int = 0
    sent: int = 0
    ended: int = 0
    slowest: float = 0.0
    waiting: int = 0
