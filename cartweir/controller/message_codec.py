"""Members' messages as MessagePack: nothing that is read can be executed, and what is not known is refused."""

from __future__ import annotations

import msgpack

from ..fleet.raft.log import Entry, EntryKind, LogPosition, MemberInfo, Snapshot
from ..fleet.raft.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    Message,
    RequestVote,
    StartQuery,
    StartReply,
    TimeoutNow,
    VoteReply,
)

# names on the wire; members of different versions understand one another as long as they stay
TYPES: dict[str, type] = {
    "Ask": RequestVote,
    "Given": VoteReply,
    "Append": AppendEntries,
    "Appended": AppendReply,
    "Install": InstallSnapshot,
    "Lead": TimeoutNow,
    "Here": StartQuery,
    "Known": StartReply,
}
NAMES = {kind: name for name, kind in TYPES.items()}


class MalformedMessageError(ValueError):
    """What came is no word of a member."""


def unpack_entry(parts: list) -> Entry:
    """Raises ValueError or TypeError if these are not the parts of an entry."""
    index, term, kind, data = parts
    kind = EntryKind(kind)
    return Entry(index, term, kind, unpack_members(data) if kind == EntryKind.MEMBERSHIP else data)


def unpack_snapshot(parts: list) -> Snapshot:
    """Raises ValueError or TypeError if these are not the parts of a snapshot."""
    index, term, members, state = parts
    return Snapshot(index, term, unpack_members(members), state)


def unpack_members(rows: dict[str, list]) -> dict[str, MemberInfo]:
    """Raises ValueError or TypeError if a row is not that of a member."""
    if not isinstance(rows, dict):
        raise TypeError("members are a mapping of names to rows")
    return {name: MemberInfo(*row) for name, row in rows.items()}


def pack(message: Message) -> bytes:
    return msgpack.packb([NAMES[type(message)], *message])


def unpack(data: bytes) -> Message:
    """Raises MalformedMessageError."""
    try:
        name, *parts = msgpack.unpackb(data)
        message = TYPES[name](*parts)
        if isinstance(message, AppendEntries):
            message = message._replace(entries=tuple(unpack_entry(entry) for entry in message.entries))
        elif isinstance(message, InstallSnapshot):
            message = message._replace(snapshot=unpack_snapshot(message.snapshot))
        elif isinstance(message, StartReply):
            message = message._replace(last=LogPosition(*message.last))
        if not isinstance(message[0], int):
            raise MalformedMessageError("a term, or a count of starts, is no number")
        return message
    except MalformedMessageError:
        raise
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise MalformedMessageError(f"{type(error).__name__}: {error}") from None
