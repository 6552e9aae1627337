"""Encoding of the messages between members as MessagePack.

Decoding never executes anything, and a message of an unknown form is rejected.
"""

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
NAMES = {message_type: name for name, message_type in TYPES.items()}


class MalformedMessageError(ValueError):
    """The bytes received are not a message between members."""


def unpack_entry(fields: list) -> Entry:
    """Returns a log entry from its packed fields.

    Raises:
        ValueError, TypeError: the fields are not those of an entry.
    """
    index, term, kind, data = fields
    kind = EntryKind(kind)
    return Entry(index, term, kind, unpack_members(data) if kind == EntryKind.MEMBERSHIP else data)


def unpack_snapshot(fields: list) -> Snapshot:
    """Returns a snapshot from its packed fields.

    Raises:
        ValueError, TypeError: the fields are not those of a snapshot.
    """
    index, term, members, state = fields
    return Snapshot(index, term, unpack_members(members), state)


def unpack_members(rows: dict[str, list]) -> dict[str, MemberInfo]:
    """Returns the members by name.

    Raises:
        ValueError, TypeError: a row is not that of a member.
    """
    if not isinstance(rows, dict):
        raise TypeError("members: expected a mapping of names to rows")
    return {name: MemberInfo(*row) for name, row in rows.items()}


def pack(message: Message) -> bytes:
    """Returns the bytes of a message: an array of its name on the wire and its fields in order."""
    return msgpack.packb([NAMES[type(message)], *message])


def unpack(data: bytes) -> Message:
    """Returns the message that the bytes hold.

    Raises:
        MalformedMessageError: the bytes are not a message of a known form.
    """
    try:
        name, *fields = msgpack.unpackb(data)
        message = TYPES[name](*fields)
        if isinstance(message, AppendEntries):
            message = message._replace(entries=tuple(unpack_entry(entry) for entry in message.entries))
        elif isinstance(message, InstallSnapshot):
            message = message._replace(snapshot=unpack_snapshot(message.snapshot))
        elif isinstance(message, StartReply):
            message = message._replace(last=LogPosition(*message.last))
        if not isinstance(message[0], int):
            raise MalformedMessageError(f"{name}: expected an integer as the term or the start number")
        return message
    except MalformedMessageError:
        raise
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise MalformedMessageError(f"{type(error).__name__}: {error}") from None
