"""How much memory the requests of all clients and their responses may hold, and which request gives way.

Each holder is charged with the bytes that it holds. A request that is incomplete gives way to others, the
largest first: it has cost nothing but memory, and a usual client has sent all of its own. A complete request
is only taken while the bytes that it holds and the response that it is expected to bring still fit.
"""

from __future__ import annotations

from collections.abc import Collection, Hashable

MEMORY_SHARE = 8  # one part in this many of the memory that is free at the start
MIN_LIMIT = 160 * 1024  # bytes: two of the largest requests
FORGETTING = 64  # the expected size of a response falls by one part in this many with each smaller one


def request_memory_limit(memory_limit: int, resident: int) -> int:
    """Returns how many bytes requests and responses may hold.

    Args:
        memory_limit: Bytes that the process may have.
        resident: Bytes that it has without a request.
    """
    return max(MIN_LIMIT, (memory_limit - resident) // MEMORY_SHARE)


class RequestMemory:
    """The bytes that requests and responses hold, within a limit.

    Attributes:
        limit: Bytes that they may hold together.
        held: Bytes that they hold.
        expected_response: Bytes that a response is expected to have.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.expected_response = 0
        self._charges: dict[Hashable, int] = {}
        self._incomplete: dict[Hashable, None] = {}

    @property
    def incomplete(self) -> Collection[Hashable]:
        """The holders whose requests are still being read."""
        return self._incomplete.keys()

    def charge(self, holder: Hashable, size: int, incomplete: bool = False) -> None:
        """Sets the bytes that a holder holds; incomplete: those of a request that is still being read."""
        self.held += size - self._charges.pop(holder, 0)
        self._incomplete.pop(holder, None)
        if size:
            self._charges[holder] = size
            if incomplete:
                self._incomplete[holder] = None

    def charge_open(self, holder: Hashable, size: int) -> None:
        """Charges a request that waits for its response, with the response that it is expected to bring."""
        self.charge(holder, size + self.expected_response)

    def release(self, holder: Hashable) -> None:
        """The holder holds nothing any more."""
        self.charge(holder, 0)

    def record_response(self, size: int) -> None:
        """Takes note of a response's size, from which that of the next ones is expected."""
        faded = self.expected_response - self.expected_response // FORGETTING
        self.expected_response = max(size, faded)

    def is_exceeded(self) -> bool:
        """Returns whether more is held than may be."""
        return self.held > self.limit

    def give_way(self) -> Hashable | None:
        """Returns the incomplete request that gives way to others, the largest; None if there is none."""
        return max(self._incomplete, key=self._charges.__getitem__, default=None)
