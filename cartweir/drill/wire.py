"""The line codec of protocol pine-6f8d: text lines to plain values and back, without their meaning."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TextIO

SHOWN_CHARACTERS = 40  # of unexpected input, in errors


class WireError(Exception):
    """Input that does not follow the protocol; the text names the line and the reason."""


class Message(NamedTuple):
    """A line of input.

    Attributes:
        line: its number, from 1.
        name: the name of the message.
        members: the values of its members; members that are absent are left out.
    """

    line: int
    name: str
    members: dict[str, Any]


def _bool(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError("neither 0 nor 1")
    return text == "1"


def microseconds(value: str | float) -> int:
    """Returns a time that is given in milliseconds."""
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
# for each message its required and its optional members, each with the function that reads its value
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
_LAST_MEMBERS = {"SPAWN": "params"}  # a member that may hold tabs, because it runs to the end of the line


def decode(line: str, number: int) -> Message:
    """Reads a line.

    Args:
        line: without its end.
        number: of the line, for errors.

    Raises:
        WireError: the message is unknown, or a member is malformed or missing.
    """
    name, _, rest = line.partition("\t")
    if name not in MESSAGES:
        raise WireError(f"line {number}: unknown message {name[:SHOWN_CHARACTERS]!r}")
    required, optional = MESSAGES[name]
    values: dict[str, Any] = {}
    for member, text in _members(name, rest, number).items():
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
    return Message(number, name, values)


def _members(name: str, rest: str, number: int) -> dict[str, str]:
    """Splits what follows the name of a message into members and their texts."""
    texts: dict[str, str] = {}
    last = _LAST_MEMBERS.get(name)
    while rest:
        if last and rest.startswith(last + "="):
            part, rest = rest, ""
        else:
            part, _, rest = rest.partition("\t")
        member, equals, text = part.partition("=")
        if not equals:
            raise WireError(f"line {number}: {name}: {part[:SHOWN_CHARACTERS]!r} is no name=value pair")
        texts[member] = text
    return texts


def encode(name: str, **members: Any) -> str:
    """Returns the line of an action; members that are None are left out."""
    parts = [name]
    for member, value in members.items():
        if value is not None:
            parts.append(f"{member}={_encode_value(value)}")
    return "\t".join(parts)


def _encode_value(value: Any) -> Any:
    if isinstance(value, bool):
        return int(value)
    if isinstance(value, bytes):
        return base64.b64encode(value).decode() or "-"
    return value


def one_line(text: str) -> str:
    """Returns the text with single blanks in place of line ends and tabs."""
    return " ".join(text.split())


def milliseconds(time: int) -> str:
    """Returns a time in microseconds as text in milliseconds, with decimals only where needed."""
    whole, part = divmod(time, 1000)
    return f"{whole}.{part:03d}" if part else str(whole)


def messages(source: TextIO) -> Iterator[Message]:
    """Yields the messages of a stream; blank lines between batches are skipped.

    Raises:
        WireError: a line does not follow the protocol.
    """
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
            yield decode(line, number)
