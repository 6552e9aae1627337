"""Messages between members."""

from __future__ import annotations

from typing import NamedTuple

from .log import Entry, LogPosition, Snapshot


class RequestVote(NamedTuple):
    """A candidate asks for a vote (paper 5.2)."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool  # only asks whether the vote would be granted (thesis 9.6)
    leadership_transfer: bool  # the current leader has asked for this election (thesis 3.10)
    nonce: int  # identifies the election; a copy of this member may ask under the same name


class VoteReply(NamedTuple):
    """The answer to RequestVote."""

    term: int
    pre_vote: bool
    granted: bool
    nonce: int  # of the request


class AppendEntries(NamedTuple):
    """Entries from the leader; without entries, a heartbeat (paper 5.3)."""

    term: int
    previous_index: int  # of the entry before the first one sent
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int  # of the leader; the answers tell how long its lease lasts


class AppendReply(NamedTuple):
    """The answer to AppendEntries and InstallSnapshot."""

    term: int
    success: bool
    index: int  # success: the last index known to match; otherwise: the index to try next
    round: int


class InstallSnapshot(NamedTuple):
    """A snapshot from the leader, for a member whose next entry has been compacted (paper 7)."""

    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(NamedTuple):
    """The leader asks this member to start an election now (thesis 3.10)."""

    term: int


class StartQuery(NamedTuple):
    """A member that has started asks what the others know of it."""

    start_number: int


class StartReply(NamedTuple):
    """What a member knows of the one that asks: its starts, its term and the end of its log."""

    start_number: int
    term: int
    last: LogPosition


Message = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | TimeoutNow
    | StartQuery
    | StartReply
)


class Envelope(NamedTuple):
    """A message and the member that it goes to."""

    to: str
    message: Message
