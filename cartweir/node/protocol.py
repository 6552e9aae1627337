"""Translation between the platform's names on the sockets and those of the decisions. No I/O, no decision."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from .. import interface as ours
from ..hosting.appliance_list import ListEntry
from ..interface import Operation, Stage, Tally
from .http1 import FRAMING_HEADERS, Response

# Header names, in lower case.
REQUEST_ID_HEADER = b"x-request-id"
OPERATION_HEADER = b"x-priority-class"
CUSTOMER_HEADER = b"x-tenant-id"
KEY_HEADER = b"x-route-key"
TIME_LIMIT_HEADER = b"x-timeout"
FINGERPRINT_HEADER = b"idempotency-key"
RETRY_HEADER = b"x-retried"
WORK_HEADER = b"x-cost"
ATTRIBUTES_HEADER = b"x-attrs"
NOT_PROCESSED_HEADER = b"x-not-processed"

REQUEST_HEADERS = frozenset(
    (
        REQUEST_ID_HEADER,
        OPERATION_HEADER,
        CUSTOMER_HEADER,
        KEY_HEADER,
        TIME_LIMIT_HEADER,
        FINGERPRINT_HEADER,
        RETRY_HEADER,
        WORK_HEADER,
        ATTRIBUTES_HEADER,
        *FRAMING_HEADERS,
    )
)

UNCHANGED_HEADERS = frozenset((REQUEST_ID_HEADER, FINGERPRINT_HEADER))  # are passed on as they came

READY_PATH = b"/-/ready"
HEALTH_PATH = b"/-/healthy"

OK_STATUS = 200
NOT_PROCESSED_STATUSES = (503, 504)  # with NOT_PROCESSED_HEADER: the appliance refused the request unseen

STATES = {"up": ours.READY, "draining": ours.DRAINING, "removed": ours.GONE}
PHASES = {
    "testing": ours.ON_TRIAL,
    "recalling": ours.GOING_BACK,
    "live": ours.RELEASED,
    "recalled": ours.WITHDRAWN,
}
VERDICTS = {ours.NO_VOTE: "clear", ours.ON: "approve", ours.HOLD: "wait", ours.BACK: "reject"}
REFUSALS = {"throttled": "full", "conflict": "moot", "internal": "error", "invalid": "error"}

NUMBER_LIMIT = 1e15  # numbers from here on are not plausible in any member
INTEGER_LIMIT = 1 << 53  # JSON keeps integers exact below this

_TIME_LIMIT = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")
_MICROSECONDS_PER_UNIT = {b"m": 1000, b"u": 1}
_REQUIRED: Any = ...  # in place of a default: the member must be there


def parse_time_limit(text: bytes) -> int | None:
    """Returns a client's time limit in microseconds; None where the header holds none."""
    found = _TIME_LIMIT.fullmatch(text)
    return round(float(found[1]) * _MICROSECONDS_PER_UNIT[found[2]]) if found else None


def parse_attributes(text: bytes) -> dict[str, str]:
    """Returns the name=value pairs of the attributes header."""
    pairs = (pair.partition("=") for pair in text.decode("latin-1").split(","))
    return {name.strip(): value.strip() for name, equals, value in pairs if equals}


def outcome_of(response: Response) -> str:
    """Returns the outcome of a dispatch that received this response."""
    if response.status == OK_STATUS:
        return ours.SUCCEEDED
    if response.status in NOT_PROCESSED_STATUSES and response.headers.get(NOT_PROCESSED_HEADER) == b"1":
        return ours.FULL
    return ours.ERROR


def parse_number(members: Mapping[str, Any], name: str, default: float = _REQUIRED) -> float:
    """Returns a number from a JSON object.

    Raises:
        ValueError: The member is missing without a default, no number, negative or implausibly large.
    """
    value = members.get(name)
    if value is None and default is not _REQUIRED:
        return default
    if type(value) not in (int, float) or not 0 <= value < NUMBER_LIMIT:
        raise ValueError(f"{name}: {str(value)[:60]!r}; expected a number from 0 to below {NUMBER_LIMIT:g}")
    return value


def parse_integer(members: Mapping[str, Any], name: str) -> int:
    """Returns an integer from a JSON object.

    Raises:
        ValueError: The member is missing, no integer, negative or too large.
    """
    value = members.get(name)
    if type(value) is not int or not 0 <= value < INTEGER_LIMIT:
        raise ValueError(f"{name}: {str(value)[:60]!r}; expected an integer from 0 to below 2^53")
    return value


def parse_stage(members: Any, stages: int, vote_answer: str | None) -> Stage:
    """Returns the state of a build.

    Args:
        members: The release service's JSON value.
        stages: Number of stages that the settings define.
        vote_answer: The answer to a vote, where the state came with one.

    Raises:
        ValueError: The value is not the state of a build.
    """
    if not isinstance(members, Mapping):
        raise ValueError(f"{str(members)[:60]!r}; expected an object")
    build, number = parse_integer(members, "build"), parse_integer(members, "stage")
    phase = members.get("phase")
    cap, age = parse_number(members, "cap"), parse_number(members, "age_ms", 0)
    if not isinstance(phase, str) or phase not in PHASES or number >= stages or cap > 1:
        raise ValueError(f"{str(members)[:120]}; expected the state of a build")
    return Stage(build, number, PHASES[phase], float(cap), round(age * 1000), vote_answer)


def parse_tally(members: Mapping[str, Any], operation: Operation) -> Tally:
    """Returns the platform's counts for one build and operation.

    Raises:
        ValueError: A member is missing or no number.
    """
    return Tally(
        parse_integer(members, "build"),
        operation,
        parse_integer(members, "count"),
        parse_integer(members, "failed"),
        round(parse_number(members, "mean_ms", 0) * 1000),
        round(parse_number(members, "age_ms", 0) * 1000),
    )


def parse_entries(entries: Any) -> tuple[list[tuple[ListEntry, str]], list[str]]:
    """Reads discovery's list of appliances.

    An entry without a name is left out. A member of the wrong type counts as missing. An entry's `run` is the
    Unix time of its start; `started` is left open, see `start_times`.

    Args:
        entries: The entries as JSON values.

    Returns:
        The entries with their addresses, and a description of everything that could not be read.

    Raises:
        ValueError: There is no list of entries.
    """
    if not isinstance(entries, (list, tuple)):
        raise ValueError(f"{str(entries)[:80]!r}; expected a list of entries")
    parsed: list[tuple[ListEntry, str]] = []
    unreadable: list[str] = []
    for entry in entries:
        if not isinstance(entry, dict) or not isinstance(name := entry.get("name"), str) or not name:
            unreadable.append(str(entry)[:120])
            continue
        parsed.append(_parse_entry(entry, unreadable))
    return parsed, unreadable


def _parse_entry(entry: dict[str, Any], unreadable: list[str]) -> tuple[ListEntry, str]:
    weight = _member(entry, "weight", (int, float), unreadable)
    status = _member(entry, "status", (str,), unreadable)
    state = (
        ours.READY if status is None and entry.get("status") is None else STATES.get(status, ours.DRAINING)
    )
    list_entry = ListEntry(
        id=entry["name"],
        build=_member(entry, "release", (int,), unreadable),
        run=_member(entry, "since_ms", (int, float), unreadable),
        started=None,
        state=state,
        zone=_member(entry, "zone", (str,), unreadable),
        cell=_member(entry, "group", (int,), unreadable),
        kind=_member(entry, "type", (str,), unreadable),
        weight=weight,
    )
    return list_entry, _member(entry, "address", (str,), unreadable) or ""


def _member(entry: dict[str, Any], name: str, kinds: tuple[type, ...], unreadable: list[str]) -> Any:
    """Returns a member of an entry; None where it is missing, of another type or out of range."""
    value = entry.get(name)
    if value is None or (type(value) in kinds and (str in kinds or 0 <= value < NUMBER_LIMIT)):
        return value
    unreadable.append(f"{name} of {entry['name'][:60]}: {str(value)[:60]}")
    return None
