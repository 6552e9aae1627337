"""Units of time, random times, and the stall from which measured times are not trusted."""

import random

MILLISECOND = 1_000  # in microseconds, the unit of all times
SECOND = 1_000_000

STALL_TIME = 150 * MILLISECOND  # a longer delay of a timer shows that this process stood still


def jitter(rng: random.Random, time: int) -> int:
    """Returns a random time between half and all of `time`, which spreads the agents out."""
    return rng.randrange(time // 2, time)
