"""The fault soak: some seeds in short, and what its oracle finds in records that break a rule on purpose."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cartweir.soak import run
from cartweir.soak.appliance import ApplianceMake
from cartweir.soak.clients import ANSWERED, ENDED, ISSUE, LEFT, ORDER, SILENT, VIEW, RequestRecord
from cartweir.soak.flaws import Flaw
from cartweir.soak.hostile_plan import CROWDS, FLOODS, Attack
from cartweir.soak.plan import ProcessPlan
from cartweir.soak.platform import DOWN, UP, Listing, StageTold, Told
from cartweir.soak.records import Answer, Attempt, ServerRecords
from cartweir.soak.rules import MEGABYTE, AgentLife, Evidence, check_all, check_keys
from cartweir.soak.run import play
from cartweir.soak.schedule import (
    HOSTILE_CROWD,
    LOSE_ANSWERS,
    RELEASE,
    SECOND,
    STALL_AGENTS,
    WEIGHTS,
    Action,
    Deployment,
    Schedule,
    draw_schedule,
)

MS = 1000
SECONDS = 10.0
DEPLOYMENT = Deployment(drain_grace=SECOND, cold_share=0.1, warm_time=10 * SECOND)


@pytest.mark.parametrize("seed", [2, 3, 8, 11])
def test_a_short_soak_keeps_all_rules(tmp_path, seed):
    result = play(draw_schedule(seed, SECONDS), tmp_path)
    assert result.breaches == [], result.text()
    assert result.processes >= 10 and result.endings.get("answered 200", 0) > 100, result.text()


HALF_CROWD = Action(1.0, HOSTILE_CROWD, (0,), 3.0, 300, Attack.HALF_REQUESTS)
TINY_CROWD = Action(1.0, HOSTILE_CROWD, (0,), 3.0, 300, Attack.TINY_CHUNKS)
RELEASED = Action(0.2, RELEASE)
LOST_ANSWERS = Action(1.5, LOSE_ANSWERS, range(12), 4.0)
STALLS = Action(1.0, STALL_AGENTS, (0,), 4.0)
FLAWS = {  # what a run needs to find each: actions, clients that leave, and a word of the breach
    Flaw.FORGOTTEN_IDS: ((), 0.5, "rule 2"),
    Flaw.UNLIMITED_MEMORY: ((HALF_CROWD,), 0.0, "KB of 40 MB"),
    Flaw.UNNOTICED_CLOSE: ((STALLS,), 0.5, "after it was left"),
    Flaw.UNLIMITED_CHUNKS: ((TINY_CROWD,), 0.0, "rule 1"),
    Flaw.FREE_OUTSTANDING_KEYS: ((RELEASED, LOST_ANSWERS), 0.0, "rule 5"),
}


@pytest.mark.parametrize("flaw", FLAWS)
def test_a_run_finds_a_flaw_that_is_put_into_an_agent_on_purpose(tmp_path, monkeypatch, flaw):
    monkeypatch.setattr(run, "STALL_TIME", 0.4)  # in which clients leave much unread
    actions, leaving, sign = FLAWS[flaw]
    deployment = Deployment(agents=1, servers=3, load=0.5, mean_work=20_000, memory_mb=40, sockets=1024)
    for folder, plans in (("flawed", [ProcessPlan(1, flaw=flaw)]), ("sound", ())):
        result = play(Schedule(1, 6.0, deployment, actions, plans, leaving), tmp_path / folder)
        found = [breach for breach in result.breaches if sign in str(breach)]
        assert bool(found) == (folder == "flawed"), result.text()


def test_a_seed_draws_the_same_run_each_time_and_all_kinds_of_faults_come():
    assert draw_schedule(7, 15.0) == draw_schedule(7, 15.0) != draw_schedule(8, 15.0)
    runs = [draw_schedule(seed, 15.0) for seed in range(60)]
    assert {action.kind for run in runs for action in run.actions} == set(WEIGHTS)
    calls = {(fault.call, fault.error) for run in runs for plan in run.plans for fault in plan.calls}
    attacks = {action.attack for run in runs for action in run.actions} - {None}
    assert attacks == {*CROWDS, *FLOODS}
    assert len(calls) >= 20 and any(plan.steps for run in runs for plan in run.plans)


# ---- the oracle ----
def request(request_id: str, operation: str = VIEW, at: int = SECOND, **more) -> RequestRecord:
    fields = {"time_limit": SECOND, "ending": ANSWERED, "ended_at": at + 50 * MS, "status": 200, **more}
    return RequestRecord(
        request_id, 1, 0, operation, written_at=at, reused=False, **{"body": request_id.encode(), **fields}
    )


def attempt(request_id: str, at: int, server: str = "s0", timeout: int = 100 * MS) -> Attempt:
    return Attempt(at, server, request_id, 1, timeout, "")


def listing(version: int, status: str = "up", at: int = 0, started_at: int = 0) -> Listing:
    return Listing(version, "s0", 1, "a", status, 1 if started_at else 0, started_at, 2, at)


def evidence(requests=(), attempts=(), listings=(), told=(), **more) -> Evidence:
    """Returns the records of a run with one server and one agent.

    more: stages, modes, read, or of its process.
    """
    stages, modes = more.pop("stages", ()), more.pop("modes", ((0, UP),))
    read = more.pop("read", {each.id: each.written_at for each in requests})
    make = ApplianceMake("s0", 1, 2, 2, 40, 40 * MS, 0.1, 10 * SECOND, SECOND, 1)
    return Evidence(
        DEPLOYMENT,
        {"s0": make},
        requests,
        ServerRecords(sorted(attempts, key=lambda each: each.at)),
        read,
        listings or [listing(1)],
        told,
        modes,
        stages,
        (1.0, 4 * SECOND),
        [AgentLife(1, 0, 0, 1, **more)],
    )


def rules(found: Evidence) -> list[int]:
    return [breach.rule for breach in check_all(found)]


def test_the_oracle_accepts_what_is_allowed():
    assert rules(evidence([request("r")], [attempt("r", SECOND + 10 * MS)])) == []
    gone = request("r", ending=ENDED, status=0)
    assert rules(evidence([gone], killed_at=SECOND + 50 * MS)) == []
    limits = {"peak_memory": DEPLOYMENT.memory_mb * MEGABYTE, "peak_descriptors": DEPLOYMENT.sockets}
    assert rules(evidence(**limits)) == []
    unread = request("r", ending=SILENT, status=0)
    assert rules(evidence([unread], read={}, terminated_at=SECOND)) == []
    left, again = request("r", ORDER, ending=LEFT), request("r", ORDER, at=2 * SECOND, repeated=True)
    assert rules(evidence([left, again], [attempt("r", 2 * SECOND + MS)])) == []
    assert rules(evidence([left, request("r", ORDER, repeated=True, status=409)])) == []


@pytest.mark.parametrize(
    "after,life,one_way,broken",
    [
        (201, 0, True, True),
        (199, 0, True, False),  # it does not count as answered yet
        (201, 1, True, False),  # another process of the agent
        (201, 0, False, False),  # keys may go back
    ],
)
def test_the_oracle_finds_a_key_that_goes_back(after, life, one_way, broken):
    first = request("first", key="k")
    second = request("second", at=SECOND + 60 * MS, key="k", ended_at=SECOND + 400 * MS)
    second.life = life
    found = evidence([first, second])
    found.makes["new"] = replace(found.makes["s0"], name="new", build=3)
    found.servers.attempts += [
        attempt("first", SECOND + 10 * MS, "new"),
        attempt("second", SECOND + (50 + after) * MS),
    ]
    found.servers.answers.append(Answer(SECOND + 50 * MS, "new", "first"))
    found = replace(found, deployment=replace(DEPLOYMENT, one_way=one_way))
    assert [breach.rule for breach in check_keys(found)] == [5] * broken


@pytest.mark.parametrize(
    "found, rule",
    [
        (evidence(exit_code=1), 0),
        (evidence(errors=["invariant_violated"]), 0),
        (evidence(peak_memory=DEPLOYMENT.memory_mb * MEGABYTE + 1), 0),
        (evidence(peak_descriptors=DEPLOYMENT.sockets + 1), 0),
        (evidence([request("r", ending=SILENT, status=0)], read={}), 1),
        (evidence([request("r", ORDER, status=409)]), 1),
        (evidence([request("r", ending=ENDED, status=0)]), 1),
        (evidence([request("r", ended_at=3 * SECOND)]), 1),
        (evidence([request("r", body=b"q")]), 1),
        (evidence([request("r", status=408)]), 1),
        (evidence([request("r", ending=ENDED)], terminated_at=1, killed_at=SECOND), 1),
        (evidence([request("r")], [attempt("r", SECOND + 300 * MS)]), 1),
        (evidence([request("r", ending=LEFT)], [attempt("r", SECOND + 300 * MS)]), 1),
        (evidence([request("r")], [attempt("r", SECOND + 10 * MS, timeout=2 * SECOND)]), 1),
        (evidence([request("r", ISSUE)], [attempt("r", SECOND + n * MS) for n in (1, 2)]), 2),
        (
            evidence(
                [request("r", ISSUE, ending=LEFT), request("r", ISSUE, at=2 * SECOND, repeated=True)],
                [attempt("r", SECOND + MS), attempt("r", 2 * SECOND + MS)],
            ),
            2,
        ),
        (
            evidence(
                [request("r", ORDER, ended_at=4 * SECOND, time_limit=4 * SECOND)],
                [attempt("r", SECOND), attempt("r", SECOND + 2100 * MS)],
            ),
            2,
        ),
        (
            evidence(
                [request("r", at=3 * SECOND)],
                [attempt("r", 3 * SECOND + MS)],
                [listing(1), listing(2, "draining", SECOND)],
                [Told(1, 2, SECOND)],
            ),
            3,
        ),
        (
            evidence(
                [request("r", at=9 * SECOND)],
                [attempt("r", 9 * SECOND + MS)],
                [listing(1), listing(2, "draining", SECOND)],  # written to nobody, announced after 6 s
            ),
            3,
        ),
        (
            evidence(
                [request(f"r{n}") for n in range(40)],
                [attempt(f"r{n}", SECOND + n * MS) for n in range(40)],
                [listing(1), listing(2, at=SECOND, started_at=SECOND - 1)],
                [Told(1, 2, SECOND - 1)],
            ),
            4,
        ),
        (
            evidence(
                [request(f"r{n}") for n in range(10)],
                [attempt(f"r{n}", SECOND + n * MS) for n in range(10)],
                stages=[(1, StageTold(0, 2, 0, "testing", 0.1), 0)],
            ),
            5,
        ),
    ],
)
def test_the_oracle_finds_a_rule_that_is_broken_on_purpose(found, rule):
    assert set(rules(found)) == {rule}


@pytest.mark.parametrize(
    "after,modes,found",
    [
        (5_190, ((0, UP),), []),
        (5_210, ((0, UP),), [3]),
        (5_210, ((0, UP), (SECOND, DOWN), (2 * SECOND, UP)), []),
    ],
)
def test_a_drain_counts_as_announced_4_s_after_sighup(after, modes, found):
    """With 0.15 s for a process that is stopped, the grace of 1 s and 0.05 s on sockets."""
    listings = [listing(1), listing(2, "draining", SECOND)]
    sent = attempt("r", 500 * MS + after * MS)
    asked = request("r", at=sent.at - 10 * MS)
    assert rules(evidence([asked], [sent], listings, modes=modes, hung_up_at=[500 * MS])) == found


def test_a_drain_that_could_not_be_announced_is_no_breach():
    """Discovery was down until after the request, and wrote nothing."""
    found = evidence(
        [request("r", at=9 * SECOND)],
        [attempt("r", 9 * SECOND + MS)],
        [listing(1), listing(2, "draining", SECOND)],
        modes=((0, UP), (SECOND // 2, DOWN)),
    )
    assert rules(found) == []
