"""What the release service tells with something spoilt in it: it is never passed over in silence."""

from __future__ import annotations

import asyncio
import json
import random
import re

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from node_harness import SETTINGS, Appliance, running_node
from test_calls import sockets

from cartweir.hosting.backoff import Backoff
from cartweir.hosting.platform_settings import parse_settings
from cartweir.node.release_service import ConnectionLostError, ReleaseServiceClient

GOING_BACK = {"build": 2, "stage": 1, "phase": "recalling", "cap": 0.0, "age_ms": 10}
NEWS = {"jsonrpc": "2.0", "method": "news", "params": GOING_BACK}
WORDS = re.findall(r'"([^"]+)"', json.dumps(NEWS))
FOLLOWED_WITHIN = 1.0  # seconds; the news is repeated after 4 s only


class StagesApplied:
    """Stands in for the engine host: takes note of the states of builds."""

    settings = parse_settings(SETTINGS)

    def __init__(self) -> None:
        self.stages = []

    def apply_stage(self, stage) -> None:
        self.stages.append(stage)


def client_of(host) -> ReleaseServiceClient:
    return ReleaseServiceClient(host, "", 0, Backoff(1, 1, random.Random(1)), lambda event, **facts: None)


def handle(line):
    """Returns the states of builds that a line has told."""
    host = StagesApplied()
    client_of(host)._handle_line(line)
    return [(stage.build, stage.number, stage.phase, stage.cap) for stage in host.stages]


@given(
    st.sampled_from([word for word in WORDS if word not in ("jsonrpc", "2.0")]),
    st.text("abgin~0#", min_size=1, max_size=12),
)
@example("news", "x~0#")  # review/10
@example("method", "x~0#")
def test_news_with_a_spoilt_word_ends_its_connection(word, noise):
    """Guards against news that a build goes back, passed over for one word of it."""
    spoilt = json.loads(json.dumps(NEWS).replace(f'"{word}"', f'"{noise}"'))
    try:
        told = handle(spoilt)
    except (ConnectionLostError, ValueError):
        return  # a new connection is told the state at once
    assert told == handle(NEWS)


@pytest.mark.parametrize("method", ["report", "counts"])
def test_a_notification_without_its_parameters_ends_its_connection(method):
    with pytest.raises(ConnectionLostError):
        handle({"jsonrpc": "2.0", "method": method, "x~0#": {}})


def test_a_sign_of_life_and_the_answer_to_listen_tell_nothing():
    assert handle({"jsonrpc": "2.0", "method": "ping"}) == []
    assert handle({"jsonrpc": "2.0", "id": 1, "result": True}) == []


@sockets
async def test_a_node_asks_anew_after_spoilt_news_and_follows_it(monkeypatch):
    """Guards against attempts at a build that goes back, until its news is repeated (review/10)."""
    async with running_node(Appliance()) as node:
        service = node.release_service
        while not service.listeners:
            await asyncio.sleep(0.001)
        service.notify("news", build=2, stage=1, phase="testing", cap=0.4, age_ms=1)
        while node.daemon.engine_host.engine.agent.stage.build != 2:
            await asyncio.sleep(0.001)
        service.news = [json.dumps(NEWS).encode() + b"\n"]  # what new listeners are told at once
        service.notify("x~0#", **GOING_BACK)
        async with asyncio.timeout(FOLLOWED_WITHIN):
            while node.daemon.engine_host.engine.agent.stage.cap:
                await asyncio.sleep(0.001)
        assert len(service.listeners) == 2
