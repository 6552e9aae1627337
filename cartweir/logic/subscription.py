"""Subscription to the list of appliances, and its repetition while discovery does not answer."""

from __future__ import annotations

from ..interface import CACHED, DELTA, FAILED, SNAPSHOT, UNANSWERED, UNCHANGED, UNREACHABLE
from ..state import AgentState
from .timing import SECOND, jitter

RETRY_AFTER = SECOND  # after a failure
REPEAT_AFTER = 2 * SECOND  # well before an agent that does not ask counts as informed
MAX_BACKOFF_DOUBLINGS = 2  # of the pause of a second before discovery is asked again


class ListSubscription:
    """Subscribes to the list until discovery sends it."""

    def __init__(self, state: AgentState) -> None:
        self.state = state

    def start(self) -> None:
        """Subscribes at once, and again until the subscription stands."""
        self.state.host.subscribe()
        self._subscribe_in(jitter(self.state.rng, RETRY_AFTER))

    def _subscribe_in(self, wait: int) -> None:
        state = self.state
        state.next_subscribe_at = state.host.now + wait
        state.host.call_at(state.next_subscribe_at, self._retry)

    def _retry(self) -> None:
        state = self.state
        # an earlier timer may have been replaced by a later one
        if not state.subscribed and state.host.now >= state.next_subscribe_at:
            state.host.subscribe()
            self._subscribe_in(jitter(state.rng, REPEAT_AFTER))

    def update(self, status: str, waited: int | None) -> bool:
        """Takes note of the result of a request for the list.

        Args:
            status: one of the constants in `interface`.
            waited: without an answer, how long one was waited for; None: for an unknown time, or not by this
                agent.

        Returns:
            Whether entries of the list have come.
        """
        state = self.state
        if status in (UNREACHABLE, UNANSWERED) and waited is not None:
            # backs off, because calls that fail fill the queue at discovery too
            state.failed_calls += 1
            pause = state.rng.randrange(SECOND << min(state.failed_calls, MAX_BACKOFF_DOUBLINGS))
            self._subscribe_in(max(pause, jitter(state.rng, REPEAT_AFTER) - waited))
        elif status == FAILED and state.subscribed:
            self._subscribe_in(jitter(state.rng, RETRY_AFTER))
        if status not in (DELTA, SNAPSHOT, CACHED):
            # after a failure it is not known whether an earlier subscription still stands
            state.subscribed = status == UNCHANGED
            return False
        state.subscribed, state.failed_calls = state.subscribed or status != CACHED, 0
        return True
