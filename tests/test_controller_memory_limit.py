"""Incident 0821ae on a controller: memory, and callers that waited."""

from __future__ import annotations

import asyncio
import time

import pytest
from test_controllers import with_rig

from cartweir.hosting.process_resources import peak_resident_bytes
from cartweir.soak.hostile_plan import HTTP2_CROWDS, HTTP2_FLOODS, Attack, HostilePlan
from cartweir.soak.processes import run_hostile_clients

ASK = "/cartweir.v1.Controller/Ask"
REQUEST_MEMORY = 32 << 20  # bytes that requests may hold at a server of our own
CONNECTION_MEMORY = 16 << 20  # bytes for 20 connections with 100 streams each, besides their requests
CROWD = 20
SECONDS = 3.0
LEAST_SHARE = 0.05  # of the answers that a caller gets alone, one after the other


async def answers(rig, name, seconds):
    """Returns how many answers a caller got in a second, asking for one after the other."""
    began, count = time.monotonic(), 0
    while time.monotonic() - began < seconds:
        count += await rig.ask(name, ask="status") is not None
    return count / (time.monotonic() - began)


async def attacked(rig, name, attack, connections):
    """Returns the growth of a controller's memory beside hostile clients."""
    alone, pid = await answers(rig, name, 1.0), rig.processes[name].pid
    idle = peak_resident_bytes(pid)
    address = rig.listen_addresses[name]
    plan = HostilePlan(attack, address, ASK, connections, SECONDS, pause=0.0, http2=True)
    _, served = await asyncio.gather(run_hostile_clients(plan), answers(rig, name, SECONDS))
    assert served >= LEAST_SHARE * alone, f"{served:.1f} of {alone:.1f} answers a second"
    assert rig.is_running(name)
    return peak_resident_bytes(pid) - idle


@pytest.mark.parametrize("attack", HTTP2_CROWDS)
def test_a_crowd_of_incomplete_calls_drove_a_controller_over_its_memory(tmp_path, attack):
    @with_rig(controllers=1, agents=1)
    async def play(rig, owner):
        assert await attacked(rig, owner, attack, CROWD) <= REQUEST_MEMORY + CONNECTION_MEMORY

    play(tmp_path)


@pytest.mark.parametrize(
    "attack", [each for each in HTTP2_FLOODS if each not in (Attack.UNREAD_ANSWERS, Attack.NEW_NAMES)]
)
def test_other_callers_of_a_controller_waited_while_one_sent_frames_at_full_speed(tmp_path, attack):
    @with_rig(controllers=1, agents=1)
    async def play(rig, owner):
        assert await attacked(rig, owner, attack, 1) <= REQUEST_MEMORY

    play(tmp_path)
