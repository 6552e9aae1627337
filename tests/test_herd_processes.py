"""Agent processes that are killed together and restart at an overloaded discovery (rule 3)."""

from __future__ import annotations

import asyncio

from node_harness import SETTINGS, Appliance, Discovery, NodeClient, entry, read_request, request_bytes
from test_calls import sockets
from test_endings import lines_until, program

AGENTS = 3
GRACE = 500.0  # milliseconds
READY = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"


class CrowdedDiscovery(Discovery):
    """Answers each call with 503 while it is crowded, as if the call had waited too long."""

    crowded = True

    async def _serve(self, reader, writer):
        if not self.crowded:
            await super()._serve(reader, writer)
            return
        line, _, _ = await read_request(reader)
        self.request_lines.append(line)
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


async def start_agents(folder, discovery, kept):
    """Starts the node's processes, and connects a client to each."""
    settings = {**SETTINGS, "safety": {**SETTINGS["safety"], "drainGrace": GRACE}}
    processes, clients = [], []
    for number in range(AGENTS):
        place = folder / f"agent{number}"
        place.mkdir(exist_ok=True)
        process, listen, _ = await program(place, discovery=discovery.address, settings=settings, known=kept)
        processes.append(process)
        await lines_until(process, "started")
        host, port = listen.split(":")
        clients.append(NodeClient(*await asyncio.open_connection(host, int(port))))
    return processes, clients


async def until_refused(client, name):
    """Sends requests until one is refused, as the kept list is no longer relied on."""
    number = 0
    while (await client.exchange(request_bytes(f"{name}-{number}")))[0] == 200:
        number += 1


async def kill(processes):
    for process in processes:
        process.kill()
        await process.wait()


@sockets
async def test_restarted_agents_send_nothing_to_a_server_that_left_while_discovery_was_overloaded(tmp_path):
    leaving, staying = await Appliance().start(), await Appliance().start()
    discovery = await CrowdedDiscovery([]).start()
    kept = {"index": 7, "snapshot": True, "endpoints": [entry("s0", leaving)]}
    processes, clients = await start_agents(tmp_path, discovery, kept)
    try:
        await kill(processes)  # together; all of them start from the list that they had
        processes, clients = await start_agents(tmp_path, discovery, kept)
        await asyncio.gather(*(until_refused(client, f"before{at}") for at, client in enumerate(clients)))
        sent = len(leaving.requests)
        assert {
            (await client.exchange(request_bytes(f"during{at}")))[0] for at, client in enumerate(clients)
        } == {429}
        assert len(leaving.requests) == sent
        discovery.endpoints = [entry("s0", leaving, status="draining"), entry("s1", staying)]
        discovery.index = 9
        discovery.crowded = False
        for at, client in enumerate(clients):
            while (await client.exchange(request_bytes(f"after{at}")))[0] != 200:
                await asyncio.sleep(0.05)  # until discovery has answered it
            assert (await client.exchange(READY))[0] == 200
        assert len(leaving.requests) == sent and len(staying.requests) == AGENTS
        assert all("from=7" in line for line in discovery.request_lines)
    finally:
        await kill([process for process in processes if process.returncode is None])
        for server in (leaving, staying, discovery):
            server.stop()
