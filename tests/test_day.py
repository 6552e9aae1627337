"""The bad day in short, by real processes; and what becomes of a bench day file."""

import asyncio
import json

import pytest

from cartweir.faults.consistency_check import check_consistency
from cartweir.faults.controller_day import ControllerDay
from cartweir.faults.fault_day import FaultDay
from cartweir.settings.ini import BadInputError, read_agent
from cartweir.standin.day import Day
from cartweir.standin.replay import Replay


def test_a_short_bad_day_keeps_the_rules(tmp_path):
    said = []
    report = asyncio.run(Day(tmp_path, 4, 12.0, said.append, rate=60.0).run())
    assert report.breaches == [], report.text()
    assert report.lives == 4  # three agents, and the second life of one
    assert {operation for operation, _ in report.table} == {"parcel-view", "extract-order", "extract-issue"}
    counts = list(report.table.values())
    assert sum(c["succeeded"] for c in counts) > 0.7 * sum(c["taken"] for c in counts) > 300
    assert any("is killed" in line for line in said) and any("build 3" in line for line in said)


# A day in the shape of the bench's files, with figures of our own.
DAY = {
    "length": 20_000_000,
    "zones": ["a", "b"],
    "drain_grace": 1_000_000,
    "fall_multiple": 3.0,
    "fall_for": 1_000_000,
    "traffic": {"load": 0.4, "keys": 50},
    "clients": {"retries": 1, "try_share": 0.5},
    "discovery": {"ask": True, "add": 300_000},
    "allow": {"probes": True, "cancel": True, "second_copies": False, "retry_after": True, "max_attempts": 3},
    "classes": [
        {
            "name": "draw",
            "share": 3,
            "work": 50_000.0,
            "aim": 500_000,
            "deadline": 2_000_000,
            "worth": 1.0,
            "effect": "safe",
            "group": "all",
            "window": 5_000_000,
        },
        {
            "name": "order",
            "share": 1,
            "work": 50_000.0,
            "aim": 500_000,
            "deadline": 2_000_000,
            "worth": 2.0,
            "effect": "keyed",
            "group": "zone",
            "window": 1_000_000,
        },
    ],
    "tiers": [
        {"kinds": [{"cores": 2, "queue": 20, "cold_from": 0.4, "cold": 3_000_000}], "report_how": "none"}
    ],
    "servers": [{"tier": 0, "up": n < 6, "speed": 1.0} for n in range(9)],
    "balancers": [{}, {}],
    "fam": {
        "control": "share",
        "beside": True,
        "stages": [0.2, 1.0],
        "caps": [0.3, 1.0],
        "window": 3_000_000,
        "free": 1.0,
        "by_class": False,
        "guarded": 0,
        "one_way": False,
        "votes": [0.5, 0.0, 0.2],
        "vote_life": 5_000_000,
        "calls_per_s": 100.0,
        "boot": 900_000.0,
        "flag_share": 0.0,
        "call_timeout": 900_000,
        "releases": [{"at": 4_000_000, "bad": "errors", "class": 0, "speed": 1.0, "strength": 0.5}],
    },
    "troubles": [
        {"kind": "pauses", "at": 1e6, "len": 4e6, "size": 300.0, "extra": 2.0, "on": [0, 8], "steps": []},
        {
            "kind": "balancer_roll",
            "at": 2e6,
            "len": 4e6,
            "size": 0.5,
            "extra": 0.6,
            "on": [],
            "steps": [{"at": 2e6, "stop": [1], "start": []}],
        },
        {"kind": "probe_fail", "at": 3e6, "len": 2e6, "size": 0.8, "extra": 0, "on": [2], "steps": []},
        {"kind": "zone_cut", "at": 3e6, "len": 2e6, "size": 0, "extra": 0, "on": [], "steps": []},
    ],
}


def test_a_bench_day_becomes_settings_and_steps(tmp_path):
    file = tmp_path / "day.json"
    file.write_text(json.dumps(DAY))
    replay = Replay(file, tmp_path, 1, print, machines=4)
    text = replay.settings_text(
        me=1, zone="a", seed=1, folder=tmp_path, registry="127.0.0.1:9", conveyor="127.0.0.1:9"
    )
    (tmp_path / "agent1.ini").write_text(text)
    document = read_agent(tmp_path / "agent1.ini")
    assert (
        document.decision_settings()["must_ask"]
        and document.release.on_votes == 1
        and document.operations["order"].window == 1_000_000
    )
    assert replay.rate == pytest.approx(0.4 * 4 * 2 / 0.05)
    steps = sorted((round(step.at * 20, 1), step.what) for step in replay.script())
    assert steps == [
        (1.0, "pauses of 300 ms on 1"),
        (2.0, "agent 1 stops for 0.6 s"),
        (3.0, "pauses of 300 ms on 1"),
        (3.0, "probe_fail begins: 0.80 on 1"),
        (
            4.0,
            "build 2 is offered: Quality(slow=1.0, errors=0.22000000000000003, wrong=0.0, operation='', "
            "busy=0.0, late=0)",
        ),
        (5.0, "probe_fail ends"),
    ]
    assert replay.left_out == ["zone_cut"]


@pytest.mark.parametrize("text", ["nothing", "{}", '{"servers": []}', "[1]"])
def test_what_is_no_day_file_is_told(tmp_path, text):
    file = tmp_path / "day.json"
    file.write_text(text)
    with pytest.raises(BadInputError) as error:
        Replay(file, tmp_path, 1, print)
    assert "no day file" in str(error.value) and "is due" in str(error.value)


def test_a_short_bad_day_on_three_controllers_keeps_the_rules(tmp_path):
    """The release's owner is killed, stopped and cut off; the audit judges the agents by their sockets."""
    said = []
    day = ControllerDay(tmp_path, 4, 14.0, said.append, rate=60.0)
    report = asyncio.run(day.run())
    assert report.breaches == [], report.text()
    assert (
        not day.consistency_report.breaches
        and day.consistency_report.effects > 0
        and day.consistency_report.owners >= 2
    ), day.consistency_report.text()
    assert sum("fault who controller" in line for line in said) == 3
    rows = [json.loads(line) for line in (tmp_path / "receivers.jsonl").read_text().splitlines()]
    taken = [(row["epoch"], row["index"]) for row in rows if row["taken"]]
    assert taken == sorted(taken) and len({epoch for epoch, _ in taken}) > 1
    counts = report.table.values()
    assert sum(c["succeeded"] for c in counts) > 0.7 * sum(c["taken"] for c in counts) > 300


def test_real_agents_keep_the_rules_under_whatever_the_rig_draws(tmp_path):
    day = FaultDay(tmp_path, 3, 18.0, lambda line: None, agents=2, rate=40.0)
    report = asyncio.run(day.run())
    assert report.breaches == [], report.text()
    assert not day.consistency_report.breaches and day.consistency_report.effects > 0, (
        day.consistency_report.text()
    )
    assert (
        sum(day.rig.fault_counts.values()) >= 8 and sum(c["succeeded"] for c in report.table.values()) > 200
    )
    # the verdict on what agents followed: the same rows, one of them told again behind a later one
    rows = day.followed_stages()
    assert len({(row["epoch"], row["index"]) for row in rows if row["agent"] == 0}) > 1
    first = next(row for row in rows if row["agent"] == 0)
    again = check_consistency(
        list(day.rig.documents.values()), tmp_path / "receivers.jsonl", [*rows, first], []
    )
    assert any("agent 0: followed" in breach for breach in again.breaches)
