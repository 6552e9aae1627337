"""Copies the memory of the decisions into the shared state at each heartbeat, and back into a new decider.

It holds the evidence on builds, the votes and the limits. The keys of the map are fixed.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from ..interface import Operation
from ..logic import RESPONSE_TIME_EDGES, Agent
from ..state import Histogram

HISTOGRAM_LIMIT = 400  # answers in a histogram of response times; it is halved at this count

# Attributes of a stream of evidence, in the order in which they are written.
_STREAM_FIELDS = ("totals", "blocks", "counts", "failures", "last_earlier")


def take_snapshot(agent: Agent, operations: Sequence[Operation]) -> dict[str, Any]:
    """Returns the memory as plain lists and numbers; an operation is named by its place in `operations`."""
    index = {operation: place for place, operation in enumerate(operations)}
    return {
        "votes": agent.is_voter,
        "spare": agent.retry_budget,
        "limit": agent.concurrency_limit,
        "undecided": agent.undecided_since,
        "judges": [
            [
                index.get(operation),
                list(stream),
                *(_plain(getattr(counts, name)) for name in _STREAM_FIELDS),
            ]
            for (operation, stream), counts in agent.evidence.streams.items()
        ],
        "times": [
            [kind, list(times.bins), times.total] for kind, times in agent.evidence.response_times.items()
        ],
    }


def restore_snapshot(agent: Agent, operations: Sequence[Operation], snapshot: dict[str, Any]) -> None:
    """Puts a snapshot of the same stage back; parts of it may be missing."""
    agent.is_voter = snapshot.get("votes", agent.is_voter)
    agent.retry_budget = min(agent.retry_budget, snapshot.get("spare", agent.retry_budget))
    agent.concurrency_limit = max(agent.concurrency_limit, snapshot.get("limit", 0.0))
    agent.undecided_since = snapshot.get("undecided", 0)
    for place, stream, *values in snapshot.get("judges", ()):
        key = (None if place is None else operations[place], tuple(stream))
        agent.evidence.add(*key, False, 0, 0)  # creates the stream as the decisions do
        counts = agent.evidence.streams[key]
        for name, value in zip(_STREAM_FIELDS, values, strict=False):
            setattr(counts, name, tuple(value) if name == "last_earlier" else value)
    for kind, bins, total in snapshot.get("times", ()):
        if len(bins) == len(RESPONSE_TIME_EDGES) + 1:
            times = agent.evidence.response_times[kind] = Histogram(RESPONSE_TIME_EDGES, HISTOGRAM_LIMIT)
            times.bins, times.total = bins, total


def _plain(value: Any) -> Any:
    return list(value) if isinstance(value, (list, tuple)) else value
