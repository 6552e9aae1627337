"""Starts of servers on the monotonic clock, told in Unix time."""

from __future__ import annotations

import time

from hypothesis import given
from hypothesis import strategies as st

from cartweir.node import discovery, protocol, start_times
from cartweir.node.start_times import ServerStart, StartTimes

S = 1_000_000
UNIX = 1_780_000_000_000  # milliseconds at 0 of the monotonic clock


def start(name: str, at: int | None, build: int = 1) -> ServerStart:
    """Returns a start at a time of the monotonic clock; None: long ago."""
    return ServerStart(name, 0 if at is None else UNIX + at // 1000, build)


def test_a_start_is_dated_once_and_a_restart_or_another_build_anew():
    times = StartTimes()
    assert times.date([start("a", None), start("b", 1 * S), start("c", 3 * S)], 9 * S) == [0, 7 * S, 9 * S]
    assert times.date([start("b", 1 * S), start("c", 12 * S), start("d", 11 * S)], 13 * S) == [
        7 * S,
        13 * S,
        13 * S,
    ]
    assert times.date([start("b", 1 * S, build=2)], 14 * S) == [14 * S]
    times.forget("b")
    assert times.date([start("b", 1 * S, build=2)], 15 * S) == [15 * S]


def test_a_start_that_is_not_told_counts_from_now_unless_the_list_is_the_first():
    times = StartTimes()
    assert times.date([ServerStart("a", None, 1)], 5 * S) == [0]
    assert times.date([ServerStart("a", None, 1), ServerStart("b", None, 1)], 6 * S) == [0, 6 * S]
    assert times.date([ServerStart("a", None, 2)], 7 * S) == [7 * S]


@given(
    st.lists(st.tuples(st.integers(0, 100), st.integers(0, 10)), min_size=1, max_size=20),
    st.integers(0, 110),
)
def test_no_server_is_taken_for_older_than_it_is(servers, first_at):
    """Servers start at any time and are told later; the agent starts at any time."""
    times = StartTimes()
    messages: dict[int, list[tuple[int, ServerStart]]] = {}
    for number, (at, later) in enumerate(servers):
        told_at = max(first_at, at + later)
        messages.setdefault(told_at, []).append((at, start(f"s{number}", at * S)))
    for told_at in sorted(messages):
        told = messages[told_at]
        dated = times.date([entry for _, entry in told], told_at * S)
        assert all(found >= at * S for (at, _), found in zip(told, dated, strict=True))


def test_the_node_does_not_read_the_wall_clock():
    """Whatever it takes from the platform in Unix time goes through `start_times`."""
    for module in (discovery, protocol, start_times):
        assert time not in vars(module).values()
