"""Shares the time of the event loop among connections that have much input to handle.

A read of 64 KiB may hold thousands of frames. Handled in one turn of the loop, they would hold up all other
connections. So input is cut into slices that take about the same time. Between two of them, a connection
lets others have their turn if any of them waits, or if its slices bring no calls and callbacks wait. Of
slices that are left over, the loop handles one in each turn.
"""

from __future__ import annotations

import asyncio
import selectors
from weakref import WeakKeyDictionary

SLICE_TIME = 1_000  # microseconds
MIN_SLICE_BYTES = 256
MAX_SLICE_BYTES = 64 * 1024
FIRST_SLICE_BYTES = 4 * 1024
MAX_TURN_TIME = 20_000  # microseconds without a call that was taken; then timers get their turn

_backlogs: WeakKeyDictionary[asyncio.AbstractEventLoop, asyncio.Lock] = WeakKeyDictionary()


def backlog_turn() -> asyncio.Lock:
    """Returns the lock under which one connection of the running loop handles a further slice."""
    loop = asyncio.get_running_loop()
    lock = _backlogs.get(loop)
    if lock is None:
        lock = _backlogs[loop] = asyncio.Lock()
    return lock


def others_wait(descriptor: int) -> bool:
    """Returns whether a connection of the running loop waits, besides the one with this descriptor."""
    selector = getattr(asyncio.get_running_loop(), "_selector", None)
    if not isinstance(selector, selectors.DefaultSelector):
        return True  # unknown
    # not by the loop's own class, which would take this for one of its turns
    return any(key.fd != descriptor for key, _ in selectors.DefaultSelector.select(selector, 0))


def callbacks_wait(own: int) -> bool:
    """Returns whether the running loop has callbacks to run, besides so many of the caller's own."""
    return len(getattr(asyncio.get_running_loop(), "_ready", ())) > own


class InputPacer:
    """Sizes the slices by the time that the ones before took.

    Attributes:
        slice_bytes: Bytes of the next slice.
    """

    __slots__ = ("slice_bytes",)

    def __init__(self) -> None:
        self.slice_bytes = FIRST_SLICE_BYTES

    def record(self, took: int) -> None:
        """Takes note of a slice that took so many microseconds."""
        if took > SLICE_TIME:
            self.slice_bytes = max(MIN_SLICE_BYTES, self.slice_bytes // 2)
        elif took < SLICE_TIME // 4:
            self.slice_bytes = min(MAX_SLICE_BYTES, self.slice_bytes * 2)
