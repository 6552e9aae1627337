"""The line codec of wire protocol pine-6f8d: text lines to plain values and back. Knows no meaning."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Callable, Iterator
from typing import Any, TextIO


class WireError(Exception):
    """Input that does not follow the wire; the text names line and reason."""


def _bool(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError("neither 0 nor 1")
    return text == "1"


def microseconds(value: str | float) -> int:
    return round(float(value) * 1000)


def _bytes(text: str) -> bytes:
    try:
        return b"" if text == "-" else base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise ValueError(str(error)) from None


def _settings(text: str) -> dict[str, Any]:
    value = json.loads(text)
    if not isinstance(value, dict):
        raise ValueError("not an object")
    return value


def _load(text: str) -> dict[str, float]:
    pairs = (part.split(":", 1) for part in text.split(",") if part)
    return {name: float(value) for name, value in pairs}


_AGENT = {"agent": str}
# Message -> (required members, optional members), each with the reader of its value.
MESSAGES: dict[str, tuple[dict[str, Callable], dict[str, Callable]]] = {
    "TURN": ({"clock": microseconds}, {}),
    "SPAWN": ({**_AGENT, "rngSeed": int, "params": _settings}, {}),
    "POOL": ({"sheet": int, "rows": int}, {}),
    "ENTRY": (
        {"appliance": str},
        {
            "upSince": microseconds,
            "phase": str,
            "shape": str,
            "size": float,
            "dc": str,
            "pod": int,
            "runs": int,
        },
    ),
    "REGISTRY": ({**_AGENT, "how": str}, {"version": int, "sheet": int}),
    "INGRESS": (
        {**_AGENT, "requestId": int, "service": str, "left": microseconds},
        {"billing": str, "item": str, "estimate": microseconds, "retry": _bool, "update": _bool},
    ),
    "SCORECARD": (
        {**_AGENT, "build": int, "service": str, "many": int, "failed": int},
        {"rtt": microseconds, "lateness": microseconds},
    ),
    "EXPIRED": ({**_AGENT, "requestId": int}, {}),
    "DESTROY": (_AGENT, {}),
    "TIMEOUT_FIRED": ({**_AGENT, "ref": int}, {}),
    "RELEASE_STATE": (
        {**_AGENT, "build": int},
        {"ring": int, "whereAt": int, "cap": float, "how": int, "verdict": int, "lateness": microseconds},
    ),
    "COMPLETED": (
        {**_AGENT, "requestId": int, "verdict": int},
        {"appliance": str, "shot": int, "complete": _bool, "rtt": microseconds, "usage": _load},
    ),
    "HEARD": ({**_AGENT, "who": int}, {"body": _bytes}),
    "UNDER_WAY": ({**_AGENT, "requestId": int}, {"appliance": str, "shot": int, "rtt": microseconds}),
    "COMPLAINT": ({**_AGENT, "service": str, "appliance": str}, {"lateness": microseconds}),
    "SAMPLED": ({**_AGENT, "appliance": str, "verdict": int}, {"rtt": microseconds, "usage": _load}),
    "OVER_TO_YOU": ({}, {}),
}
_TAILS = {"SPAWN": "params"}  # a member that may hold tabs, as it runs to the end of the line


def decode(line: str, number: int) -> tuple[str, dict[str, Any]]:
    """One line to its message name and its members; members that are absent are left out."""
    name, _, rest = line.partition("\t")
    if name not in MESSAGES:
        raise WireError(f"line {number}: unknown message {name[:40]!r}")
    required, optional = MESSAGES[name]
    texts: dict[str, str] = {}
    tail = _TAILS.get(name)
    while rest:
        if tail and rest.startswith(tail + "="):
            part, rest = rest, ""
        else:
            part, _, rest = rest.partition("\t")
        member, equals, text = part.partition("=")
        if not equals:
            raise WireError(f"line {number}: {name}: {part[:40]!r} is no name=value pair")
        texts[member] = text
    values: dict[str, Any] = {}
    for member, text in texts.items():
        read = required.get(member) or optional.get(member)
        if read is None:
            continue
        try:
            values[member] = read(text)
        except (ValueError, OverflowError, RecursionError) as error:
            raise WireError(f"line {number}: {name}: {member} is malformed ({error})") from None
    for member in required:
        if member not in values:
            raise WireError(f"line {number}: {name}: {member} is missing")
    return name, values


def encode(name: str, **members: Any) -> str:
    """One action line; members that are None are left out."""
    parts = [name]
    for member, value in members.items():
        if value is None:
            continue
        if isinstance(value, bool):
            value = int(value)
        elif isinstance(value, bytes):
            value = base64.b64encode(value).decode() or "-"
        parts.append(f"{member}={value}")
    return "\t".join(parts)


def one_line(text: str) -> str:
    return " ".join(text.split())


def milliseconds(time: int) -> str:
    whole, part = divmod(time, 1000)
    return f"{whole}.{part:03d}" if part else str(whole)


def messages(source: TextIO) -> Iterator[tuple[int, str, dict[str, Any]]]:
    """The messages on a stream with their line numbers; blank lines between batches are skipped."""
    number = 0
    while True:
        try:
            line = source.readline()
        except UnicodeDecodeError:
            raise WireError(f"line {number + 1}: not UTF-8") from None
        if not line:
            return
        number += 1
        line = line.rstrip("\r\n")
        if line:
            yield (number, *decode(line, number))
