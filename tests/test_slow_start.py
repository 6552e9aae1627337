"""Slow start in one agent: each cold appliance has its own part, whatever becomes of the others."""

from __future__ import annotations

import pytest
from helpers import MS, S, Scene

from cartweir.interface import SUCCEEDED, UNCONNECTED

COLD = [f"c{number}" for number in range(8)]


def dispatches_to(scene: Scene, name: str, until: int) -> int:
    """Plays traffic, in which all cold appliances but one are down, and counts the dispatches at that one."""
    sent = []

    def result(dispatch):
        appliance = dispatch.appliance.id
        sent.append(appliance)
        return UNCONNECTED if appliance in scene.down else SUCCEEDED

    scene.traffic(until, result, every=5 * MS)
    return sent.count(name)


def scene_with_cold(seed: int, down: list[str]) -> Scene:
    scene = Scene(seed, agents=1, warm_time=60 * S, cold_share=0.3, fall_multiple=2.0)
    scene.down = down
    scene.list(*(f"a{number}" for number in range(8)))
    scene.released()
    scene.agent.concurrency_limit = 1000
    scene.traffic(2 * S, every=5 * MS)
    scene.list(*COLD, started=scene.engine.now)
    return scene


@pytest.mark.parametrize("seed", range(4))
def test_a_cold_appliance_gets_no_part_of_those_that_are_down(seed):
    alone = dispatches_to(scene_with_cold(seed, COLD[1:]), COLD[0], 12 * S)
    beside = dispatches_to(scene_with_cold(seed, []), COLD[0], 12 * S)
    assert beside > 20 and beside / 2 < alone < beside * 1.5


def test_all_that_an_invocation_earns_is_even_over_cold_appliances():
    scene = scene_with_cold(1, [])
    slow_start, counts = scene.agent.slow_start, dict.fromkeys(COLD, 0)
    earned = 0.0
    for _ in range(4000):
        scene.agent.succeeded = scene.agent.taken
        slow_start.earn()
        earned += slow_start.rate
        for appliance in slow_start.earned():
            counts[appliance.id] += 1
            slow_start.spend(appliance)
    assert sum(counts.values()) == pytest.approx(earned, rel=0.05)
    assert max(counts.values()) < 1.4 * min(counts.values())


def test_nothing_is_earned_for_appliances_that_are_ejected():
    scene = scene_with_cold(1, [])
    slow_start = scene.agent.slow_start
    slow_start.earn()
    rate = slow_start.rate
    for name in COLD[2:]:
        scene.fleet[name].decision_state.ejected_until = scene.engine.now + S
    slow_start.earn()
    assert slow_start.rate == pytest.approx(rate / 4, rel=0.01)


def test_a_cold_appliance_gets_its_part_of_the_larger_side_of_a_trial():
    """With one earlier appliance left beside ten on trial, a cold one was due most of the traffic."""
    scene = Scene(warm_time=60 * S, cold_share=0.3, fall_multiple=4.0)
    scene.list("old")
    scene.list(*(f"new{number}" for number in range(10)), build=2)
    scene.list("cold", build=2, started=1)
    scene.stage(2, 2, 1.0)
    slow_start = scene.agent.slow_start
    scene.agent.succeeded = 10  # all that has been taken
    slow_start.earn()
    even_part = 0.3 / 11
    assert slow_start.rate == pytest.approx(2 * even_part, rel=0.05)


@pytest.mark.parametrize("waited, sent", [(240 * MS, True), (260 * MS, False)])
def test_dispatches_that_waited_long_for_a_cold_appliance_do_not_leave_together(waited, sent):
    scene = Scene(warm_time=60 * S, cold_share=0.3)
    scene.list("a", started=1)
    scene.released()
    scene.agent.slow_start.credit = 0.5
    scene.agent.slow_start.candidate = scene.fleet["a"]
    scene.agent.slow_start.earn = lambda: None
    scene.take(scene.draw)
    (dispatch,) = scene.out
    scene.engine.advance_to(waited)
    assert scene.engine.may_send(dispatch) == sent
