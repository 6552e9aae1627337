"""Decisions after a restart: admission, which list is followed, what a journal of keys is worth."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest

from cartweir.fleet.admission import AdmissionControl
from cartweir.fleet.fencing import FencingToken
from cartweir.fleet.key_journal import (
    JournalHeader,
    encode_decision,
    encode_journal,
    encode_record,
    read_journal,
)
from cartweir.fleet.leader_contact import LeaderContact
from cartweir.fleet.list_filter import ListFilter, ListVersion
from cartweir.fleet.recovery import CompletedCall, peak_count, recovery_time
from cartweir.model.thundering_herd import HerdConfig, run_herd

S = 1_000_000


# ---- admission ----
def test_a_crowd_is_dealt_with_at_the_rate_and_told_moments_of_its_own():
    door = AdmissionControl(rate=100, burst=10, queue=20, longest_retry=60 * S)
    verdicts = [door.decide(S) for _ in range(1000)]
    waits = [v.wait for v in verdicts if v.wait is not None]
    assert waits[:10] == [0] * 10 and len(waits) == 30 and max(waits) <= 20 * S // 100
    advice = [v.retry_after for v in verdicts if v.wait is None]
    assert advice == sorted(advice) and min(b - a for a, b in pairwise(advice)) >= S // 100 - 1
    # all heed: each is let in as it comes, none is told again
    for at in advice:
        assert door.decide(S + at).wait is not None


def test_a_crowd_that_heeds_nothing_gets_no_more_than_the_rate():
    door, chance, taken = (
        AdmissionControl(rate=50, burst=5, queue=10, longest_retry=2 * S),
        random.Random(1),
        [],
    )
    for now in range(0, 10 * S, 500):
        if chance.random() < 0.9 and (verdict := door.decide(now)).wait is not None:
            taken.append(now + verdict.wait)
    assert len(taken) <= 5 + 50 * 10 + 11
    for first in range(len(taken) - 60):
        assert taken[first + 60] - taken[first] >= S - S // 5  # the burst once, at the start


def test_advice_is_never_longer_than_the_longest():
    door = AdmissionControl(rate=1, burst=1, queue=0, longest_retry=3 * S)
    assert max(door.decide(0).retry_after for _ in range(50)) <= 3 * S


@pytest.mark.parametrize("wrong", [(0, 1, 1, 1), (1, 0, 1, 1), (1, 1, -1, 1), (1, 1, 1, 0)])
def test_admission_says_what_is_due(wrong):
    with pytest.raises(ValueError, match="are due"):
        AdmissionControl(*wrong)


# ---- lists ----
NAMES = [f"a{n}" for n in range(10)]


def test_an_older_list_is_not_followed_and_a_later_life_is():
    lists = ListFilter(0.5, 10 * S)
    assert lists.on_full_list(0, ListVersion(100, 7), NAMES, []).follow
    assert not lists.on_full_list(1, ListVersion(100, 6), NAMES, NAMES).follow  # lags, or an older copy
    assert not lists.on_changes(ListVersion(90, 50), ["a0"]).follow  # a life before
    assert not lists.on_full_list(1, ListVersion(0, 99), NAMES, NAMES).follow  # none told, though lives were
    assert lists.on_full_list(2, ListVersion(100, 7), NAMES, NAMES).follow  # the same once more
    assert lists.on_full_list(
        3, ListVersion(200, 1), NAMES, NAMES
    ).follow  # begun anew: its versions count from the start


def test_a_restart_knows_what_was_seen_before_it():
    assert (
        not ListFilter(0.5, S, seen=ListVersion(100, 7))
        .on_full_list(0, ListVersion(100, 6), NAMES, [])
        .follow
    )


@pytest.mark.parametrize("left, kept", [(0, 10), (4, 6), (5, 0), (9, 0)])
def test_a_list_that_drops_many_at_once_drops_none_yet(left, kept):
    lists = ListFilter(0.5, 10 * S, seen=ListVersion(100, 7))
    ruling = lists.on_full_list(S, ListVersion(200, 1), NAMES[:left], NAMES)
    assert ruling.follow and len(ruling.retained) == kept
    assert lists.next_expiry(S) == (10 * S if kept else 0)
    assert lists.take_expired(11 * S - 1) == [] and len(lists.take_expired(11 * S)) == kept


def test_other_names_do_not_hide_that_all_in_use_are_dropped():
    lists = ListFilter(0.5, 10 * S, seen=ListVersion(100, 7))
    assert lists.on_full_list(S, ListVersion(200, 1), [f"b{n}" for n in range(30)], NAMES).retained == tuple(
        NAMES
    )


def test_what_is_held_goes_when_it_is_known_to_be_gone_and_is_let_go_once():
    lists = ListFilter(0.5, 10 * S, seen=ListVersion(100, 7))
    lists.on_full_list(0, ListVersion(200, 1), [], NAMES)
    assert lists.on_changes(ListVersion(200, 2), ["a0", "a1"]).follow
    # the next whole list misses few of those in use: what is held stays held until its time, and no longer
    later = lists.on_full_list(2 * S, ListVersion(200, 9), NAMES[:7], NAMES)
    assert later.retained == tuple(NAMES[7:]) and lists.next_expiry(2 * S) == 8 * S
    assert sorted(lists.take_expired(10 * S)) == NAMES[7:] and lists.next_expiry(10 * S) == 0


def test_a_registry_that_tells_no_lives_is_followed_as_it_says():
    lists = ListFilter(0.5, 10 * S)
    assert lists.on_full_list(0, ListVersion(0, 9), NAMES, []).follow
    assert lists.on_full_list(1, ListVersion(0, 1), NAMES[:2], NAMES).retained == tuple(NAMES[2:])


# ---- facts ----
HEAD = JournalHeader("agent 1 of 3, view", "boot", FencingToken(4, 20))
KEYS = {f"key{n}": 2 + n % 2 for n in range(5)}
FILE = encode_journal(HEAD, KEYS.items())


def told(data, **other):
    given = {"owner": HEAD.owner, "boot": "boot", "followed": FencingToken(4, 20), **other}
    return read_journal(data, given["owner"], given["boot"], given["followed"])


def test_what_was_kept_is_recalled_and_the_window_counts_as_spent():
    found = told(FILE)
    assert found.bound == KEYS and found.forgot is None and found.spent
    assert told(None, followed=FencingToken(0, 0)) == type(found)({}, None, False)  # it never ran here


def test_cut_at_every_byte_it_is_known_to_lack_something():
    for size in range(len(FILE)):
        found = told(FILE[:size])
        assert found.forgot and found.spent and not found.bound


def test_every_garbled_byte_of_a_record_is_found():
    for at in range(len(FILE)):
        spoilt = bytearray(FILE)
        spoilt[at] ^= 0x41
        found = told(bytes(spoilt))
        assert found.forgot, f"byte {at}"


def test_a_record_that_is_torn_behind_the_count_never_left():
    row = encode_record(["late", 3])
    for size in range(len(row)):
        assert told(FILE + row[:size]).bound == KEYS
    assert told(FILE + row).bound == {**KEYS, "late": 3}  # written, the count was not


def test_keys_that_were_left_out_count_until_none_of_their_age_is_bound():
    left_out = encode_journal(JournalHeader(HEAD.owner, "boot", FencingToken(4, 20), 3), KEYS.items())
    assert (
        "missing"
        in told(left_out + encode_decision(FencingToken(4, 25), 3), followed=FencingToken(4, 25)).forgot
    )  # some at build 3 stay
    assert (
        told(left_out + encode_decision(FencingToken(5, 30), 4), followed=FencingToken(5, 30)).forgot is None
    )


def test_a_later_decision_ends_what_was_bound_to_older_builds():
    file = FILE + encode_decision(FencingToken(4, 25), 3)
    assert (
        told(file, followed=FencingToken(4, 25)).bound == {k: b for k, b in KEYS.items() if b == 3}
        and told(file, followed=FencingToken(4, 25)).forgot is None
    )
    assert "older than" in told(FILE, followed=FencingToken(4, 25)).forgot


@pytest.mark.parametrize(
    "other, why",
    [
        ({"owner": "agent 2 of 3, view"}, "this is agent 2 of 3"),
        ({"boot": "another"}, "went down"),
        ({"followed": FencingToken(4, 21)}, "older than the decision"),
        ({"followed": FencingToken(5, 1)}, "older than the decision"),
    ],
)
def test_what_another_left_or_what_is_older_is_not_all(other, why):
    assert why in told(FILE, **other).forgot


def test_a_lost_file_tells_by_the_decision_that_was_kept():
    assert "no file" in told(None).forgot and told(b"cartweir facts 9\n" + FILE[17:]).forgot
    assert (
        "missing"
        in told(
            encode_journal(JournalHeader(HEAD.owner, "boot", FencingToken(4, 20), 3), KEYS.items())
        ).forgot
    )


# ---- full service ----
def calls(rows):
    return [CompletedCall(began, took, good) for began, took, good in rows]


def test_full_service_is_measured_from_the_fault_by_share_and_tail():
    usual = [(t * 10_000, 50_000, True) for t in range(1000)]  # 10 s
    dead = [(10 * S + t * 10_000, 100_000, False) for t in range(120)]  # 1.2 s
    slow = [(11_200_000 + t * 10_000, 200_000, True) for t in range(80)]  # 0.8 s: answered, late
    fine = [(12 * S + t * 10_000, 60_000, True) for t in range(500)]
    assert recovery_time(calls(usual + dead + slow + fine), 10 * S, 10 * S) == 2 * S
    assert recovery_time(calls(usual + dead + slow), 10 * S, 10 * S) is None  # it did not come
    assert recovery_time(calls(dead + fine), 10 * S, 10 * S) is None  # nothing to hold it beside


def test_one_failure_in_fifty_is_no_full_service_yet():
    usual = [(t * 10_000, 50_000, True) for t in range(1000)]
    mixed = [(10 * S + t * 10_000, 50_000, t % 50 != 0) for t in range(600)]
    assert recovery_time(calls(usual + mixed), 10 * S, 10 * S) is None


def test_peaks_count_the_busiest_second_wherever_it_begins():
    assert peak_count([0, 400_000, 900_000, 1_100_000, 1_300_000, 3_000_000]) == 4 and peak_count([]) == 0


# ---- the whole fleet, simulated ----
def test_a_crowd_is_told_in_linear_time_and_each_defence_that_is_named_buys_something():
    """Full lists of 3 ms each: without admission most of 10,000 agents have timed out by their answer."""

    def played(agents, *off, **more):
        return run_herd(1, HerdConfig(agents=agents, known_share=0.0, disabled=off, **more))

    small, large = played(1_000).completion_time(1.0, 1_000), played(10_000).completion_time(1.0, 10_000)
    assert large < 11 * small and large < 20 * S
    open_door = played(10_000, "admission", seconds=60.0)
    assert open_door.wasted_time > 0.3 * open_door.busy_time
    assert played(10_000).wasted_time == 0
    assert played(10_000, "advice").peak_requests > 2 * played(10_000).peak_requests


def test_no_defence_of_that_name():
    with pytest.raises(ValueError, match="are due"):
        run_herd(1, HerdConfig(disabled=("luck",)))


# ---- a controller to listen at ----
def heard(*turns, quiet=3_000, leads=False, silent_since=None, now):
    """turns: (moment, leader, heard at)."""
    contact = LeaderContact(quiet)
    for at, leader, heard_at in turns:
        contact.update(False, leader, heard_at, at)
    return contact.exists(leads, silent_since, now)


def test_agents_stay_through_an_election_and_no_longer():
    before = [(100, "b", 90), (200, None, 90)]  # b is heard no more, another is being elected
    assert heard(*before, now=210) and heard(*before, now=3_089) and not heard(*before, now=3_090)
    assert heard(*before, (3_000, "c", 2_990), now=5_000)
    assert not heard(now=10) and not heard(
        (5, None, -600), now=10
    )  # a start knows no leader, whatever its clock says
    assert heard(now=10, leads=True)


def test_a_leader_that_is_heard_and_does_not_answer_is_none():
    hears = [(at, "b", at) for at in range(0, 9_000, 100)]
    assert heard(*hears, now=9_000) and heard(*hears, silent_since=6_001, now=9_000)
    assert not heard(*hears, silent_since=6_000, now=9_000)
    assert heard(*hears, silent_since=6_000, leads=True, now=9_000)
