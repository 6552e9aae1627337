"""The list of appliances as an agent keeps it, without sockets."""

from cartweir.hosting.appliance_list import SPARE_GONE, ApplianceList, ListEntry
from cartweir.interface import DRAINING, GONE, READY


def test_ids_that_are_never_used_again_are_forgotten():
    appliance_list = ApplianceList()
    for number in range(5000):
        appliance_list.apply(
            False,
            [
                ListEntry(f"s{number}", 1, run=number),
                ListEntry(f"s{number - 4}", 1, run=number - 4, state=GONE),
            ],
        )
    assert len(appliance_list.appliances) < 20 + 2 * SPARE_GONE and len(appliance_list._runs) == len(
        appliance_list.appliances
    )
    assert [a.id for a in appliance_list.appliances.values() if a.state == READY] == [
        f"s{n}" for n in range(4996, 5000)
    ]
    assert f"s{4995 - SPARE_GONE // 2}" in appliance_list.appliances  # one that went recently is kept


def test_an_appliance_that_returns_is_the_same_object_unless_it_has_started_anew():
    appliance_list = ApplianceList()
    (first,) = appliance_list.apply(False, [ListEntry("a", 1, run=7)])
    appliance_list.apply(True, [ListEntry("b", 1, run=7)])
    assert first.state == GONE and appliance_list.apply(
        False, [ListEntry("a", 1, run=7, state=DRAINING)]
    ) == [first]
    assert (
        appliance_list.apply(False, [ListEntry("a", 2, run=8)]) == [first, appliance_list.appliances["a"]]
        and first.state == GONE
    )
