"""The learned limit on idle connections, without sockets."""

import random

from cartweir.node.idle_limit import IdleLimit

MS, S = 1_000, 1_000_000


def use(limit, chance, lifetime, usual=0.05, count=2000):
    """Reuses connections after idle times from 1 ms to 2 s; half of those over `lifetime` break."""
    for _ in range(count):
        idle = round(MS * 2 ** chance.uniform(0, 11))
        if not limit.limit or idle < limit.limit:
            limit.record_use(idle, chance.random() < (0.5 if idle > lifetime else usual))


def test_resets_independent_of_the_idle_time_change_nothing():
    limit = IdleLimit(18 * S)
    use(limit, random.Random(1), 100 * S, usual=0.1)
    assert limit.limit == 18 * S


def test_limit_falls_below_the_idle_time_that_breaks_and_recovers_later():
    limit, chance = IdleLimit(18 * S), random.Random(2)
    use(limit, chance, 150 * MS)
    assert limit.limit in (64 * MS, 128 * MS)
    for _ in range(8):
        limit.decay()
        use(limit, chance, 100 * S)
    assert limit.limit == 18 * S


def test_without_an_announced_limit_there_is_none_until_connections_break():
    limit = IdleLimit(0)
    use(limit, random.Random(3), 500 * MS, usual=0.0)
    assert limit.limit in (256 * MS, 512 * MS)
