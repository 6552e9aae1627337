"""Whether a controller is in contact with the leader, so that agents may rely on its decisions."""

from __future__ import annotations


class LeaderContact:
    """The contact with the leader as one member sees it; times are whole microseconds of its monotonic clock.

    Agents are sent to another controller only after `tolerance`, which is longer than an election: else each
    election would send all agents to whoever leads next. A member that hears the leader and is not heard by
    it loses the votes of its agents, so that counts as no contact too.
    """

    def __init__(self, tolerance: int) -> None:
        """`tolerance` is how long agents stay while there is no leader, or one that does not answer."""
        self.tolerance = tolerance
        self._last_contact_at: int | None = None  # None: no leader since this process started

    def update(self, is_leader: bool, leader: str | None, heard_at: int, now: int) -> None:
        """Notes the member's present state; `heard_at` is when the last message from a leader arrived."""
        if leader is not None:
            self._last_contact_at = now if is_leader else heard_at

    def exists(self, is_leader: bool, unanswered_since: int | None, now: int) -> bool:
        """Whether there is contact.

        `unanswered_since` is when the oldest call to the leader began that is still without an answer; None
        if there is no such call.
        """
        if is_leader:
            return True
        if self._last_contact_at is None or now - self._last_contact_at >= self.tolerance:
            return False
        return unanswered_since is None or now - unanswered_since < self.tolerance
