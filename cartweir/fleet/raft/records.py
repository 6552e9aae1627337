"""Records that a member writes to its disk, and the state that they add up to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .log import Entry, Snapshot


class VoteRecord(NamedTuple):
    """The current term, and the candidate that this member voted for in it, if any."""

    term: int
    voted_for: str | None


class EntryRecord(NamedTuple):
    """An entry of the log; it replaces all entries from its index on."""

    entry: Entry


class SnapshotRecord(NamedTuple):
    """A snapshot; the entries that it covers may be dropped."""

    snapshot: Snapshot
    keeps_entries: bool  # False: the entries after it are dropped too


class StartRecord(NamedTuple):
    """The number of a member's latest start, as counted by itself and recorded by the others too.

    A directory that was restored from an older copy counts fewer starts than the other members have seen.
    """

    name: str
    directory_id: str
    number: int


Record = VoteRecord | EntryRecord | SnapshotRecord | StartRecord


class StartCount(NamedTuple):
    """The number of starts with one data directory."""

    directory_id: str
    number: int


@dataclass
class PersistentState:
    """The state that the records on a disk add up to."""

    term: int = 0
    voted_for: str | None = None
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
    starts: dict[str, StartCount] = field(default_factory=dict)  # by the member's name

    def add(self, record: Record) -> None:
        """Applies one more record."""
        match record:
            case VoteRecord(term, voted_for):
                self.term, self.voted_for = term, voted_for
            case EntryRecord(entry):
                del self.entries[max(0, entry.index - self.snapshot.index - 1) :]
                self.entries.append(entry)
            case StartRecord(name, directory_id, number):
                self.starts[name] = StartCount(directory_id, number)
            case SnapshotRecord(snapshot, keeps_entries):
                kept = [entry for entry in self.entries if entry.index > snapshot.index]
                self.entries = kept if keeps_entries else []
                self.snapshot = snapshot
