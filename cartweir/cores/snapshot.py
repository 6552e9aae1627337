"""What of the decisions' memory is written into the book at each beat, and put back into those that start anew: the
evidence of the judge, the votes, the bounds. Copying alone."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from ..interface import Operation
from ..logic import RESPONSE_TIME_EDGES, Agent
from ..state import Histogram

_FIELDS = ("totals", "blocks", "counts", "failures", "last_earlier")


def kept(agent: Agent, operations: Sequence[Operation]) -> dict[str, Any]:
    """Plain lists and numbers. Operations are told by their place."""
    index = {operation: at for at, operation in enumerate(operations)}
    return {
        "votes": agent.is_voter,
        "spare": agent.retry_budget,
        "limit": agent.concurrency_limit,
        "undecided": agent.undecided_since,
        "judges": [
            [index.get(operation), list(stream), *(_plain(getattr(judge, name)) for name in _FIELDS)]
            for (operation, stream), judge in agent.evidence.streams.items()
        ],
        "times": [
            [kind, list(times.bins), times.total] for kind, times in agent.evidence.response_times.items()
        ],
    }


def put_back(agent: Agent, operations: Sequence[Operation], state: dict[str, Any]) -> None:
    """state: of kept(), or a part of it; of the same stage."""
    agent.is_voter = state.get("votes", agent.is_voter)
    agent.retry_budget = min(agent.retry_budget, state.get("spare", agent.retry_budget))
    agent.concurrency_limit = max(agent.concurrency_limit, state.get("limit", 0.0))
    agent.undecided_since = state.get("undecided", 0)
    for at, stream, *values in state.get("judges", ()):
        key = (None if at is None else operations[at], tuple(stream))
        agent.evidence.add(*key, False, 0, 0)  # makes it as the decisions make theirs
        judge = agent.evidence.streams[key]
        for name, value in zip(_FIELDS, values):
            setattr(judge, name, tuple(value) if name == "last_earlier" else value)
    for kind, bins, total in state.get("times", ()):
        if len(bins) == len(RESPONSE_TIME_EDGES) + 1:
            times = agent.evidence.response_times[kind] = Histogram(RESPONSE_TIME_EDGES, 400)
            times.bins, times.total = bins, total


def _plain(value: Any) -> Any:
    return list(value) if isinstance(value, (list, tuple)) else value
