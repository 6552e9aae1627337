"""The guard between decisions and sockets: what it counts that no decision should let through."""

from __future__ import annotations

import asyncio

from node_harness import HoldingAppliance, request_bytes, running_node
from test_calls import sockets

from cartweir.hosting.appliance_list import ListEntry
from cartweir.logic.dispatch_guard import Invariant
from cartweir.node.client_connection import CloseReason


@sockets
async def test_closing_on_a_request_that_was_read_is_a_violation():
    appliance = HoldingAppliance()
    async with running_node(appliance) as node:
        client = await node.client()
        client.writer.write(request_bytes("r1"))
        await appliance.wait_for_requests(1)
        connection = next(iter(node.daemon.front.clients))
        connection.close(CloseReason.EVICTED)
        facts = await node.wait_for_event("invariant_violated")
        assert facts["invariant"] == "closed_unanswered" and facts["request"] == "r1"
        assert node.daemon.engine_host.guard.violations == {Invariant.CLOSED_UNANSWERED: 1}


@sockets
async def test_closing_as_the_client_has_gone_is_none():
    appliance = HoldingAppliance()
    async with running_node(appliance) as node:
        client = await node.client()
        client.writer.write(request_bytes("r1"))
        await appliance.wait_for_requests(1)
        client.writer.close()
        while node.daemon.front.clients:
            await asyncio.sleep(0.005)
        assert node.daemon.front.closed == {CloseReason.CLIENT_GONE: 1}
        assert not node.daemon.engine_host.guard.violations


@sockets
async def test_a_start_in_the_future_is_a_violation():
    async with running_node() as node:
        host = node.daemon.engine_host
        later = host.engine.now + 60_000_000
        host.apply_list("changes", [ListEntry("s9", 1, 5, later)])
        facts = await node.wait_for_event("invariant_violated")
        assert facts["invariant"] == "start_in_future" and facts["appliance"] == "s9"
