"""For how long a client may take to send a request, the same in each host.

A client that stops half way holds memory and a place that others need. A usual one sends its request at once.
"""

from __future__ import annotations

from .timing import MILLISECOND, SECOND, STALL_TIME

REQUEST_TIMEOUT = 2 * SECOND  # for a whole request, in a host without a setting of its own
LOOK_INTERVAL = 200 * MILLISECOND  # between looks for requests that are overdue
MAX_LOOK_TIME = 2 * MILLISECOND  # for ending them, until others get their turn


def reading_deadline(began: int, client_time: int | None, time_limit: int | None, timeout: int) -> int:
    """Returns until when a request has to be whole.

    Args:
        began: When its head arrived, in microseconds.
        client_time: How long its client waits for the answer; None if it does not say.
        time_limit: The limit of its operation; None if there is none.
        timeout: For requests whose clients do not say how long they wait.
    """
    wait = timeout if client_time is None else client_time
    return began + (wait if time_limit is None else min(wait, time_limit))


class InputWatch:
    """Tells when input that has begun does not come to an end."""

    __slots__ = ("_ended", "_since")

    def __init__(self) -> None:
        self._ended: int | None = None  # units of input that had ended when it was looked at last
        self._since = 0  # when input that has not ended was first seen

    def is_overdue(self, incomplete: bool, ended: int, now: int, timeout: int) -> bool:
        """Returns whether the same unit of input has been incomplete for too long; asked at intervals.

        Args:
            incomplete: Whether a unit of input has begun and not ended.
            ended: How many units have ended so far.
            now: In microseconds.
            timeout: For how long one may be incomplete.
        """
        if not incomplete or ended != self._ended:
            self._ended = ended if incomplete else None
            self._since = now
            return False
        return now - self._since >= timeout


class LookClock:
    """Tells whether the process stood still since it looked last: what came meanwhile lies unread then."""

    def __init__(self, now: int) -> None:
        """Looks for the first time; now: in microseconds."""
        self._looked_at = now

    def stood_still(self, now: int) -> bool:
        """Returns whether this look comes much later than planned; now: in microseconds."""
        late = now - self._looked_at > LOOK_INTERVAL + STALL_TIME
        self._looked_at = now
        return late
