"""What outlives the deciding part: torn writes, growth, a full page, another version."""

from __future__ import annotations

import os
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cartweir.cores import shared_state as module
from cartweir.cores.shared_state import ROWS, SharedState, new_files


@pytest.fixture
def files():
    found = new_files()
    yield found
    for file in found:
        os.close(file)


def test_what_was_written_is_read_by_the_next(files):
    one = SharedState(files)
    one.exposed(5, 1)
    one.exposed(9, 0)
    one.bound("k1", 2)
    one.bound("k1", 3)
    one.put(stage=[2, 0, "on trial", 0.1, 77])
    other = SharedState(files)
    assert other.exposures() == [(5, 1), (9, 0)] and other.keys() == {"k1": 3}
    assert other.state["stage"] == [2, 0, "on trial", 0.1, 77]


def test_rows_wrap_and_say_how_far_back_they_reach(files):
    one = SharedState(files)
    for when in range(ROWS + 10):
        one.exposed(when, 0)
    assert one.full_since() == 10 and one.exposures()[0] == (10, 0) and len(one.exposures()) == ROWS


def test_keys_grow_and_are_kept_anew(files):
    one, chance = SharedState(files), random.Random(1)
    wanted = {f"key {n} {'x' * chance.randrange(60)}": n % 5 for n in range(5000)}
    for key, build in wanted.items():
        one.bound(key, build)
    assert SharedState(files).keys() == wanted
    one.keep_keys([("k", 4)])
    assert SharedState(files).keys() == {"k": 4}
    one.bound("m", 5)
    assert SharedState(files).keys() == {"k": 4, "m": 5}


def test_a_key_may_be_as_long_as_a_header(files):
    one = SharedState(files)
    one.bound("ÿ" * 70_000, 2**40)
    assert SharedState(files).keys() == {"ÿ" * 70_000: 2**40}


def test_a_state_that_was_being_written_leaves_the_one_before(files):
    """Every byte at which its writer may have died."""
    one = SharedState(files)
    one.put(a=1)
    before = os.pread(files[0], module._ROWS_AT, 0)
    one.put(a=2, b="x" * 40)
    after = os.pread(files[0], module._ROWS_AT, 0)
    changed = [at for at in range(len(before)) if before[at] != after[at]]
    for stop in range(len(changed) + 1):
        torn = bytearray(before)
        for at in changed[:stop]:
            torn[at] = after[at]
        os.pwrite(files[0], bytes(torn), 0)
        assert SharedState(files).state in ({"a": 1}, {"a": 2, "b": "x" * 40})
    assert SharedState(files).state["a"] == 2


def test_a_state_that_is_too_large_changes_nothing(files):
    one = SharedState(files)
    one.put(a=1)
    with pytest.raises(ValueError, match="bytes of state"):
        one.put(b="x" * module.PAGE)
    assert SharedState(files).state == one.state == {"a": 1}


def test_another_version_is_no_book(files):
    os.pwrite(files[0], b"\0" * 8, 0)
    with pytest.raises(ValueError, match="version"):
        SharedState(files)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.text(min_size=1, max_size=30).filter(lambda t: t.isprintable()), st.integers(0, 2**64 - 1)
        )
    )
)
def test_any_keys_come_back(entries):
    found = new_files()
    one = SharedState(found)
    for key, build in entries:
        one.bound(key, build)
    assert SharedState(found).keys() == dict(entries)
    for file in found:
        os.close(file)
