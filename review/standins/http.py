"""HTTP/1.1 as far as the stand-ins need it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

MOST_HEAD = 1 << 16  # bytes
END_OF_HEAD = b"\r\n\r\n"


@dataclass
class Message:
    """A whole request or response.

    Attributes:
        first: The three words of the first line.
        headers: Values by lower-case name.
        body: The body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message with a `Content-Length`; None at the end of the connection."""
    try:
        head = await reader.readuntil(END_OF_HEAD)
        first, *lines = head[: -len(END_OF_HEAD)].decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    return Message(first.split(" ", 2), headers, body)


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Returns a response as bytes; a header's name is given with underscores for hyphens."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("latin-1") + END_OF_HEAD + body
