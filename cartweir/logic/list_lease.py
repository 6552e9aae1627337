"""The lease on the list of appliances: how long it is relied on while discovery is silent (rule 3)."""

from __future__ import annotations

from math import inf

from ..interface import UNANSWERED, UNREACHABLE
from .timing import MILLISECOND, SECOND

ANNOUNCED_WITHIN = 6 * SECOND  # the platform announces a change within this time
LEASE_MARGIN = 100 * MILLISECOND  # a request may still be under way when the lease ends
RESTART_TIME = 2 * SECOND  # discovery takes at least this long to be back once it has gone
PRESUMED_DOWN_AFTER = 40 * SECOND  # a longer silence is not caused by a queue at discovery


class ListLease:
    """Says whether the list of appliances may be relied on.

    A change counts as announced `ANNOUNCED_WITHIN` after a watch fell silent, or once discovery could be
    reached for so long while it had the change, whether the message arrived or not. So the lease ends that
    long, and the grace of a drain, after discovery fell silent.

    While discovery is down it announces nothing. A sign that it is down renews the lease, but only if the
    list held all that had been announced before: not after a silence in which discovery may have been
    running.

    Attributes:
        term: length of the lease.
        silent_since: when discovery fell silent; None if it sends something, or has not been missed yet.
        complete: the list has all that was announced before discovery went down.
    """

    def __init__(self, drain_grace: int) -> None:
        self.term = ANNOUNCED_WITHIN + drain_grace - LEASE_MARGIN
        self.silent_since: int | None = None
        self.complete = True

    def update(self, status: str, now: int, waited: int | None) -> None:
        """Takes note of the result of a request for the list.

        Args:
            status: one of the constants in `interface`.
            now: the present time.
            waited: without an answer, how long one was waited for; None if unknown.
        """
        if status == UNANSWERED:
            if self.silent_since is None:
                self.silent_since = now - (ANNOUNCED_WITHIN if waited is None else waited)
            self.complete = False
        elif status != UNREACHABLE:
            self.silent_since, self.complete = None, True
        elif self.silent_since is None:
            # it announces nothing while it is gone, and is not back at once
            self.silent_since = now + RESTART_TIME
        elif self.complete:
            self.silent_since = max(now, self.silent_since)

    def holds(self, now: int) -> bool:
        """Returns whether the list may be relied on.

        It may also after `PRESUMED_DOWN_AFTER`: no queue at discovery lasts that long, so that discovery is
        down and the list is better than none.
        """
        silence = -inf if self.silent_since is None else now - self.silent_since
        return silence < self.term or silence >= PRESUMED_DOWN_AFTER
