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
from cartweir.logic.executed_requests import GENERATION_TIME, MAX_GENERATION, ExecutedRequests


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
def test_an_id_is_kept_if_its_request_may_have_run_and_must_not_again(effect, results, kept):
    executed = ExecutedRequests(0)
    executed.record(b"a", effect, invocation(effect, *results), 0)
    assert executed.contains(b"a", GENERATION_TIME - 1) == kept
    assert not executed.contains(b"b", 0)


def test_ids_are_forgotten_after_two_generations_and_ever_new_ones_do_not_pile_up():
    executed = ExecutedRequests(0)
    executed.record(b"a", SIDE_EFFECTING, invocation(SIDE_EFFECTING, SUCCEEDED), 0)
    assert executed.contains(b"a", GENERATION_TIME)
    assert executed.contains(b"a", 2 * GENERATION_TIME)  # as it came meanwhile
    assert not executed.contains(b"b", 3 * GENERATION_TIME)
    assert not executed.contains(b"a", 4 * GENERATION_TIME)
    for number in range(5 * MAX_GENERATION):
        executed.record(
            b"%d" % number, SIDE_EFFECTING, invocation(SIDE_EFFECTING, SUCCEEDED), 4 * GENERATION_TIME
        )
    assert len(executed._recent) + len(executed._older) <= 2 * MAX_GENERATION
    assert executed.contains(b"%d" % number, 4 * GENERATION_TIME)
