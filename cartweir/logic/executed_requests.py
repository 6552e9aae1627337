"""Ids of requests that may have run, and must not run again under the same id.

A client gives each request an id of its own. An id that comes again after its client has left, or after its
answer, would run a second time. Two generations of ids are kept, so that forgetting costs nothing.
"""

from __future__ import annotations

from ..interface import IDEMPOTENT, NEVER_RAN, Invocation
from .timing import SECOND

GENERATION_TIME = 30 * SECOND
MAX_GENERATION = 4_096  # ids; a full generation ends early


def may_have_run(invocation: Invocation) -> bool:
    """Returns whether an appliance may have run an invocation, or may yet."""
    return any(dispatch.result not in NEVER_RAN for dispatch in invocation.dispatches)


class ExecutedRequests:
    """Remembers ids for `GENERATION_TIME` at least since they last came, unless very many come."""

    def __init__(self, now: int) -> None:
        """Remembers none yet; now: in microseconds."""
        self._recent: set[int] = set()
        self._older: set[int] = set()
        self._began = now

    def record(self, request_id: bytes, effect: str, invocation: Invocation | None, now: int) -> None:
        """Remembers the id of a request that has ended, if it may have run and must not do so again.

        Args:
            request_id: Its id.
            effect: The effect of its operation.
            invocation: Its invocation; None if an error broke it off as it began, at whatever point.
            now: In microseconds.
        """
        if effect != IDEMPOTENT and (invocation is None or may_have_run(invocation)):
            self._forget_old(now)
            self._recent.add(hash(request_id))

    def contains(self, request_id: bytes, now: int) -> bool:
        """Returns whether a request with this id may have run; if so, its time begins anew."""
        self._forget_old(now)
        key = hash(request_id)
        if key in self._older:
            self._older.remove(key)
            self._recent.add(key)
        return key in self._recent

    def _forget_old(self, now: int) -> None:
        if now - self._began >= GENERATION_TIME or len(self._recent) >= MAX_GENERATION:
            self._older, self._recent = self._recent, set()
            self._began = now
