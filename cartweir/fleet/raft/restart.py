"""Detection of a data directory that was restored from an older copy.

Such a directory has forgotten votes and entries that its member has already acknowledged, so its member must
not take part. At each start a member therefore asks the others for the latest state that they know it had.
Until they have answered, or a deadline has passed, it does not vote and sends nothing else.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .log import LogPosition
from .messages import Envelope, Message, StartQuery, StartReply
from .records import StartCount, StartRecord

NO_POSITION = LogPosition(0, 0)


class _Observation(NamedTuple):
    """The highest term and log position seen of a peer with this directory."""

    directory_id: str
    term: int = 0
    last: LogPosition = NO_POSITION


class RestartCheck:
    """The questions of one member at its start, and its answers to the questions of others.

    Attributes:
        starts: the latest known start of each member.
        stale_reason: why this directory is an older copy; empty as long as nothing says so.
    """

    def __init__(self, own: StartRecord, term: int, last: LogPosition, starts: dict[str, StartCount]) -> None:
        """`own` is this start, which `starts` includes; `term` and `last` are what the directory holds."""
        self._own = own
        self._term = term
        self._last = last
        self.starts = starts
        self.stale_reason = ""
        self._observed: dict[str, _Observation] = {}
        self._unanswered: set[str] = set()
        self._deadline = 0
        self._next_query_at = 0

    def begin(self, peers: Iterable[str], now: int, deadline: int) -> None:
        """Starts asking the peers; those that have not answered by the deadline are not waited for."""
        self._unanswered = set(peers)
        self._deadline = deadline
        self._next_query_at = now

    def skip(self) -> None:
        """Stops waiting for answers."""
        self._unanswered.clear()

    @property
    def passed(self) -> bool:
        """Whether all answers are in, or no longer waited for, and none says that the directory is stale."""
        return not self._unanswered and not self.stale_reason

    def allows(self, envelope: Envelope) -> bool:
        """Whether a message may leave: a peer has to answer by what it knew before this start."""
        is_question = isinstance(envelope.message, StartQuery | StartReply)
        return is_question or envelope.to not in self._unanswered

    def queries(self, now: int, interval: int) -> list[Envelope]:
        """Returns the questions to send now."""
        if now >= self._deadline:
            self.skip()
        if not self._unanswered or now < self._next_query_at:
            return []
        self._next_query_at = now + interval
        return [Envelope(peer, StartQuery(self._own.number)) for peer in sorted(self._unanswered)]

    def observe(self, peer: str, directory_id: str, term: int, last: LogPosition = NO_POSITION) -> None:
        """Notes what a message shows of its sender.

        Neither the term nor the last position of a member ever decreases: only entries of a later term
        replace others.
        """
        seen = self._observed.get(peer)
        if seen is not None and seen.directory_id == directory_id:
            term, last = max(seen.term, term), max(seen.last, last)
        self._observed[peer] = _Observation(directory_id, term, last)

    def answer(
        self, peer: str, directory_id: str, query: StartQuery
    ) -> tuple[StartReply, StartRecord | None]:
        """Returns the answer to a question, and the record of the start if it is a new one."""
        known = self.starts.get(peer, StartCount(directory_id, 0))
        record = None
        if known.directory_id != directory_id or query.start_number > known.number:
            known = self.starts[peer] = StartCount(directory_id, query.start_number)
            record = StartRecord(peer, *known)
        seen = self._observed.get(peer)
        if seen is None or seen.directory_id != directory_id:
            seen = _Observation(directory_id)
        return StartReply(known.number, seen.term, seen.last), record

    def on_reply(self, peer: str, reply: StartReply) -> None:
        """Compares what a peer knows of this member with what the directory holds."""
        if peer not in self._unanswered:
            return
        self._unanswered.discard(peer)
        if reply.start_number > self._own.number:
            self.stale_reason = f"{peer} knows of start {reply.start_number}, here it is {self._own.number}"
        if reply.term > self._term:
            self.stale_reason = f"{peer} knows of term {reply.term}, here it is {self._term}"
        if reply.last > self._last:
            self.stale_reason = (
                f"{peer} knows of log up to {tuple(reply.last)}, here it is {tuple(self._last)}"
            )


def is_restart_message(message: Message) -> bool:
    """Whether a message belongs to this check."""
    return isinstance(message, StartQuery | StartReply)
