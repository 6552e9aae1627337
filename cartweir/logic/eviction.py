"""Which client's connection gives way to one that waits for a place, and from what age on.

A client that sends a part of a request and stops holds a place. Where many others wait, such clients give way
sooner, so that whoever waits gets a place within about the same time however many they are.
"""

from __future__ import annotations

from enum import IntEnum

from .timing import MILLISECOND

NEW_EVICTION_AGE = 100 * MILLISECOND
SERVED_EVICTION_AGE = 2_000 * MILLISECOND
PARTIAL_EVICTION_AGE = 500 * MILLISECOND  # where few wait
MIN_PARTIAL_EVICTION_AGE = 20 * MILLISECOND
FEW_WAITING = 0.6  # for each place
RETRY_INTERVAL = 20 * MILLISECOND  # between looks for a client that may go, while many wait


class Idleness(IntEnum):
    """What a client without an open request has done; those with a lower number give way first."""

    SILENT = 0  # it has sent nothing yet, or has its last response
    SERVED = 1  # it may send another request
    PARTIAL = 2  # it has sent a part of a request


class EvictionPolicy:
    """Decides whether a client may give way.

    Attributes:
        partial_age: The age from which one with a part of a request gives way, in microseconds. Once it has
            fallen it stays so until nobody waits: else the last of a crowd would wait for the longest.
    """

    def __init__(self, places: int) -> None:
        """Begins with the longest age; places: connections at a time."""
        self._places = places
        self.partial_age = PARTIAL_EVICTION_AGE

    @property
    def many_wait(self) -> bool:
        """Whether many have waited since nobody did."""
        return self.partial_age < PARTIAL_EVICTION_AGE

    def update(self, waiting: int) -> None:
        """Takes note of how many connections wait to be accepted."""
        if not waiting:
            self.partial_age = PARTIAL_EVICTION_AGE
        elif waiting > FEW_WAITING * self._places:
            age = int(PARTIAL_EVICTION_AGE * FEW_WAITING * self._places / waiting)
            self.partial_age = min(self.partial_age, max(MIN_PARTIAL_EVICTION_AGE, age))

    def may_go(self, idleness: Idleness, age: int) -> bool:
        """Returns whether a client may give way; age: microseconds since it did something."""
        match idleness:
            case Idleness.SILENT:
                return age >= NEW_EVICTION_AGE
            case Idleness.SERVED:
                return age >= SERVED_EVICTION_AGE
            case Idleness.PARTIAL:
                return age >= self.partial_age
