"""When a departure counts as announced: each rule by itself."""

from __future__ import annotations

import pytest
from announcement_clock import (
    HANGUP_LIMIT,
    SILENCE_LIMIT,
    AgentProcess,
    Deadline,
    Delivery,
    Departure,
    Send,
    Trace,
)

PROCESS = AgentProcess(0, 0.0)
DEPARTURE = Departure("s0", 10.0, 7)


def trace(**more) -> Trace:
    return Trace(**{"asked": True, "processes": [PROCESS], "departures": [DEPARTURE], **more})


@pytest.mark.parametrize(
    "more,announced",
    [
        ({}, 16.0),  # reachable for 6 s
        ({"outages": [[5.0, 8.0], [12.0, 14.5]]}, 18.5),  # without the time when it was down
        ({"outages": [[9.0, 14.0], [17.0, 18.0]]}, 21.0),
        ({"deliveries": [Delivery(PROCESS, 11.0, 1, 6, 7)]}, 11.0),  # delivered
        (
            {"deliveries": [Delivery(PROCESS, 11.0, 1, 7, 8), Delivery(PROCESS, 12.0, 1, 5, 9)]},
            12.0,
        ),  # the first one begins after the departure
        ({"deliveries": [Delivery(AgentProcess(1, 0.0), 11.0, 1, 6, 7)]}, 16.0),  # to another process
        ({"deadlines": [Deadline(PROCESS, 7.0, 1, SILENCE_LIMIT)]}, 13.0),  # the watch was silent
        ({"deadlines": [Deadline(PROCESS, 2.0, 1, SILENCE_LIMIT)]}, 10.0),  # silent for longer than the limit
        (
            {
                "deadlines": [Deadline(PROCESS, 7.0, 1, SILENCE_LIMIT)],
                "deliveries": [Delivery(PROCESS, 9.0, 2, 0, 6)],
            },
            16.0,
        ),  # another watch was open
        ({"deadlines": [Deadline(PROCESS, 9.0, 1, HANGUP_LIMIT)]}, 13.0),  # SIGHUP
        ({"deadlines": [Deadline(PROCESS, 9.0, 1, HANGUP_LIMIT)], "outages": [[11.0, 12.0]]}, 14.0),
    ],
)
def test_departure_counts_as_announced_by_the_earliest_rule(more, announced):
    assert trace(**more).announced(PROCESS, DEPARTURE)[0] == announced


@pytest.mark.parametrize(
    "asked,ends,announced", [(False, 12.0, 13.0), (False, 10.5, 16.0), (True, 12.0, 16.0)]
)
def test_pushed_lists_carry_over_to_the_next_process(asked, ends, announced):
    earlier, later = AgentProcess(0, 0.0, ends), AgentProcess(1, 13.0)
    assert (
        trace(
            asked=asked, processes=[earlier, later], deliveries=[Delivery(earlier, 11.0, 1, 6, 7)]
        ).announced(later, DEPARTURE)[0]
        == announced
    )


@pytest.mark.parametrize(
    "at,server,late",
    [
        (9.0, "s0", False),
        (11.54, "s0", False),
        (11.56, "s0", True),
        (11.56, "s1", False),
        (30.0, "s0", False),
    ],
)
def test_only_a_dispatch_after_the_grace_to_an_absent_server_is_a_violation(at, server, late):
    left = Departure("s0", 10.0, 7, back=20.0)
    announced = trace(
        departures=[left], deliveries=[Delivery(PROCESS, 11.0, 1, 6, 7)], sends=[Send(PROCESS, at, server)]
    )
    assert bool(announced.violations(0.5)) == late
