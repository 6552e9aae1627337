"""Entries, snapshots and the part of the log that a member holds."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple


class EntryKind(StrEnum):
    """What an entry carries; the values are part of the format on disk and on the wire."""

    COMMAND = "data"  # the application's command
    MEMBERSHIP = "members"  # the members from this entry on
    NO_OP = "nothing"  # the first entry of a leader


class MemberInfo(NamedTuple):
    """One member of the cluster as the log describes it."""

    directory_id: str  # of the data directory; a member that lost its directory returns with another
    address: str
    votes: bool  # False: a learner, which receives the log and does not vote


class Entry(NamedTuple):
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: Any  # COMMAND: bytes; MEMBERSHIP: a mapping of names to MemberInfo; NO_OP: None


class Snapshot(NamedTuple):
    """The application's state, and the members, after all entries up to `index`."""

    index: int = 0
    term: int = 0
    members: Mapping[str, MemberInfo] = {}
    state: bytes = b""


class LogPosition(NamedTuple):
    """The end of a log; positions compare as section 5.4.1 of the paper compares logs."""

    term: int
    index: int


class Log:
    """The newest snapshot and the entries after it."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_position(self) -> LogPosition:
        """Term and index of the last entry."""
        last = self._entries[-1] if self._entries else self.snapshot
        return LogPosition(last.term, last.index)

    def members(self) -> Mapping[str, MemberInfo]:
        """Returns the members; a change applies as soon as its entry is in the log (thesis 4.1)."""
        return self._members_at(self.last_index)

    def _members_at(self, index: int) -> Mapping[str, MemberInfo]:
        for entry in reversed(self._entries):
            if entry.kind == EntryKind.MEMBERSHIP and entry.index <= index:
                return entry.data
        return self.snapshot.members

    def changes_members_after(self, index: int) -> bool:
        """Whether an entry after the index changes the members."""
        return any(entry.kind == EntryKind.MEMBERSHIP for entry in self.entries_after(index))

    def _offset(self, index: int) -> int:
        return index - self.snapshot.index - 1

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry; None if it is not in the log, or only in the snapshot."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = self._offset(index)
        return self._entries[offset].term if 0 <= offset < len(self._entries) else None

    def slice(self, first: int, count: int) -> tuple[Entry, ...]:
        """Returns at most `count` entries from index `first` on."""
        offset = self._offset(first)
        return tuple(self._entries[offset : offset + count])

    def entries_after(self, index: int) -> tuple[Entry, ...]:
        """Returns all entries after the index."""
        return self.slice(index + 1, len(self._entries))

    def put(self, entry: Entry) -> None:
        """Adds an entry; it replaces all entries from its index on."""
        del self._entries[self._offset(entry.index) :]
        self._entries.append(entry)

    def first_index_of_term(self, index: int, floor: int) -> int:
        """Returns where the entries of the term of this one begin, at least `floor`."""
        term = self.term_at(index)
        while index > floor and term is not None and self.term_at(index - 1) == term:
            index -= 1
        return index

    def install(self, snapshot: Snapshot) -> bool:
        """Puts a snapshot in place of the log; returns whether entries after it are kept."""
        keeps_entries = self.term_at(snapshot.index) == snapshot.term
        self._entries = list(self.entries_after(snapshot.index)) if keeps_entries else []
        self.snapshot = snapshot
        return keeps_entries

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to `index` by a snapshot with this state."""
        snapshot = Snapshot(index, self.term_at(index), self._members_at(index), state)
        self._entries = list(self.entries_after(index))
        self.snapshot = snapshot
