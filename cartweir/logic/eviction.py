"""From what age on a client's connection gives way to one that waits for a place.

A client that sends a part of a request and stops holds a place. Where many others wait, such clients give way
sooner, so that whoever waits gets a place within about the same time however many they are.
"""

from __future__ import annotations

from .timing import MILLISECOND

NEW_EVICTION_AGE = 100 * MILLISECOND  # has sent nothing yet
SERVED_EVICTION_AGE = 2_000 * MILLISECOND  # idle since its last response
PARTIAL_EVICTION_AGE = 500 * MILLISECOND  # has sent a part of a request, where few wait
MIN_PARTIAL_EVICTION_AGE = 20 * MILLISECOND
FEW_WAITING = 0.6  # for each place


class PartialEviction:
    """The age from which a connection with a part of a request gives way, in microseconds.

    Once it has fallen it stays so until nobody waits: else the last of a crowd would wait for the longest.

    Attributes:
        age: The age at present.
    """

    def __init__(self, places: int, longest: int = PARTIAL_EVICTION_AGE) -> None:
        """Begins with the longest age.

        Args:
            places: Connections at a time.
            longest: The age where few wait, in microseconds.
        """
        self._places, self._longest = places, longest
        self.age = longest

    def update(self, waiting: int) -> int:
        """Returns the age; waiting: connections that wait to be accepted."""
        if not waiting:
            self.age = self._longest
        elif waiting > FEW_WAITING * self._places:
            age = int(self._longest * FEW_WAITING * self._places / waiting)
            self.age = min(self.age, max(MIN_PARTIAL_EVICTION_AGE, age))
        return self.age
