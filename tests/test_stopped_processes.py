"""A process that is stopped while a request arrives: what came meanwhile counts, not only what was read."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest
from node_harness import Appliance, request_bytes
from node_process import node_process
from peers import VIEW, Client, answer, framed
from test_calls import sockets
from test_clients_that_closed import stop
from test_grpc_memory_limit import processes
from test_processes import end, world

from cartweir.node.front import REQUEST_TIMEOUT

REQUEST_TIME = 0.7  # seconds for a whole call, longer than `SEEN`
SEEN = 0.5  # seconds in which a process has looked at what is incomplete
STOPPED = 1.0  # seconds
BODY = framed(bytes(100))


@sockets
@pytest.mark.parametrize("cores", [1, 2])
@pytest.mark.parametrize("cut", [5, 9 + 40])  # bytes of the last frame that come before the stop
async def test_a_call_whose_rest_came_while_an_agent_was_stopped_is_served(tmp_path, cores, cut):
    """Guards against calls and connections that are ended for the time for which a process stood still."""
    registry, appliances, process = await world(
        tmp_path, answer, agent=f"cores = {cores}", wire=f"request_timeout = {REQUEST_TIME * 1000:.0f}ms"
    )
    client = await Client.connect(process.address)
    await client.call(VIEW).done.wait()  # nothing of the connection's begin gets between two pieces
    call = client.call(VIEW, body=b"", timeout=None, end=False)
    client.peer.h2.send_data(call.stream, BODY, end_stream=True)
    data = client.peer.h2.data_to_send()
    client.peer.writer.write(data[:cut])
    await asyncio.sleep(SEEN)
    pids = processes(process)
    for pid in pids:
        stop(pid)
    client.peer.writer.write(data[cut:])
    await asyncio.sleep(STOPPED)
    for pid in pids:
        os.kill(pid, signal.SIGCONT)
    async with asyncio.timeout(2.0):
        await call.done.wait()
    assert call.status == "0"
    await process.stop()
    end(registry, appliances)


@sockets
async def test_a_request_whose_rest_came_while_a_node_was_stopped_is_served(tmp_path):
    appliance = Appliance()
    async with node_process(tmp_path, appliance) as node:
        client = await node.client()
        request = request_bytes("whole", "view", X_Timeout="3000m")
        client.writer.write(request[:20])
        await asyncio.sleep(SEEN)
        stop(node.process.pid)
        client.writer.write(request[20:])
        await asyncio.sleep(REQUEST_TIMEOUT / 1e6)
        os.kill(node.process.pid, signal.SIGCONT)
        status, _, _ = await client.read_response()
        assert status == 200
