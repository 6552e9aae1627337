"""Which lists of servers an agent follows, when the registry may have lost its own list.

A registry numbers its changes and its incarnations, so that a list has a version (incarnation, number). A
later incarnation has the higher number, as it is the time of its start. There are three cases:

- A version below the highest one seen comes from an older copy, or from a registry that lags. It is not
  followed.
- A version of the same incarnation, or of a registry without incarnations, is followed.
- A later incarnation has begun anew after a loss. The servers that it lists are used; those that it does not
  list may only have been forgotten.

Losses of all kinds look alike: a full list drops more than a given share of the servers in use at once.
Such a list drops none of them until a time has passed. Meanwhile they are used as long as they answer. A
server that the registry says is gone or draining goes at once, since the registry does know it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple


class ListVersion(NamedTuple):
    """The version of a list; an incarnation of 0 means that the registry has none."""

    incarnation: int = 0
    number: int = 0


NO_LIST = ListVersion()


@dataclass(frozen=True, slots=True)
class ListDecision:
    """What to do with a list.

    Attributes:
        follow: False if the list is older than one that was seen.
        retained: servers that a full list does not name and that are kept for now.
    """

    follow: bool
    retained: tuple[str, ...] = ()


class ListFilter:
    """Judges the lists of one registry; times are whole microseconds.

    Attributes:
        seen: the version of the list followed last.
    """

    def __init__(self, drop_share: float, hold_time: int, seen: ListVersion = NO_LIST) -> None:
        """A full list without more than `drop_share` of the servers in use drops them after `hold_time`."""
        self._drop_share = drop_share
        self._hold_time = hold_time
        self.seen = seen
        self._retained_until: dict[str, int] = {}

    def on_full_list(
        self, now: int, version: ListVersion, named: Iterable[str], in_use: Iterable[str]
    ) -> ListDecision:
        """Decides on a list that names all servers; `in_use` are those now known as ready."""
        if not self._accept(version):
            return ListDecision(False)
        named, in_use = set(named), list(in_use)
        missing = [server for server in in_use if server not in named]
        retained = [server for server in missing if self._retained_until.get(server, now + 1) > now]
        # a server that is retained stays so: the next list lacks it too, perhaps along with few others
        is_continued = any(server in self._retained_until for server in retained)
        if len(missing) <= self._drop_share * len(in_use) and not is_continued:
            self._retained_until = {}
            return ListDecision(True)
        until = now + self._hold_time
        self._retained_until = {server: self._retained_until.get(server, until) for server in retained}
        return ListDecision(True, tuple(retained))

    def on_changes(self, version: ListVersion, named: Iterable[str]) -> ListDecision:
        """Decides on a list that names only the servers that have changed."""
        if not self._accept(version):
            return ListDecision(False)
        for server in named:  # the registry knows it again, or knows that it is gone
            self._retained_until.pop(server, None)
        return ListDecision(True)

    def take_expired(self, now: int) -> list[str]:
        """Returns the servers that are no longer retained; they count as gone."""
        expired = [server for server, until in self._retained_until.items() if until <= now]
        for server in expired:
            del self._retained_until[server]
        return expired

    def next_expiry(self, now: int) -> int:
        """Returns the time until `take_expired` is to be called; 0 if no server is retained."""
        return max(1, min(self._retained_until.values()) - now) if self._retained_until else 0

    def _accept(self, version: ListVersion) -> bool:
        """Returns whether a version is not older than the one seen, and remembers it.

        A registry without incarnations may have begun anew at 1, so its versions do not distinguish old lists
        from new ones: it is followed, and the hold time protects the servers in use.
        """
        if not version.incarnation:
            if self.seen.incarnation:
                return False  # it had incarnations before: this is an older program, or another one
            self.seen = version
            return True
        if version < self.seen:
            return False
        self.seen = version
        return True


def registry_incarnation(own: int, began_without_list: bool, heard: int) -> int:
    """Returns the incarnation that a registry takes when an agent holds a list of incarnation `heard`.

    A registry that began without a list, on a machine whose clock is behind, has a lower incarnation than the
    one that it follows, and would never be believed: it takes the next one. A registry that goes on with an
    older list has to be refused instead.
    """
    return heard + 1 if began_without_list and heard > own else own
