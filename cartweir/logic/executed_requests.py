"""Ids of requests that may have run, and must not run again under the same id.

A client gives each request an id of its own. An id that comes again after its client has left, or after its
answer, would run a second time. So an id has its place from before the first attempt on; it gives the place
back if it turns out that nothing ran. Otherwise it keeps the place for `RETENTION` since it last came, and
longer while no new id needs it. Where there is no place for a new id, its request is not taken.
"""

from __future__ import annotations

from ..interface import IDEMPOTENT, Invocation
from .id_table import BUCKET_PLACES, PLACE_BYTES, IdTable
from .timing import SECOND

RETENTION = 180 * SECOND  # since an id last came, besides the time for which a request may be open
MEMORY_SHARE = 12  # one part in this many of the memory that is free at the start
MIN_PLACES = 16_384
MAX_PLACES = 1 << 18
RETENTION_PARTS = 8
PART_TIME = RETENTION // RETENTION_PARTS
KEPT_FREE = BUCKET_PLACES // 4  # in each bucket, for clients that have not taken their even part


def remembered_ids_limit(memory_limit: int, resident: int) -> int:
    """Returns how many ids may be remembered.

    Args:
        memory_limit: Bytes that the process may have.
        resident: Bytes that it has without a request.
    """
    places = (memory_limit - resident) // MEMORY_SHARE // PLACE_BYTES
    return max(MIN_PLACES, min(MAX_PLACES, places))


def nothing_ran(invocation: Invocation | None, throttled: bool) -> bool:
    """Returns whether no appliance has run a request that has ended, nor may yet.

    A dispatch that is unsent is not sent any more once its request has ended.

    Args:
        invocation: Its invocation; None if it ended before it was accepted: either it was throttled, or an
            error broke it off, at whatever point.
        throttled: Whether it ended with a throttling reply.
    """
    if invocation is None:
        return throttled
    return all(dispatch.never_ran for dispatch in invocation.dispatches)


class ClientIds:
    """How many ids one client has brought within the retention time, counted by parts of that time."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}  # by the number of the part

    def count(self, now: int) -> int:
        """Returns how many it has brought since a part before the retention time; now: in microseconds."""
        first = now // PART_TIME - RETENTION_PARTS
        for part in [part for part in self._counts if part < first]:
            del self._counts[part]
        return sum(self._counts.values())

    def add(self, change: int, now: int) -> None:
        """Counts ids that it has brought, or that were given back."""
        part = now // PART_TIME
        self._counts[part] = self._counts.get(part, 0) + change


class ExecutedRequests:
    """The ids of requests that may have run."""

    def __init__(self, limit: int, longest_request: int, now: int) -> None:
        """Remembers none yet.

        Args:
            limit: How many ids it remembers at most.
            longest_request: For how many microseconds a request may be open.
            now: In microseconds.
        """
        self._ids = IdTable(limit, RETENTION + longest_request, now)

    @property
    def memory(self) -> int:
        """The bytes that it takes, however many ids it remembers."""
        return self._ids.places * PLACE_BYTES

    def contains(self, request_id: bytes, now: int) -> bool:
        """Returns whether a request with this id may have run; if so, its time begins anew."""
        return self._ids.renew(request_id, now)

    def reserve(self, request_id: bytes, effect: str, client: ClientIds, client_count: int, now: int) -> bool:
        """Remembers the id of a request before it runs; returns False if there is no place for it.

        A client that has brought more than its even part of all ids is kept from the last places.

        Args:
            request_id: The id.
            effect: The effect of its operation.
            client: The ids of its client.
            client_count: How many clients there are.
            now: In microseconds.
        """
        if effect == IDEMPOTENT:
            return True
        sharers = client_count + 1  # another one may come
        exceeds_part = client.count(now) * sharers > self._ids.places
        if not self._ids.add(request_id, now, KEPT_FREE if exceeds_part else 0):
            return False
        client.add(1, now)
        return True

    def release(self, request_id: bytes, effect: str, client: ClientIds, now: int) -> None:
        """Forgets the id of a request of which nothing ran.

        Args:
            request_id: The id.
            effect: The effect of its operation.
            client: The ids of its client.
            now: In microseconds.
        """
        if effect != IDEMPOTENT:
            self._ids.remove(request_id)
            client.add(-1, now)
