"""What the processes of a run recorded, read from their files."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from .appliance import FAILING


@dataclass(frozen=True)
class Attempt:
    """A request as an appliance received it.

    Attributes:
        at: When its last byte was read, in microseconds of the monotonic clock.
        server: The appliance.
        request_id: The request's id.
        agent: The number of the agent that sent it.
        timeout: The time that the agent said it would wait, in microseconds.
        key: The idempotency key; empty for none.
    """

    at: int
    server: str
    request_id: str
    agent: int
    timeout: int
    key: str


@dataclass(frozen=True)
class Answer:
    """A good answer that an appliance wrote, whether it arrived or not.

    Attributes:
        at: When, in microseconds of the monotonic clock.
        server: The appliance.
        request_id: The request's id.
    """

    at: int
    server: str
    request_id: str


@dataclass(eq=False)
class ServerRecords:
    """What all appliances recorded.

    Attributes:
        attempts: Requests received, in order of time.
        refused: Attempts that were refused without having run, by time and request.
        runs: Times at which each request ran, by its id.
        answers: Good answers, in order of time.
    """

    attempts: list[Attempt] = field(default_factory=list)
    refused: set[tuple[int, str]] = field(default_factory=set)
    runs: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    answers: list[Answer] = field(default_factory=list)


def read_server_records(paths: Iterable[Path]) -> ServerRecords:
    """Reads the files of the appliances."""
    records = ServerRecords()
    for path in paths:
        latest: dict[str, Attempt] = {}
        for line in path.read_text().splitlines():
            try:
                at, server, what, *facts = json.loads(line)
            except ValueError:  # the process was killed as it wrote the line
                continue
            if what == "received":
                request_id, agent, timeout, key = facts
                latest[request_id] = Attempt(at, server, request_id, agent, _parse_timeout(timeout), key)
                records.attempts.append(latest[request_id])
            elif what == "refused":
                records.refused.add((latest[facts[0]].at, facts[0]))
            elif what == "ran":
                records.runs[facts[0]].append(at)
            elif what == "answered" and facts[1] != FAILING:
                records.answers.append(Answer(at, server, facts[0]))
    records.attempts.sort(key=lambda attempt: attempt.at)
    records.answers.sort(key=lambda answer: answer.at)
    return records


def _parse_timeout(text: str) -> int:
    return int(float(text[:-1] or 0) * {"m": 1000, "u": 1}.get(text[-1:], 1))


def read_requests_read(paths: Iterable[Path]) -> tuple[dict[str, int], dict[str, int]]:
    """Reads the shims' files.

    Returns:
        When each request was read by an agent, by its id; and how often each fault was injected.
    """
    read: dict[str, int] = {}
    faults: dict[str, int] = defaultdict(int)
    for path in paths:
        for line in path.read_text().splitlines():
            words = line.split()
            if words[1:2] == ["read"]:
                read[words[2]] = int(words[0])
            elif words[1:2] == ["fault"]:
                faults[f"{words[2]} {words[4]}"] += 1
    return read, faults
