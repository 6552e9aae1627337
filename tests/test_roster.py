"""The list of appliances, without sockets."""

from cartweir.hosting.roster import SPARE_GONE, Roster, Row
from cartweir.interface import DRAINING, GONE, READY


def test_idents_that_are_always_new_do_not_pile_up():
    roster = Roster()
    for number in range(5000):
        roster.apply(
            False, [Row(f"s{number}", 1, run=number), Row(f"s{number - 4}", 1, run=number - 4, state=GONE)]
        )
    assert len(roster.appliances) < 20 + 2 * SPARE_GONE and len(roster._runs) == len(roster.appliances)
    assert [a.id for a in roster.appliances.values() if a.state == READY] == [
        f"s{n}" for n in range(4996, 5000)
    ]
    assert f"s{4995 - SPARE_GONE // 2}" in roster.appliances  # who went of late is still known


def test_who_returns_is_the_same_until_it_is_forgotten():
    roster = Roster()
    (first,) = roster.apply(False, [Row("a", 1, run=7)])
    roster.apply(True, [Row("b", 1, run=7)])
    assert first.state == GONE and roster.apply(False, [Row("a", 1, run=7, state=DRAINING)]) == [first]
    assert (
        roster.apply(False, [Row("a", 2, run=8)]) == [first, roster.appliances["a"]] and first.state == GONE
    )
