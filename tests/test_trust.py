"""How long idle connections are trusted, without sockets."""

import random

from cartweir.node.trust import Trust

MS, S = 1_000, 1_000_000


def use(trust, chance, dies, usual=0.05, count=2000):
    """Idle times from 1 ms to 2 s; those over `dies` are gone in half of the cases."""
    for _ in range(count):
        idle = round(MS * 2 ** chance.uniform(0, 11))
        if not trust.limit or idle < trust.limit:
            trust.note(idle, chance.random() < (0.5 if idle > dies else usual))


def test_resets_at_any_idle_time_change_nothing():
    trust = Trust(18 * S)
    use(trust, random.Random(1), 100 * S, usual=0.1)
    assert trust.limit == 18 * S


def test_what_dies_early_is_not_used_any_more_and_is_tried_again_later():
    trust, chance = Trust(18 * S), random.Random(2)
    use(trust, chance, 150 * MS)
    assert trust.limit in (64 * MS, 128 * MS)
    for _ in range(8):
        trust.fade()
        use(trust, chance, 100 * S)
    assert trust.limit == 18 * S


def test_without_a_time_that_is_told_there_is_none_until_it_shows():
    trust = Trust(0)
    use(trust, random.Random(3), 500 * MS, usual=0.0)
    assert trust.limit in (256 * MS, 512 * MS)
