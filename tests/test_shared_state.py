"""The memory that successive deciders share: torn writes, growth, a full page, another version."""

from __future__ import annotations

import os
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cartweir.cores import shared_state as module
from cartweir.cores.shared_state import EXPOSURE_CAPACITY, SharedState, new_files


@pytest.fixture
def files():
    created = new_files()
    yield created
    for file in created:
        os.close(file)


def test_the_next_decider_reads_what_the_last_one_wrote(files):
    writer = SharedState(files)
    writer.add_exposure(5, 1)
    writer.add_exposure(9, 0)
    writer.bind_key("k1", 2)
    writer.bind_key("k1", 3)
    writer.put(stage=[2, 0, "on trial", 0.1, 77])
    reader = SharedState(files)
    assert reader.exposures() == [(5, 1), (9, 0)] and reader.bound_keys() == {"k1": 3}
    assert reader.state["stage"] == [2, 0, "on trial", 0.1, 77]


def test_old_exposures_are_overwritten_and_the_oldest_kept_one_is_reported(files):
    shared = SharedState(files)
    for when in range(EXPOSURE_CAPACITY + 10):
        shared.add_exposure(when, 0)
    assert shared.oldest_exposure() == 10
    assert shared.exposures()[0] == (10, 0) and len(shared.exposures()) == EXPOSURE_CAPACITY


def test_the_key_file_grows_and_its_keys_can_be_replaced(files):
    shared, chance = SharedState(files), random.Random(1)
    wanted = {f"key {n} {'x' * chance.randrange(60)}": n % 5 for n in range(5000)}
    for key, build in wanted.items():
        shared.bind_key(key, build)
    assert SharedState(files).bound_keys() == wanted
    shared.replace_keys([("k", 4)])
    assert SharedState(files).bound_keys() == {"k": 4}
    shared.bind_key("m", 5)
    assert SharedState(files).bound_keys() == {"k": 4, "m": 5}


def test_a_key_may_be_as_long_as_a_header(files):
    shared = SharedState(files)
    shared.bind_key("ÿ" * 70_000, 2**40)
    assert SharedState(files).bound_keys() == {"ÿ" * 70_000: 2**40}


def test_a_writer_that_dies_while_it_writes_the_state_leaves_the_earlier_state(files):
    """Wherever the writer dies, the reader gets the old or the new state, never a mix of both."""
    shared = SharedState(files)
    shared.put(a=1)
    before = os.pread(files[0], module._EXPOSURES_OFFSET, 0)
    shared.put(a=2, b="x" * 40)
    after = os.pread(files[0], module._EXPOSURES_OFFSET, 0)
    changed = [place for place in range(len(before)) if before[place] != after[place]]
    for stop in range(len(changed) + 1):
        torn = bytearray(before)
        for place in changed[:stop]:
            torn[place] = after[place]
        os.pwrite(files[0], bytes(torn), 0)
        assert SharedState(files).state in ({"a": 1}, {"a": 2, "b": "x" * 40})
    assert SharedState(files).state["a"] == 2


def test_a_state_that_is_too_large_changes_nothing(files):
    shared = SharedState(files)
    shared.put(a=1)
    with pytest.raises(ValueError, match="bytes of state"):
        shared.put(b="x" * module.PAGE_SIZE)
    assert SharedState(files).state == shared.state == {"a": 1}


def test_memory_of_another_version_is_refused(files):
    os.pwrite(files[0], b"\0" * 8, 0)
    with pytest.raises(ValueError, match="version"):
        SharedState(files)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.text(min_size=1, max_size=30).filter(lambda text: text.isprintable()),
            st.integers(0, 2**64 - 1),
        )
    )
)
def test_any_keys_are_read_back(entries):
    files = new_files()
    shared = SharedState(files)
    for key, build in entries:
        shared.bind_key(key, build)
    assert SharedState(files).bound_keys() == dict(entries)
    for file in files:
        os.close(file)
