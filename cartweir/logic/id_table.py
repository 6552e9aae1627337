"""A table of ids with a fixed number of places, in which an id has its place for a time.

It is a set-associative hash table: an id may stand in one of two buckets of a few places each, so that the
table is nearly full before an id finds both buckets taken. A place holds a part of the id's hash, and when
the id last came. Nothing is ever moved, allocated or swept: an id that has lapsed stays known until its place
is used again. The hash is salted anew in each process, so that no client can choose ids that collide.
"""

from __future__ import annotations

from array import array

from .timing import SECOND

BUCKET_PLACES = 16
MAX_BUCKETS = 1 << 16  # as many as half of a hash can choose two from
TAG_BITS = 32  # of a hash; the other half chooses the buckets
PLACE_BYTES = 2 * array("I").itemsize  # of the two arrays
EMPTY = 0


class IdTable:
    """Remembers each id for a time since it last came, and for longer while its place is not needed.

    Two ids are taken for one if they share a bucket and `TAG_BITS` bits of their hashes, which
    `2 * BUCKET_PLACES` of `2 ** TAG_BITS` pairs do in a full table.

    Attributes:
        places: How many ids it holds at most.
        retention: For how many seconds an id is remembered at least.
    """

    def __init__(self, places: int, retention: int, now: int) -> None:
        """Makes an empty table.

        Args:
            places: How many ids it is to hold; rounded to whole buckets.
            retention: In microseconds; rounded up to whole seconds.
            now: In microseconds.
        """
        self._bucket_count = max(1, min(MAX_BUCKETS, places // BUCKET_PLACES))
        self.places = self._bucket_count * BUCKET_PLACES
        self.retention = -(-retention // SECOND)
        self._tags = array("I", [EMPTY]) * self.places
        self._seen_at = array("I", [EMPTY]) * self.places  # in seconds, of which 0 has always lapsed
        self._epoch = now - (self.retention + 1) * SECOND

    def renew(self, identifier: bytes, now: int) -> bool:
        """Returns whether an id is remembered; if so, its time begins anew."""
        place = self._find(identifier)
        if place is None:
            return False
        self._seen_at[place] = self._seconds(now)
        return True

    def add(self, identifier: bytes, now: int, keep_free: int = 0) -> bool:
        """Remembers an id that is not remembered; returns False if there is no place for it.

        Args:
            identifier: The id.
            now: In microseconds.
            keep_free: Places of its bucket that are to stay free, fewer than it has.
        """
        seconds = self._seconds(now)
        tag, buckets = self._hash(identifier)
        # the bucket with more empty places, or else with the id that came least recently
        oldest_first, first = min(
            (sorted(self._seen_at[first : first + BUCKET_PLACES]), first) for first in buckets
        )
        if seconds - oldest_first[keep_free] <= self.retention:
            return False
        place = self._seen_at.index(oldest_first[0], first, first + BUCKET_PLACES)
        self._tags[place] = tag
        self._seen_at[place] = seconds
        return True

    def remove(self, identifier: bytes) -> None:
        """Forgets an id, if it is remembered."""
        place = self._find(identifier)
        if place is not None:
            self._tags[place] = self._seen_at[place] = EMPTY

    def _seconds(self, now: int) -> int:
        return (now - self._epoch) // SECOND

    def _find(self, identifier: bytes) -> int | None:
        """Returns the place of an id."""
        tag, buckets = self._hash(identifier)
        for first in buckets:
            tags = self._tags[first : first + BUCKET_PLACES]
            if tag in tags:
                return first + tags.index(tag)
        return None

    def _hash(self, identifier: bytes) -> tuple[int, tuple[int, int]]:
        """Returns the part of an id's hash that its place holds, and the first places of its buckets."""
        choice, tag = divmod(hash(identifier) & 0xFFFF_FFFF_FFFF_FFFF, 1 << TAG_BITS)
        rest, one = divmod(choice, self._bucket_count)
        other = rest % self._bucket_count
        return tag or 1, (one * BUCKET_PLACES, other * BUCKET_PLACES)
