"""The lease on the list of appliances: how long it is relied on while discovery is silent (rule 3)."""

from __future__ import annotations

from ..interface import UNANSWERED, UNREACHABLE
from .timing import MILLISECOND, SECOND

ANNOUNCED_WITHIN = 6 * SECOND  # the platform announces a change within this time
ANNOUNCED_AFTER_MOVE = 4 * SECOND  # the same after discovery has got another address
LEASE_MARGIN = 100 * MILLISECOND  # a request may still be under way when the lease ends
PRESUMED_DOWN_AFTER = 40 * SECOND  # of refusals alone


class ListLease:
    """Says whether the list of appliances may be relied on.

    A change counts as announced `ANNOUNCED_WITHIN` after a watch fell silent, or once discovery could be
    reached for so long while it had the change, whether the message arrived or not; after discovery has got
    another address, `ANNOUNCED_AFTER_MOVE` later. The lease ends with the grace of a drain after that, unless
    discovery has sent something before. An update that arrives in pieces tells what was so when it began.

    While discovery is down it announces nothing. A sign that it is down renews the lease, but only if the
    list held all that had been announced before: not after a silence in which discovery may have been
    running. What had passed of the time for announcing before the first sign stays used up.

    Attributes:
        grace: how long a change that counts as announced may still be disregarded.
        announced_at: from when changes that the list lacks may count as announced; None if it lacks none.
        move_announced_at: the same for what the present address of discovery has to tell.
        complete: the list has all that was announced before discovery went down.
    """

    def __init__(self, drain_grace: int) -> None:
        self.grace = drain_grace - LEASE_MARGIN
        self.announced_at: int | None = None
        self.move_announced_at: int | None = None
        self.complete = True
        # of the time for announcing, when discovery was first seen to be down; None: it was not
        self._time_left: int | None = None
        self._refused_since: int | None = None  # all calls since then were refused; None: the last was not

    def update(self, status: str, now: int, waited: int | None) -> None:
        """Takes note of the result of a request for the list.

        Args:
            status: one of the constants in `interface`.
            now: the present time.
            waited: without an answer, how long one was waited for, None if unknown; of an update, for how
                long it has been arriving.
        """
        if status == UNREACHABLE:
            self._record_refusal(now)
        elif status == UNANSWERED:
            self._record_silence(now if waited is None else now - waited + ANNOUNCED_WITHIN)
        else:
            self._record_update(now, waited or 0)

    def _record_update(self, now: int, arriving: int) -> None:
        self.announced_at = now - arriving + ANNOUNCED_WITHIN if arriving else None
        if not arriving:
            self.move_announced_at = None
        self.complete = True
        self._time_left = self._refused_since = None

    def _record_silence(self, announced_at: int) -> None:
        if self.announced_at is None:
            self.announced_at = announced_at
        self.complete = False
        self._refused_since = None

    def _record_refusal(self, now: int) -> None:
        """Keeps what had passed of the time for announcing when discovery was first seen to be down."""
        if self._refused_since is None:
            self._refused_since = now
        if self.announced_at is None:
            self.announced_at = now + ANNOUNCED_WITHIN
        if not self.complete:
            return
        if self._time_left is None:
            self._time_left = _earlier(self.announced_at, self.move_announced_at) - now
        renewed = now + self._time_left
        self.announced_at = max(self.announced_at, renewed)
        if self.move_announced_at is not None:
            self.move_announced_at = max(self.move_announced_at, renewed)

    def record_incomplete_update(self, since: int) -> None:
        """Takes note that only a part of an update has arrived; the list lacks what came since that time."""
        self.announced_at = _earlier(self.announced_at, since + ANNOUNCED_WITHIN)

    def record_move(self, now: int) -> None:
        """Takes note that discovery may have another address from now on."""
        self.move_announced_at = _earlier(self.move_announced_at, now + ANNOUNCED_AFTER_MOVE)
        self._time_left = self._refused_since = None

    def holds(self, now: int) -> bool:
        """Returns whether the list may be relied on.

        It may also once all calls have been refused for `PRESUMED_DOWN_AFTER`: discovery is down, and the
        list is better than none. Calls that get no answer, however long, show no such thing.
        """
        announced_at = _earlier(self.announced_at, self.move_announced_at)
        if announced_at is None or now < announced_at + self.grace:
            return True
        return self._refused_since is not None and now - self._refused_since >= PRESUMED_DOWN_AFTER


def _earlier(one: int | None, other: int | None) -> int | None:
    """Returns the earlier of two times; None stands for never."""
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)
