"""The node's connection pools without a daemon."""

from __future__ import annotations

import asyncio

from node_harness import HoldingAppliance
from test_calls import sockets

from cartweir.interface import Appliance
from cartweir.node.appliance_pools import ApplianceOptions, AppliancePools, ProbeAttempt


@sockets
async def test_connections_that_are_made_together_are_told_apart():
    """Each one's callback named the last, so that the others counted as being made for ever."""
    server = await HoldingAppliance().start()
    pools = AppliancePools(ApplianceOptions(250_000, 5_000_000, 0, 0), lambda: 1, lambda event, **facts: None)
    appliance = Appliance("s0")
    pools.addresses["s0"] = server.address
    pool = pools.pool(appliance)
    for _ in range(3):  # no descriptor is free yet
        pool.send(ProbeAttempt(pools, appliance))
    pools.options = ApplianceOptions(250_000, 5_000_000, 0, 16)
    pool.open_more()
    assert len(pool.opening) == 3
    while server.accepted < 3 or pool.waiting:
        await asyncio.sleep(0.005)
    assert not pool.opening
    server.stop()
