"""Ids that may have run, between processes: a node beside a crowd, SIGHUP and its end."""

from __future__ import annotations

import asyncio
import signal

import pytest
from node_harness import Appliance, request_bytes, running_node
from node_process import node_process
from test_calls import sockets

from cartweir.node import appliance_pools

CLIENTS, REQUESTS_EACH = 40, 260  # 10,400 ids, more than nodes once remembered


@sockets
async def test_an_id_ran_twice_behind_a_flood_of_other_ids(tmp_path):
    """Guards against older ids that were forgotten as soon as 4,096 new ones had come."""
    appliance = Appliance()
    async with node_process(tmp_path, appliance) as node:
        first = await node.client()
        assert (await first.exchange(request_bytes("first", "issue")))[0] == 200

        async def flood(number: int) -> None:
            client = await node.client()
            for count in range(REQUESTS_EACH):
                await client.exchange(request_bytes(f"flood-{number}-{count}", "issue"))

        await asyncio.gather(*(flood(number) for number in range(CLIENTS)))
        ran = [headers["x-request-id"] for _, headers, _ in appliance.requests]
        assert len(ran) > CLIENTS * REQUESTS_EACH * 0.9  # else it was no flood
        assert (await first.exchange(request_bytes("first", "issue")))[0] == 409
        assert ran.count("first") == 1


async def logged(node, event):
    """Waits until a node has logged an event."""
    while f" {event}" not in node.log.read_text():
        await asyncio.sleep(0.005)


@sockets
@pytest.mark.parametrize("operation", ["issue", "order"])
async def test_an_id_stays_known_across_sighup_and_while_the_node_drains(tmp_path, operation):
    appliance = Appliance()
    again = request_bytes("once", operation, Idempotency_Key="another")
    async with node_process(tmp_path, appliance) as node:
        assert (await (await node.client()).exchange(request_bytes("once", operation)))[0] == 200
        kept = await node.client()
        assert (await kept.exchange(request_bytes("other", operation)))[0] == 200
        node.process.send_signal(signal.SIGHUP)
        await logged(node, "reloaded")
        assert (await (await node.client()).exchange(again))[0] == 409
        node.process.send_signal(signal.SIGTERM)
        await logged(node, "draining")
        assert (await kept.exchange(again))[0] == 409
        assert [headers["x-request-id"] for _, headers, _ in appliance.requests] == ["once", "other"]


@sockets
@pytest.mark.parametrize("operation", ["issue", "order"])
async def test_a_request_that_was_never_sent_is_served_when_it_comes_again(operation, monkeypatch):
    """Guards against an id that stayed refused though its request had waited for a connection in vain."""
    appliance, never_made = Appliance(), []

    class UnansweredConnection:
        """A connection that is being made to a machine that says nothing."""

        def __init__(self, *arguments) -> None:
            never_made.append(arguments)

    async with running_node(appliance) as node:
        with monkeypatch.context() as patch:
            patch.setattr(appliance_pools, "PendingConnection", UnansweredConnection)
            first = await node.client()
            first.writer.write(request_bytes("again", operation))
            while not never_made:
                await asyncio.sleep(0.001)
            first.writer.close()
            await node.wait_for_event("left")
        pool = node.daemon.appliance_pools.pool(next(iter(node.daemon.engine_host.engine.agent.fleet)))
        pool.opening.clear()
        assert (await (await node.client()).exchange(request_bytes("again", operation)))[0] == 200
        assert [headers["x-request-id"] for _, headers, _ in appliance.requests] == ["again"]
