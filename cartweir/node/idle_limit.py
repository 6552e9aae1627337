"""How long an idle connection stays usable, learned from the connections that broke when reused. No I/O."""

from __future__ import annotations

from bisect import bisect_left

IDLE_TIME_EDGES = [16_000 << power for power in range(12)]  # upper edges of the bins, in microseconds
MIN_BIN_USES = 6  # uses below which a bin gives no evidence

# A bin's loss rate is too high above MAX_LOSS_RATIO x that of shorter idle times + MAX_LOSS_MARGIN.
MAX_LOSS_RATIO = 2
MAX_LOSS_MARGIN = 0.1

# Losses and uses that are added to the counts, so that few uses do not give an extreme rate.
PRIOR_LOSSES = 1
PRIOR_USES = 4


class IdleLimit:
    """The idle time up to which a connection to an appliance may be used again.

    Guards against a peer, or a device on the path, that forgets idle connections earlier than announced and
    without a sign: the next request on such a connection ends as a reset, and may have run. It shows as a
    rate of resets that rises sharply from some idle time on.

    Attributes:
        announced: The configured limit, in microseconds; 0: connections may stay idle for good.
        limit: The limit to apply, in microseconds; 0: none.
    """

    def __init__(self, announced: int) -> None:
        self.limit = self.announced = announced
        self._uses = [0.0] * (len(IDLE_TIME_EDGES) + 1)
        self._losses = [0.0] * (len(IDLE_TIME_EDGES) + 1)

    def record_use(self, idle_time: int, lost: bool) -> None:
        """Counts the reuse of a connection after an idle time.

        Args:
            idle_time: Microseconds for which the connection had carried nothing.
            lost: Whether it broke before any part of the response arrived.
        """
        index = bisect_left(IDLE_TIME_EDGES, idle_time)
        self._uses[index] += 1
        self._losses[index] += lost
        if lost:
            self._update_limit()

    def _update_limit(self) -> None:
        self.limit, uses, losses = self.announced, 0.0, 0.0
        for index in range(len(self._uses)):
            usual_rate = (losses + PRIOR_LOSSES) / (uses + PRIOR_USES)  # at shorter idle times
            if (
                index
                and self._uses[index] >= MIN_BIN_USES
                and self._losses[index] / self._uses[index] > MAX_LOSS_RATIO * usual_rate + MAX_LOSS_MARGIN
            ):
                self.limit = min(IDLE_TIME_EDGES[index - 1], self.announced or IDLE_TIME_EDGES[index - 1])
                return
            uses, losses = uses + self._uses[index], losses + self._losses[index]

    def decay(self) -> None:
        """Halves all counts, so that idle times which are no longer tried are tried again after a while."""
        self._uses = [count / 2 for count in self._uses]
        self._losses = [count / 2 for count in self._losses]
        self._update_limit()
