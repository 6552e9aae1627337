"""For how long an idle connection may be trusted: learnt from those that broke under their next request. No I/O."""

from __future__ import annotations

from bisect import bisect_left

EDGES = [16_000 << place for place in range(12)]  # of idle times, in microseconds
FEW = 6  # uses that a bin needs to tell anything


class Trust:
    """Guards against whoever forgets idle connections earlier than it says, without a word: the next request on one
    ends as a reset, which may have run. It shows in that resets are many more from some idle time on."""

    def __init__(self, most: int) -> None:
        self.limit = self.most = most  # what is told; 0: for good
        self.used, self.lost = [0.0] * (len(EDGES) + 1), [0.0] * (len(EDGES) + 1)

    def note(self, idle: int, lost: bool) -> None:
        """A connection that had been idle for so long was used, and did break before any answer."""
        place = bisect_left(EDGES, idle)
        self.used[place] += 1
        self.lost[place] += lost
        if lost:
            self._settle()

    def _settle(self) -> None:
        self.limit, used, lost = self.most, 0.0, 0.0
        for place in range(len(self.used)):
            usual = (lost + 1) / (used + 4)  # of those that were idle for less
            if place and self.used[place] >= FEW and self.lost[place] / self.used[place] > 2 * usual + 0.1:
                self.limit = min(EDGES[place - 1], self.most or EDGES[place - 1])
                return
            used, lost = used + self.used[place], lost + self.lost[place]

    def fade(self) -> None:
        """Now and then: what is not tried any more is forgotten, and then tried again."""
        self.used = [count / 2 for count in self.used]
        self.lost = [count / 2 for count in self.lost]
        self._settle()
