"""The table of ids: drawn orders of ids that come, come again, are removed and lapse, beside a model."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cartweir.logic.id_table import IdTable

SECOND = 1_000_000
RETENTION = 60 * SECOND
PLACES = 256

MOMENTS = st.one_of(st.integers(0, SECOND), st.integers(0, 2 * RETENTION), st.just(RETENTION))
STEPS = st.lists(
    st.tuples(st.sampled_from(["come", "remove", "crowd"]), st.integers(0, 20), MOMENTS), max_size=60
)


class Model:
    """A table beside a plain one: the time at which each id that it has taken last came."""

    def __init__(self, retention: int = RETENTION) -> None:
        self.now = 0
        self.table = IdTable(PLACES, retention, self.now)
        self.came_at: dict[bytes, int] = {}
        self.refused = 0

    def come(self, identifier: bytes) -> None:
        """An id comes: it is known if it has to be, and takes a place if it is new and there is one."""
        known = self.table.renew(identifier, self.now)
        if identifier in self.came_at and self.now - self.came_at[identifier] <= RETENTION:
            assert known
        if identifier not in self.came_at:
            assert not known
        if known or self.table.add(identifier, self.now):
            self.came_at[identifier] = self.now
        else:
            self.came_at.pop(identifier, None)
            self.refused += 1

    def remove(self, identifier: bytes) -> None:
        self.table.remove(identifier)
        self.came_at.pop(identifier, None)


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_an_id_is_known_for_its_time_whatever_else_comes(steps):
    """Guards against an older id that gives way to new ones."""
    model, crowd = Model(), 0
    for kind, number, pause in steps:
        identifier = b"id-%d" % number
        match kind:
            case "come":
                model.come(identifier)
            case "remove":
                model.remove(identifier)
            case "crowd":
                for _ in range(number * PLACES // 10):
                    crowd += 1
                    model.come(b"crowd-%d" % crowd)
        model.now += pause
    for identifier in list(model.came_at):
        model.come(identifier)
    assert len(model.table._tags) == len(model.table._seen_at) == PLACES


def test_a_full_table_has_no_place_until_an_id_has_lapsed():
    model = Model()
    for number in range(4 * PLACES):
        model.come(b"%d" % number)
    assert model.refused > 0
    model.now += RETENTION + 2 * SECOND
    model.refused = 0
    for number in range(PLACES // 2):
        model.come(b"new-%d" % number)
    assert model.refused == 0


def test_a_table_is_nearly_full_before_an_id_finds_no_place():
    table, places, added = IdTable(1 << 14, RETENTION, 0), 1 << 14, 0
    while table.add(b"%d" % added, 0):
        added += 1
    assert added > 0.8 * places
    assert all(table.renew(b"%d" % number, RETENTION) for number in range(added))


def test_ids_that_were_removed_leave_their_places():
    table = IdTable(PLACES, RETENTION, 0)
    for number in range(20 * PLACES):
        assert table.add(b"%d" % number, 0)
        table.remove(b"%d" % number)
        assert not table.renew(b"%d" % number, 0)
