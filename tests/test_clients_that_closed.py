"""Incident 0821ae: what is sent on for clients that have closed, and ids that come again after that."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest
from node_harness import Appliance, HoldingAppliance, request_bytes
from node_process import node_process
from peers import VIEW, Client, answer
from test_calls import sockets
from test_grpc_memory_limit import processes
from test_processes import end, world

UNREAD = b"\r\n" * 60_000  # more than a process reads at once
SETTLED = 0.3  # seconds in which a node would have sent a request on
RESTED = 0.1  # seconds, more than a node lets a connection rest
STOPPED = 0.2  # seconds, more than an attempt may begin after its client's close
STREAMS = 400


def stop(pid):
    """Stops a process, and returns once it stands still."""
    os.kill(pid, signal.SIGSTOP)
    while Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
        pass


@sockets
async def test_a_request_was_sent_on_after_its_client_had_closed_with_much_unread(tmp_path):
    appliance = Appliance()
    async with node_process(tmp_path, appliance) as node:
        client = await node.client()
        served = await client.exchange(request_bytes("before", "issue"))
        assert served[0] == 200
        await asyncio.sleep(RESTED)  # the connection to the appliance may be used again
        stop(node.process.pid)
        client.writer.write(request_bytes("gone", "issue") + UNREAD)
        await client.writer.drain()
        client.writer.transport.abort()
        await asyncio.sleep(STOPPED)
        os.kill(node.process.pid, signal.SIGCONT)
        await node.serve(SETTLED)
        assert "gone" not in [headers["x-request-id"] for _, headers, _ in appliance.requests]


@sockets
@pytest.mark.parametrize("operation", ["issue", "order"])
async def test_an_id_ran_twice_when_it_came_again_after_its_client_had_left(tmp_path, operation):
    appliance = HoldingAppliance()
    async with node_process(tmp_path, appliance) as node:
        first, second = await node.client(), await node.client()
        first.writer.write(request_bytes("twice", operation))
        await appliance.wait_for_requests(1)
        first.writer.close()
        await first.writer.wait_closed()
        appliance.release.set()
        status, _, _ = await second.exchange(request_bytes("twice", operation, Idempotency_Key="another"))
        assert appliance.requests == ["twice"]
        assert status == 409


@sockets
@pytest.mark.parametrize("cores", [1, 2])
async def test_calls_were_sent_on_after_their_client_had_closed_with_much_unread(tmp_path, cores):
    registry, appliances, process = await world(tmp_path, answer, agent=f"cores = {cores}")
    client = await Client.connect(process.address)
    first = client.call(VIEW)
    await first.done.wait()
    pids = processes(process)
    for pid in pids:
        stop(pid)
    for _ in range(STREAMS):
        client.call(VIEW, body=b"\0\0\0\0\xff" + bytes(255))
    await client.peer.writer.drain()
    client.close()
    client.peer.writer.transport.abort()
    await asyncio.sleep(STOPPED)
    for pid in pids:
        os.kill(pid, signal.SIGCONT)
    other = await Client.connect(process.address)
    await asyncio.sleep(SETTLED)
    last = other.call(VIEW)
    await last.done.wait()
    assert len(appliances[0].requests) == 2
    assert await process.stop() == 0
    end(registry, appliances)
