"""Ids of requests that may have run."""

from __future__ import annotations

import pytest

from cartweir.interface import (
    CANCELLED,
    FINGERPRINTED,
    FULL,
    IDEMPOTENT,
    SIDE_EFFECTING,
    SUCCEEDED,
    Appliance,
    Dispatch,
    Invocation,
    Operation,
)
from cartweir.logic.executed_requests import (
    MAX_PLACES,
    MIN_PLACES,
    PART_TIME,
    RETENTION,
    ClientIds,
    ExecutedRequests,
    nothing_ran,
    remembered_ids_limit,
)
from cartweir.logic.id_table import PLACE_BYTES

LONGEST_REQUEST = 3_000_000
MEGABYTE = 1_000_000


def invocation(effect, *results):
    found = Invocation(1, Operation("issue", effect), 0, 1)
    found.dispatches = [Dispatch(Appliance("a"), result=result) for result in results]
    return found


@pytest.mark.parametrize(
    "effect, results, kept",
    [
        (SIDE_EFFECTING, [SUCCEEDED], True),
        (SIDE_EFFECTING, [None], True),  # still out as its client left
        (FINGERPRINTED, [FULL, CANCELLED], True),
        (SIDE_EFFECTING, [FULL], False),
        (SIDE_EFFECTING, [], False),
        (IDEMPOTENT, [SUCCEEDED], False),
    ],
)
@pytest.mark.parametrize("throttled", [False, True])
def test_an_id_is_kept_if_its_request_may_have_run_and_must_not_again(effect, results, kept, throttled):
    executed = ExecutedRequests(MIN_PLACES, LONGEST_REQUEST, 0)
    client = ClientIds()
    assert executed.reserve(b"a", effect, client, 1, 0)
    if nothing_ran(invocation(effect, *results), throttled):
        executed.release(b"a", effect, client, 0)
    assert client.count(0) == kept
    assert executed.contains(b"a", RETENTION + LONGEST_REQUEST) == kept
    assert not executed.contains(b"b", 0)


@pytest.mark.parametrize("throttled, kept", [(False, True), (True, False)])
def test_an_id_whose_request_ended_before_it_was_accepted_is_kept_unless_it_was_throttled(throttled, kept):
    executed = ExecutedRequests(MIN_PLACES, LONGEST_REQUEST, 0)
    client = ClientIds()
    executed.reserve(b"a", SIDE_EFFECTING, client, 1, 0)
    if nothing_ran(None, throttled):
        executed.release(b"a", SIDE_EFFECTING, client, 0)
    assert executed.contains(b"a", 0) == kept


def test_a_client_is_charged_for_its_ids_as_long_as_they_keep_their_places():
    client, came_at = ClientIds(), RETENTION - 1
    client.add(3, came_at)
    assert client.count(came_at) == client.count(came_at + RETENTION) == 3
    assert client.count(came_at + RETENTION + 2 * PART_TIME) == 0


@pytest.mark.parametrize(
    "memory_limit, resident, places",
    [
        (32 * MEGABYTE, 28 * MEGABYTE, 41_666),
        (192 * MEGABYTE, 28 * MEGABYTE, MAX_PLACES),
        (32 * MEGABYTE, 33 * MEGABYTE, MIN_PLACES),
    ],
)
def test_ids_take_a_twelfth_of_the_free_memory_within_bounds(memory_limit, resident, places):
    assert remembered_ids_limit(memory_limit, resident) == places
    assert ExecutedRequests(places, LONGEST_REQUEST, 0).memory <= places * PLACE_BYTES
