"""Admission control for many clients that arrive at once.

Clients are admitted at a given rate, a bounded number waits, and every other client is told a time of its
own after which to retry. Clients that are told the same time would all return at once again, so the times
follow one another at the rate at which clients can be admitted, as Retry-After is used in 'Handling
Overload' (Site Reliability Engineering, 2016). A client that retries early is told a time behind all
others: complying pays.

Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

MICROSECONDS = 1_000_000  # in a second
DEFAULT_BURST_TIME = 0.25  # seconds' worth of clients that are admitted at once after a quiet time


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """What to do with a client.

    Attributes:
        wait: the time after which it is served; None if it is rejected.
        retry_after: the time after which a rejected client is to retry.
    """

    wait: int | None
    retry_after: int = 0


class AdmissionControl:
    """Decides which clients are admitted, and when."""

    def __init__(self, rate: float, burst: int, queue: int, longest_retry: int) -> None:
        """Sets the limits.

        Args:
            rate: clients a second.
            burst: clients that are admitted at once after a quiet time.
            queue: clients that may wait.
            longest_retry: the longest time after which a client is told to retry.

        Raises:
            ValueError: a limit is out of range.
        """
        if rate <= 0 or burst < 1 or queue < 0 or longest_retry <= 0:
            raise ValueError(
                "expected a rate above 0, a burst of at least 1, a queue of at least 0 "
                "and a longest retry above 0"
            )
        self._interval = MICROSECONDS / rate
        self._burst_time = burst * self._interval
        self._queue_time = queue * self._interval
        self._longest_retry = longest_retry
        self._admitted_until = 0.0  # when the next client would be served if there were no burst
        self._last_retry_at = 0.0  # the latest time that a rejected client was told
        self.admitted = 0
        self.rejected = 0

    @classmethod
    def for_rate(cls, rate: float, longest_retry: int) -> AdmissionControl:
        """Allows a short burst, and a second of waiting: clients that wait longer time out (after 2 s)."""
        return cls(rate, max(1, int(rate * DEFAULT_BURST_TIME)), int(rate), longest_retry)

    def decide(self, now: int) -> AdmissionDecision:
        """Decides on a client that arrives now."""
        start = max(self._admitted_until, now - self._burst_time)  # the burst is the rate that was not used
        wait = max(0.0, start + self._interval - now)
        if wait > self._queue_time:
            self.rejected += 1
            return AdmissionDecision(None, self._retry_after(now, wait))
        self._admitted_until = start + self._interval
        self.admitted += 1
        return AdmissionDecision(int(wait))

    def _retry_after(self, now: int, wait: float) -> int:
        """After the clients that wait and those rejected before; from the front again at the longest time."""
        queue_ends = now + wait
        self._last_retry_at = max(self._last_retry_at, queue_ends) + self._interval
        if self._last_retry_at > now + self._longest_retry:
            self._last_retry_at = queue_ends + self._interval
        return min(self._longest_retry, int(self._last_retry_at - now))
