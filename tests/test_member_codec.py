"""Messages between members keep their form on the wire, and malformed ones are rejected."""

from __future__ import annotations

import msgpack
import pytest

from cartweir.controller import message_codec
from cartweir.fleet.raft.log import Entry, EntryKind, LogPosition, MemberInfo, Snapshot
from cartweir.fleet.raft.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    RequestVote,
    StartQuery,
    StartReply,
    TimeoutNow,
    VoteReply,
)

MEMBERS = {"a": MemberInfo("founded", "a:1", True), "b": MemberInfo("new", "b:1", False)}
ENTRIES = (
    Entry(1, 1, EntryKind.NO_OP, None),
    Entry(2, 1, EntryKind.COMMAND, b"command"),
    Entry(3, 2, EntryKind.MEMBERSHIP, MEMBERS),
)
WIRE_MEMBERS = {"a": ["founded", "a:1", True], "b": ["new", "b:1", False]}
WIRE_ENTRIES = [[1, 1, "nothing", None], [2, 1, "data", b"command"], [3, 2, "members", WIRE_MEMBERS]]


@pytest.mark.parametrize(
    "message, form",
    [
        (RequestVote(3, 2, 1, True, False, 9), ["Ask", 3, 2, 1, True, False, 9]),
        (VoteReply(3, True, True, 9), ["Given", 3, True, True, 9]),
        (AppendEntries(3, 0, 0, ENTRIES, 2, 7), ["Append", 3, 0, 0, WIRE_ENTRIES, 2, 7]),
        (AppendReply(3, False, 2, 7), ["Appended", 3, False, 2, 7]),
        (InstallSnapshot(3, Snapshot(3, 2, MEMBERS, b"s"), 8), ["Install", 3, [3, 2, WIRE_MEMBERS, b"s"], 8]),
        (TimeoutNow(4), ["Lead", 4]),
        (StartQuery(2), ["Here", 2]),
        (StartReply(2, 3, LogPosition(2, 5)), ["Known", 2, 3, [2, 5]]),
    ],
)
def test_a_message_has_the_form_that_earlier_versions_read(message, form):
    assert msgpack.unpackb(message_codec.pack(message)) == form
    assert message_codec.unpack(message_codec.pack(message)) == message


@pytest.mark.parametrize(
    "form",
    [
        ["Unknown", 1],
        ["Lead", "one"],
        ["Lead"],
        ["Append", 3, 0, 0, [[1, 1, "other", None]], 2, 7],
        ["Append", 3, 0, 0, [[1, 1, "members", {"a": [1, 2, 3, 4]}]], 2, 7],
        ["Install", 3, [3, 2, [], b"s"], 8],
        ["Known", 2, 3, [2]],
    ],
)
def test_a_malformed_message_is_rejected(form):
    with pytest.raises(message_codec.MalformedMessageError):
        message_codec.unpack(msgpack.packb(form))
