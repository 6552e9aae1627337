"""The servers as an agent's registry had told of them at any moment."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from ..proto import agent_pb2 as pb
from ..settings.schema import RegistrySection


class ToldEntry(NamedTuple):
    """What the agent was told of a server, and when."""

    at: int
    entry: pb.Entry


class RegistryView:
    """The entries that an agent was told, by server.

    A server that a full list does not name counts as gone. But a list that drops too many at once tells of
    a loss of the registry's own: then they are gone once no list has named them for the hold time.
    """

    def __init__(self, settings: RegistrySection, previous: RegistryView | None = None) -> None:
        """`previous` is the view of an earlier process, whose last list this one found on its disk."""
        self._settings = settings
        self._told: dict[str, list[ToldEntry]] = defaultdict(list)
        self._held_until: dict[str, int] = {}
        if previous is not None:
            self._told.update({server: told[-1:] for server, told in previous._told.items()})

    def apply(self, at: int, listing: pb.Listing) -> None:
        """Handles a list, or changes to one."""
        self.expire(at)
        ready = [server for server, told in self._told.items() if told[-1].entry.state == pb.READY]
        for entry in listing.entries:
            self._told[entry.appliance].append(ToldEntry(at, entry))
            self._held_until.pop(entry.appliance, None)
        if listing.whole:
            self._drop_missing(at, {entry.appliance for entry in listing.entries}, ready)

    def _drop_missing(self, at: int, named: set[str], ready: list[str]) -> None:
        missing = [server for server in ready if server not in named]
        is_loss = len(missing) > self._settings.drop_share * len(ready)
        if is_loss or any(server in self._held_until for server in missing):
            until = at + self._settings.hold_time
            self._held_until = {server: self._held_until.get(server, until) for server in missing}
        for server, told in self._told.items():
            is_known = server in named or server in self._held_until
            if not is_known and told[-1].entry.state != pb.GONE:
                self._set_gone(server, at)

    def _set_gone(self, server: str, at: int) -> None:
        gone = pb.Entry()
        gone.CopyFrom(self._told[server][-1].entry)
        gone.state = pb.GONE
        self._told[server].append(ToldEntry(at, gone))

    def expire(self, now: int) -> None:
        """Drops the servers whose hold time is over."""
        expired = [(server, until) for server, until in self._held_until.items() if until <= now]
        for server, until in expired:
            del self._held_until[server]
            self._set_gone(server, until)

    def entry_of(self, address: str, at: int) -> ToldEntry | None:
        """Returns the entry of an address at that time: the newest one that names it."""
        newest = None
        for told in self._told.values():
            known = [row for row in told if row.at <= at and row.entry.address == address]
            if known and (newest is None or known[-1].at > newest.at):
                newest = known[-1]
        return newest

    def lowest_build(self, at: int) -> int:
        """Returns the earliest build that was listed at that time; 0 if there was none."""
        builds = []
        for told in self._told.values():
            entry = next((row.entry for row in reversed(told) if row.at <= at), None)
            if entry is not None and entry.state != pb.GONE:
                builds.append(entry.build)
        return min(builds, default=0)
