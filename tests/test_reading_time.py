"""For how long a request may be read: drawn times, and drawn input that gets on or does not."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cartweir.logic.reading_time import LOOK_INTERVAL, InputWatch, LookClock, reading_deadline
from cartweir.logic.timing import STALL_TIME

MS = 1_000
TIMEOUT = 500 * MS
TIMES = st.integers(0, 60_000 * MS)
WAITS = st.one_of(st.none(), TIMES)


@given(TIMES, WAITS, WAITS, TIMES)
def test_a_request_has_until_its_client_or_its_operation_gives_up(began, client_time, time_limit, timeout):
    deadline = reading_deadline(began, client_time, time_limit, timeout)
    assert deadline >= began
    for bound in (time_limit, timeout if client_time is None else client_time):
        assert bound is None or deadline <= began + bound
    assert deadline - began in (client_time, time_limit, timeout)


@given(st.lists(st.tuples(st.booleans(), st.booleans(), st.integers(1, 2 * TIMEOUT))))
def test_input_is_overdue_once_one_unit_of_it_was_incomplete_for_the_whole_time(looks):
    watch, ended, now, since = InputWatch(), 0, 0, None
    for gets_on, incomplete, pause in looks:
        now += pause
        if gets_on:
            ended, since = ended + 1, None
        if not incomplete:
            since = None
        elif since is None:
            since = now
        overdue = watch.is_overdue(incomplete, ended, now, TIMEOUT)
        assert overdue == (since is not None and now - since >= TIMEOUT)


@given(st.lists(st.integers(0, 3 * LOOK_INTERVAL)))
def test_a_look_that_comes_much_too_late_shows_that_the_process_stood_still(pauses):
    now = 0
    clock = LookClock(now)
    for pause in pauses:
        now += pause
        assert clock.stood_still(now) == (pause > LOOK_INTERVAL + STALL_TIME)
