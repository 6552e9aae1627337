"""What a leader knows of the other members: how far their logs go, and when they last answered."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

NEVER = None


@dataclass
class Progress:
    """The state of replication to one member."""

    next_index: int  # of the next entry to send
    match_index: int = 0  # the last entry known to be on its disk
    acknowledged_at: int | None = NEVER  # when the latest round that it answered was sent


class Replication:
    """The progress of each member, and the rounds of messages that they answer."""

    def __init__(self) -> None:
        self.round = 0
        self._progress: dict[str, Progress] = {}
        self._round_sent_at: dict[int, int] = {}

    def reset(self, members: Iterable[str], next_index: int, now: int) -> None:
        """Begins anew, after this member was elected by members that have just answered."""
        self._progress = {name: Progress(next_index, acknowledged_at=now) for name in members}
        self._round_sent_at = {}

    def begin_round(self, now: int, remember: int) -> None:
        """Begins another round of messages; rounds older than `remember` are forgotten."""
        self.round += 1
        oldest = now - remember
        self._round_sent_at = {number: at for number, at in self._round_sent_at.items() if at > oldest}
        self._round_sent_at[self.round] = now

    def of(self, name: str, next_index: int) -> Progress:
        """Returns the progress of a member; `next_index` applies to one that is new."""
        return self._progress.setdefault(name, Progress(next_index))

    def is_next(self, name: str, index: int) -> bool:
        """Whether the member has been sent all entries before this one."""
        progress = self._progress.get(name)
        return progress is not None and progress.next_index == index

    def match_index(self, name: str) -> int:
        """Returns the last index known to be on the member's disk; 0 if nothing is known."""
        progress = self._progress.get(name)
        return progress.match_index if progress else 0

    def acknowledged_at(self, name: str) -> int | None:
        """Returns when the latest round was sent that the member has answered."""
        progress = self._progress.get(name)
        return progress.acknowledged_at if progress else NEVER

    def acknowledge(self, progress: Progress, answered_round: int) -> None:
        """Notes that a member has answered a round."""
        sent_at = self._round_sent_at.get(answered_round, 0)
        progress.acknowledged_at = max(progress.acknowledged_at or 0, sent_at)

    def forget_match(self, name: str, next_index: int) -> None:
        """Begins anew with a member whose directory was replaced."""
        progress = self.of(name, next_index)
        progress.next_index, progress.match_index = next_index, 0
