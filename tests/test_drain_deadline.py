"""Requests of a node that drains are answered before its drain deadline: drawn arrivals on virtual time."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from node_harness import SETTINGS
from virtual_front import Script, VirtualFront, play

from cartweir.node import front

MS = 0.001  # seconds
MAX_DRAIN_TIME = 500 * MS
DRAIN_MARGIN = 500 * MS
LEAST_SPARE_TIME = 2 * SETTINGS["tick"] * MS  # between the decisions' last answer and a deadline
NEVER = Script(None, 0)
STATUS_WITHOUT_ANSWER = {"view": 429, "order": 429, "issue": 500}


@settings(max_examples=100, deadline=None)
@given(
    st.floats(0.0, MAX_DRAIN_TIME + DRAIN_MARGIN - LEAST_SPARE_TIME),
    st.integers(1, 60_000),
    st.sampled_from(list(STATUS_WITHOUT_ANSWER)),
)
@example(0.0, 3_000, "view")
@example(0.0, 3_000, "issue")
def test_a_request_while_a_node_drains_is_answered_before_the_drain_deadline(after, time_limit, operation):
    """Guards against a request whose client waits longer than the process lives."""

    async def scenario(virtual: VirtualFront) -> None:
        loop = asyncio.get_running_loop()
        client = virtual.connect()
        virtual.scripts["late"] = NEVER
        virtual.front.drain()
        await asyncio.sleep(after)
        sent = virtual.send("late", operation, client, X_Timeout=f"{time_limit}m")
        while sent.status is None:
            await asyncio.sleep(0.1 * MS)
            assert loop.microseconds() < virtual.front.drain_deadline
        dispatched = virtual.runs.may_have_run("late")
        assert sent.status == (STATUS_WITHOUT_ANSWER[operation] if dispatched else 429)
        assert b"Connection: close" in client.socket.written

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(front, "MAX_DRAIN_TIME", round(MAX_DRAIN_TIME * 1e6))
        patch.setattr(front, "DRAIN_MARGIN", round(DRAIN_MARGIN * 1e6))
        play(scenario, remembered_ids=256)
