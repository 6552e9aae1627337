"""Fencing tokens: how a receiver tells the current owner of a duty from a former one.

A lock or a lease proves nothing to the receiver of a write; a number that only grows does. See 'sequencers'
in 'The Chubby lock service' (Burrows, 2006).
"""

from __future__ import annotations

from typing import NamedTuple

# Epochs of one incarnation of the cluster; `cartweir controller recover` begins the next incarnation.
EPOCHS_PER_INCARNATION = 1 << 40


class FencingToken(NamedTuple):
    """Accompanies each effect of a duty; tokens are ordered by epoch, then by index."""

    epoch: int = 0  # of the duty's owner
    index: int = 0  # in the log, of the decision that the effect carries out


class Fence:
    """The highest token that a receiver has seen for one duty.

    The receiver keeps it as durably as the effects that it guards.
    """

    __slots__ = ("seen",)

    def __init__(self, seen: FencingToken | None = None) -> None:
        """`seen` is what the receiver has kept; None if it keeps nothing yet."""
        self.seen = seen or FencingToken()

    def accept(self, token: FencingToken) -> bool:
        """Returns whether an effect may be carried out, and remembers its token if so.

        The highest token seen is accepted again: the same decision is being repeated.
        """
        if token < self.seen:
            return False
        self.seen = token
        return True
