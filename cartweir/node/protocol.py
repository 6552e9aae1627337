"""The platform's words on the sockets and ours, both ways. No I/O, no decision."""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Mapping
from typing import Any

from .. import interface as ours
from ..hosting.appliance_list import ListEntry
from ..interface import Operation, Stage, Tally
from .http1 import Answer

ID, CLASS, CUSTOMER, KEY = b"x-request-id", b"x-priority-class", b"x-tenant-id", b"x-route-key"
LIMIT, FINGERPRINT, RETRY, HINT, FURTHER = (
    b"x-timeout",
    b"idempotency-key",
    b"x-retried",
    b"x-cost",
    b"x-attrs",
)
NOT_RUN = b"x-not-processed"
READY, HEALTHY = b"/-/ready", b"/-/healthy"
STATES = {"up": ours.READY, "draining": ours.DRAINING, "removed": ours.GONE}
PHASES = {
    "testing": ours.ON_TRIAL,
    "recalling": ours.GOING_BACK,
    "live": ours.RELEASED,
    "recalled": ours.WITHDRAWN,
}
VERDICTS = {ours.NO_VOTE: "clear", ours.ON: "approve", ours.HOLD: "wait", ours.BACK: "reject"}
REFUSALS = {"throttled": "full", "conflict": "moot", "internal": "error", "invalid": "error"}
_LIMIT = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")


def limit_of(text: bytes) -> int | None:
    """The time that a client gives, in microseconds; None where it is none."""
    found = _LIMIT.fullmatch(text)
    return round(float(found[1]) * (1000 if found[2] == b"m" else 1)) if found else None


def further_of(text: bytes) -> dict[str, str]:
    pairs = (pair.partition("=") for pair in text.decode("latin-1").split(","))
    return {name.strip(): value.strip() for name, equals, value in pairs if equals}


def outcome_of(answer: Answer) -> str:
    """How a dispatch that got this whole answer has ended."""
    if answer.status == 200:
        return ours.SUCCEEDED
    if answer.status in (503, 504) and answer.headers.get(NOT_RUN) == b"1":
        return ours.FULL
    return ours.ERROR


def figure(told: Mapping[str, Any], name: str, absent: float = ...) -> float:
    """Raises ValueError where it is no number, or none that a figure can have."""
    value = told.get(name)
    if value is None and absent is not ...:
        return absent
    if type(value) not in (int, float) or not 0 <= value < 1e15:
        raise ValueError(f"{name}: {str(value)[:60]!r} is no figure")
    return value


def whole(told: Mapping[str, Any], name: str) -> int:
    value = told.get(name)
    if type(value) is not int or not 0 <= value < 1 << 53:
        raise ValueError(f"{name}: {str(value)[:60]!r} is no number")
    return value


def stage_of(told: Any, stages: int, answer: str | None) -> Stage:
    """Raises ValueError where this is no state of a build."""
    if not isinstance(told, Mapping):
        raise ValueError("not an object")
    build, number, phase = whole(told, "build"), whole(told, "stage"), told.get("phase")
    cap, age = figure(told, "cap"), figure(told, "age_ms", 0)
    if not isinstance(phase, str) or phase not in PHASES or number >= stages or cap > 1:
        raise ValueError(f"no state of a build: {str(told)[:120]}")
    return Stage(build, number, PHASES[phase], float(cap), round(age * 1000), answer)


def tally_of(told: Mapping[str, Any], operation: Operation) -> Tally:
    """Raises ValueError."""
    return Tally(
        whole(told, "build"),
        operation,
        whole(told, "count"),
        whole(told, "failed"),
        round(figure(told, "mean_ms", 0) * 1000),
        round(figure(told, "age_ms", 0) * 1000),
    )


def parse_entries(
    entries: Any, now: int, read: Callable[[], float] = time.time
) -> tuple[list[tuple[ListEntry, str]], list[str]]:
    """Discovery's entries with their addresses, and those that can't be read: these say nothing, and what can't be read
    of another is as if it were not said. Starts are given in Unix time; ours count on the clock that says `now`. Raises
    ValueError where there is no list."""
    if not isinstance(entries, (list, tuple)):
        raise ValueError(f"no list of entries: {str(entries)[:80]!r}")
    rows, unread, wall = [], [], read() * 1000
    for entry in entries:
        if not isinstance(entry, dict) or not isinstance(name := entry.get("name"), str) or not name:
            unread.append(str(entry)[:120])
            continue

        def of(field: str, *kinds: type) -> Any:
            value = entry.get(field)
            if value is None or (type(value) in kinds and (str in kinds or 0 <= value < 1e15)):
                return value
            unread.append(f"{field} of {name[:60]}: {str(value)[:60]}")
            return None

        since, weight = of("since_ms", int, float), of("weight", int, float)
        started = (
            None if since is None else max(1, now - max(0, round((wall - since) * 1000))) if since else 0
        )
        state = of("status", str)
        rows.append(
            (
                ListEntry(
                    name,
                    of("release", int),
                    since,
                    started,
                    ours.READY
                    if state is None and entry.get("status") is None
                    else STATES.get(state, ours.DRAINING),
                    of("zone", str),
                    of("group", int),
                    of("type", str),
                    weight,
                ),
                of("address", str) or "",
            )
        )
    return rows, unread
