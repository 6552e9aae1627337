"""Ids that may have run, between processes: one node with crowds of clients that bring new ids."""

from __future__ import annotations

import asyncio

from node_harness import Appliance, request_bytes
from node_process import node_process
from test_calls import sockets

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
