"""Decisions around restarts: admission, list filter, key journal, recovery time and leader contact."""

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

SECOND = 1_000_000


# ---- admission ----
def test_clients_that_arrive_at_once_are_admitted_at_the_rate_and_told_distinct_times_to_retry():
    admission = AdmissionControl(rate=100, burst=10, queue=20, longest_retry=60 * SECOND)
    decisions = [admission.decide(SECOND) for _ in range(1000)]
    waits = [decision.wait for decision in decisions if decision.wait is not None]
    assert waits[:10] == [0] * 10 and len(waits) == 30 and max(waits) <= 20 * SECOND // 100
    retry_times = [decision.retry_after for decision in decisions if decision.wait is None]
    assert retry_times == sorted(retry_times)
    assert min(later - earlier for earlier, later in pairwise(retry_times)) >= SECOND // 100 - 1
    # clients that comply are all admitted when they retry
    for retry_after in retry_times:
        assert admission.decide(SECOND + retry_after).wait is not None


def test_clients_that_ignore_the_time_to_retry_are_admitted_at_the_rate_only():
    admission = AdmissionControl(rate=50, burst=5, queue=10, longest_retry=2 * SECOND)
    rng, admitted = random.Random(1), []
    for now in range(0, 10 * SECOND, 500):
        if rng.random() < 0.9 and (decision := admission.decide(now)).wait is not None:
            admitted.append(now + decision.wait)
    assert len(admitted) <= 5 + 50 * 10 + 11
    for first in range(len(admitted) - 60):
        # the burst happens once, at the start
        assert admitted[first + 60] - admitted[first] >= SECOND - SECOND // 5


def test_the_time_to_retry_has_an_upper_limit():
    admission = AdmissionControl(rate=1, burst=1, queue=0, longest_retry=3 * SECOND)
    assert max(admission.decide(0).retry_after for _ in range(50)) <= 3 * SECOND


@pytest.mark.parametrize("limits", [(0, 1, 1, 1), (1, 0, 1, 1), (1, 1, -1, 1), (1, 1, 1, 0)])
def test_limits_out_of_range_are_rejected(limits):
    with pytest.raises(ValueError, match="expected a rate above 0"):
        AdmissionControl(*limits)


# ---- lists ----
NAMES = [f"a{n}" for n in range(10)]


def test_an_older_list_is_not_followed_and_one_of_a_later_incarnation_is():
    lists = ListFilter(0.5, 10 * SECOND)
    assert lists.on_full_list(0, ListVersion(100, 7), NAMES, []).follow
    assert not lists.on_full_list(
        1, ListVersion(100, 6), NAMES, NAMES
    ).follow  # the registry lags, or is an older copy
    assert not lists.on_changes(ListVersion(90, 50), ["a0"]).follow  # of an earlier incarnation
    assert not lists.on_full_list(
        1, ListVersion(0, 99), NAMES, NAMES
    ).follow  # without an incarnation, after lists that had one
    assert lists.on_full_list(2, ListVersion(100, 7), NAMES, NAMES).follow  # the same list again
    assert lists.on_full_list(
        3, ListVersion(200, 1), NAMES, NAMES
    ).follow  # a new incarnation numbers its versions from the start


def test_a_restarted_agent_knows_the_version_seen_before():
    assert (
        not ListFilter(0.5, SECOND, seen=ListVersion(100, 7))
        .on_full_list(0, ListVersion(100, 6), NAMES, [])
        .follow
    )


@pytest.mark.parametrize("left, kept", [(0, 10), (4, 6), (5, 0), (9, 0)])
def test_a_list_that_drops_many_servers_at_once_drops_none_until_the_hold_time(left, kept):
    lists = ListFilter(0.5, 10 * SECOND, seen=ListVersion(100, 7))
    decision = lists.on_full_list(SECOND, ListVersion(200, 1), NAMES[:left], NAMES)
    assert decision.follow and len(decision.retained) == kept
    assert lists.next_expiry(SECOND) == (10 * SECOND if kept else 0)
    assert lists.take_expired(11 * SECOND - 1) == [] and len(lists.take_expired(11 * SECOND)) == kept


def test_new_servers_do_not_hide_that_all_servers_in_use_are_dropped():
    lists = ListFilter(0.5, 10 * SECOND, seen=ListVersion(100, 7))
    assert lists.on_full_list(
        SECOND, ListVersion(200, 1), [f"b{n}" for n in range(30)], NAMES
    ).retained == tuple(NAMES)


def test_a_retained_server_is_dropped_once_the_registry_knows_it_or_its_time_is_over():
    lists = ListFilter(0.5, 10 * SECOND, seen=ListVersion(100, 7))
    lists.on_full_list(0, ListVersion(200, 1), [], NAMES)
    assert lists.on_changes(ListVersion(200, 2), ["a0", "a1"]).follow
    # the next full list lacks few of the servers in use: those retained stay so until their time, no longer
    later = lists.on_full_list(2 * SECOND, ListVersion(200, 9), NAMES[:7], NAMES)
    assert later.retained == tuple(NAMES[7:]) and lists.next_expiry(2 * SECOND) == 8 * SECOND
    assert sorted(lists.take_expired(10 * SECOND)) == NAMES[7:] and lists.next_expiry(10 * SECOND) == 0


def test_a_registry_without_incarnations_is_followed():
    lists = ListFilter(0.5, 10 * SECOND)
    assert lists.on_full_list(0, ListVersion(0, 9), NAMES, []).follow
    assert lists.on_full_list(1, ListVersion(0, 1), NAMES[:2], NAMES).retained == tuple(NAMES[2:])


# ---- key journal ----
HEADER = JournalHeader("agent 1 of 3, view", "boot", FencingToken(4, 20))
KEYS = {f"key{n}": 2 + n % 2 for n in range(5)}
JOURNAL = encode_journal(HEADER, KEYS.items())


def recover(data, owner=HEADER.owner, boot="boot", followed=HEADER.token):
    return read_journal(data, owner, boot, followed)


def test_recorded_keys_are_recovered_and_the_exposure_window_counts_as_spent():
    found = recover(JOURNAL)
    assert found.bound == KEYS and found.forgot is None and found.spent
    # the agent has never run here
    assert recover(None, followed=FencingToken(0, 0)) == type(found)({}, None, False)


def test_a_journal_truncated_at_any_byte_is_known_to_be_incomplete():
    for size in range(len(JOURNAL)):
        found = recover(JOURNAL[:size])
        assert found.forgot and found.spent and not found.bound


def test_every_corrupt_byte_of_a_journal_is_found():
    for offset in range(len(JOURNAL)):
        corrupt = bytearray(JOURNAL)
        corrupt[offset] ^= 0x41
        found = recover(bytes(corrupt))
        assert found.forgot, f"byte {offset}"


def test_an_incomplete_record_after_the_counted_ones_is_ignored():
    record = encode_record(["late", 3])
    for size in range(len(record)):
        assert recover(JOURNAL + record[:size]).bound == KEYS
    assert recover(JOURNAL + record).bound == {**KEYS, "late": 3}  # written, but not yet counted


def test_missing_keys_are_reported_until_a_decision_on_a_later_build():
    left_out = encode_journal(JournalHeader(HEADER.owner, "boot", FencingToken(4, 20), 3), KEYS.items())
    # some may be bound to build 3
    assert (
        "missing"
        in recover(left_out + encode_decision(FencingToken(4, 25), 3), followed=FencingToken(4, 25)).forgot
    )
    assert (
        recover(left_out + encode_decision(FencingToken(5, 30), 4), followed=FencingToken(5, 30)).forgot
        is None
    )


def test_a_later_decision_releases_the_keys_of_older_builds():
    journal = JOURNAL + encode_decision(FencingToken(4, 25), 3)
    assert (
        recover(journal, followed=FencingToken(4, 25)).bound
        == {key: build for key, build in KEYS.items() if build == 3}
        and recover(journal, followed=FencingToken(4, 25)).forgot is None
    )
    assert "older than" in recover(JOURNAL, followed=FencingToken(4, 25)).forgot


@pytest.mark.parametrize(
    "other, why",
    [
        ({"owner": "agent 2 of 3, view"}, "this is agent 2 of 3"),
        ({"boot": "another"}, "went down"),
        ({"followed": FencingToken(4, 21)}, "older than the decision"),
        ({"followed": FencingToken(5, 1)}, "older than the decision"),
    ],
)
def test_a_journal_of_another_agent_or_boot_or_an_older_copy_is_known_to_be_incomplete(other, why):
    assert why in recover(JOURNAL, **other).forgot


def test_a_missing_journal_is_noticed_by_the_decision_followed_before():
    assert "no file" in recover(None).forgot and recover(b"cartweir facts 9\n" + JOURNAL[17:]).forgot
    assert (
        "missing"
        in recover(
            encode_journal(JournalHeader(HEADER.owner, "boot", FencingToken(4, 20), 3), KEYS.items())
        ).forgot
    )


# ---- recovery time ----
def calls(rows):
    return [CompletedCall(began, took, good) for began, took, good in rows]


def test_recovery_is_measured_from_the_fault_by_success_share_and_99th_percentile():
    usual = [(t * 10_000, 50_000, True) for t in range(1000)]  # 10 s
    failing = [(10 * SECOND + t * 10_000, 100_000, False) for t in range(120)]  # 1.2 s
    slow = [(11_200_000 + t * 10_000, 200_000, True) for t in range(80)]  # 0.8 s: answered, but slow
    recovered = [(12 * SECOND + t * 10_000, 60_000, True) for t in range(500)]
    assert recovery_time(calls(usual + failing + slow + recovered), 10 * SECOND, 10 * SECOND) == 2 * SECOND
    # service does not recover
    assert recovery_time(calls(usual + failing + slow), 10 * SECOND, 10 * SECOND) is None
    # no calls before the fault to compare with
    assert recovery_time(calls(failing + recovered), 10 * SECOND, 10 * SECOND) is None


def test_one_failure_in_fifty_calls_is_not_recovered():
    usual = [(t * 10_000, 50_000, True) for t in range(1000)]
    mixed = [(10 * SECOND + t * 10_000, 50_000, t % 50 != 0) for t in range(600)]
    assert recovery_time(calls(usual + mixed), 10 * SECOND, 10 * SECOND) is None


def test_the_peak_counts_the_busiest_second_wherever_it_begins():
    assert peak_count([0, 400_000, 900_000, 1_100_000, 1_300_000, 3_000_000]) == 4 and peak_count([]) == 0


# ---- the whole fleet, simulated ----
def test_a_herd_gets_its_lists_in_linear_time_and_two_defences_contribute():
    """Full lists of 3 ms each: without admission most of 10,000 agents have timed out by their answer."""

    def run(agents, *disabled, **more):
        return run_herd(1, HerdConfig(agents=agents, known_share=0.0, disabled=disabled, **more))

    small, large = run(1_000).completion_time(1.0, 1_000), run(10_000).completion_time(1.0, 10_000)
    assert large < 11 * small and large < 20 * SECOND
    without_admission = run(10_000, "admission", seconds=60.0)
    assert without_admission.wasted_time > 0.3 * without_admission.busy_time
    assert run(10_000).wasted_time == 0
    assert run(10_000, "advice").peak_requests > 2 * run(10_000).peak_requests


def test_an_unknown_defence_is_rejected():
    with pytest.raises(ValueError, match="no defence luck: expected some of"):
        run_herd(1, HerdConfig(disabled=("luck",)))


# ---- leader contact ----
def has_contact(*updates, tolerance=3_000, is_leader=False, silent_since=None, now):
    """Whether there is contact after these updates: (time, leader, when it was heard)."""
    contact = LeaderContact(tolerance)
    for at, leader, heard_at in updates:
        contact.update(False, leader, heard_at, at)
    return contact.exists(is_leader, silent_since, now)


def test_contact_lasts_through_an_election_and_no_longer():
    before = [(100, "b", 90), (200, None, 90)]  # b is no longer heard, another leader is being elected
    assert (
        has_contact(*before, now=210)
        and has_contact(*before, now=3_089)
        and not has_contact(*before, now=3_090)
    )
    assert has_contact(*before, (3_000, "c", 2_990), now=5_000)
    # a started member knows no leader, whatever its clock shows
    assert not has_contact(now=10) and not has_contact((5, None, -600), now=10)
    assert has_contact(now=10, is_leader=True)


def test_a_leader_that_is_heard_and_does_not_answer_gives_no_contact():
    updates = [(at, "b", at) for at in range(0, 9_000, 100)]
    assert has_contact(*updates, now=9_000) and has_contact(*updates, silent_since=6_001, now=9_000)
    assert not has_contact(*updates, silent_since=6_000, now=9_000)
    assert has_contact(*updates, silent_since=6_000, is_leader=True, now=9_000)
