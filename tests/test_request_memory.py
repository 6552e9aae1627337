"""The memory of requests and responses: what is charged, and what gives way."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cartweir.logic.request_memory import MIN_LIMIT, RequestMemory, request_memory_limit

MEGABYTE = 1_000_000


def test_the_limit_is_a_part_of_what_is_free_and_holds_two_requests_at_least():
    assert request_memory_limit(192 * MEGABYTE, 32 * MEGABYTE) == 20 * MEGABYTE
    assert request_memory_limit(32 * MEGABYTE, 40 * MEGABYTE) == MIN_LIMIT


def test_the_largest_incomplete_request_gives_way_and_a_complete_one_never():
    memory = RequestMemory(100)
    memory.charge("whole", 90)
    assert memory.give_way() is None
    memory.charge("small", 5, incomplete=True)
    memory.charge("large", 9, incomplete=True)
    assert memory.is_exceeded() and memory.give_way() == "large"
    memory.charge("large", 9)  # it is complete now
    assert memory.give_way() == "small"


def test_an_open_request_is_charged_with_the_response_that_it_is_expected_to_bring():
    memory = RequestMemory(1000)
    memory.record_response(640)
    memory.charge_open("first", 10)
    assert memory.held == 650
    for _ in range(400):
        memory.record_response(1)
    assert memory.expected_response < 640 / 8


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 50), st.booleans())))
def test_what_is_held_is_the_sum_of_the_latest_charges(charges):
    memory, latest = RequestMemory(100), {}
    for holder, size, incomplete in charges:
        memory.charge(holder, size, incomplete)
        latest[holder] = size
        assert memory.held == sum(latest.values())
    for holder in latest:
        memory.release(holder)
    assert memory.held == 0 and memory.give_way() is None
