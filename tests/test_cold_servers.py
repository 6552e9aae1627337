"""Rule 4 between real processes: no cold server gets more than its budget from the sum of all agents.

Each failure of report 45f740 has its test, named after it. What counts is what the servers received.
"""

from __future__ import annotations

import pytest

from cartweir.soak.plan import ClockStep, ProcessPlan
from cartweir.soak.result import Result
from cartweir.soak.run import play
from cartweir.soak.schedule import (
    ADD_SERVERS,
    KILL_AGENTS,
    RESTART_SERVERS,
    SECOND,
    Action,
    Deployment,
    Schedule,
)

AGENTS = 20
HOUR = 3600.0
FEW_LARGE_SERVERS = Deployment(
    agents=AGENTS,
    servers=4,
    load=0.7,
    mean_work=15_000,
    cold_share=0.01,
    warm_time=120 * SECOND,
    listed_after=0.3,
    one_way=False,
)
MANY_COLD_SERVERS = Deployment(
    agents=8,
    servers=8,
    load=0.9,
    mean_work=15_000,
    warm_time=12 * SECOND,
    listed_after=0.3,
    one_way=False,
)


def broken(result: Result) -> list[str]:
    """Returns the breaches of rule 4, and whatever kept the run from being one."""
    assert result.starts and result.endings["answered 200"] > 1000, result.text()
    return [str(breach) for breach in result.breaches if breach.rule in (0, 4)]


def play_stepped(folder, step, *actions):
    plans = [ProcessPlan(number, (ClockStep(SECOND, step),)) for number in range(AGENTS)]
    return play(Schedule(1, 8.0, FEW_LARGE_SERVERS, actions, plans), folder)


@pytest.mark.parametrize("step", [HOUR, -HOUR, 6.0], ids=["forward", "back", "by-seconds"])
def test_a_wall_clock_that_is_stepped_makes_no_cold_server_look_warm(tmp_path, step):
    assert broken(play_stepped(tmp_path, step, Action(2.0, ADD_SERVERS, (1,)))) == []


def test_agents_that_start_after_a_clock_step_know_a_cold_server(tmp_path):
    restart = Action(2.95, KILL_AGENTS, tuple(range(AGENTS)))
    assert broken(play_stepped(tmp_path, HOUR, Action(2.0, ADD_SERVERS, (1,)), restart)) == []


def test_a_cold_server_gets_no_part_of_those_that_are_down(tmp_path):
    """Fifteen of sixteen new servers crash and stay listed; the last one has its own part alone."""
    names = sorted(f"s{number}" for number in range(24))  # as actions count them
    new = [place for place, name in enumerate(names) if int(name[1:]) >= MANY_COLD_SERVERS.servers]
    actions = [
        *(Action(2.0, ADD_SERVERS, tuple(range(4))) for _ in range(4)),
        Action(3.2, RESTART_SERVERS, tuple(new[:15]), 7.0),
    ]
    assert broken(play(Schedule(1, 10.0, MANY_COLD_SERVERS, actions), tmp_path)) == []
