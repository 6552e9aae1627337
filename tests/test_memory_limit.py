"""Incident 0821ae on the node: processes passed their memory limit, others waited, and ids ran twice."""

from __future__ import annotations

import asyncio

import pytest
from node_harness import Appliance, ok_response
from node_process import MEGABYTE, node_process
from test_calls import sockets

from cartweir.soak.hostile_plan import Attack

LEAST_MEMORY_MB = 32  # that the platform's pages name
CROWD = 400
CROWD_SECONDS = 3.0
FLOOD_SECONDS = 3.0
MAX_STALLED_SHARE = 0.1  # of the time of a flood


async def crowd(folder, attack, memory_mb, connections=CROWD, **more):
    """Returns a node's peak of memory, its descriptors and what the others got beside hostile clients."""
    async with node_process(folder, Appliance(), memory_mb=memory_mb) as node:
        alone = await node.serve(1.0)
        result, served = await asyncio.gather(
            node.attack(attack, connections, CROWD_SECONDS, **more), node.serve(CROWD_SECONDS)
        )
        assert node.process.returncode is None and result.waiting == 0
        assert node.peak_descriptors <= 1024
        return node.peak_memory, alone, served


@sockets
@pytest.mark.parametrize(
    "attack, memory_mb",
    [
        (Attack.HALF_REQUESTS, LEAST_MEMORY_MB),
        (Attack.SLOW_BODIES, LEAST_MEMORY_MB),
        (Attack.SHORT_FIELDS, LEAST_MEMORY_MB),
        (Attack.TINY_CHUNKS, LEAST_MEMORY_MB),
        (Attack.TINY_CHUNKS, 192),
    ],
)
async def test_a_crowd_of_incomplete_requests_drove_a_node_over_its_memory_limit(tmp_path, attack, memory_mb):
    peak, alone, served = await crowd(tmp_path, attack, memory_mb)
    assert peak <= memory_mb * MEGABYTE
    assert served.unanswered == 0 and served.share >= alone.share / 2


@sockets
async def test_a_trailer_without_an_end_drove_a_node_over_its_memory_limit(tmp_path):
    peak, alone, served = await crowd(tmp_path, Attack.ENDLESS_TRAILERS, LEAST_MEMORY_MB, connections=10)
    assert peak <= LEAST_MEMORY_MB * MEGABYTE
    assert served.unanswered == 0 and served.share >= alone.share / 2


@sockets
@pytest.mark.parametrize(
    "attack", [Attack.SMALL_REQUESTS, Attack.NEW_NAMES, Attack.BLANK_LINES, Attack.UNREAD_ANSWERS]
)
async def test_other_clients_waited_while_one_sent_small_requests_at_full_speed(tmp_path, attack):
    async with node_process(tmp_path, Appliance(), memory_mb=LEAST_MEMORY_MB) as node:
        alone = await node.serve(1.0)
        _, served = await asyncio.gather(
            node.attack(attack, 1, FLOOD_SECONDS, pause=0.0), node.serve(FLOOD_SECONDS)
        )
        assert node.process.returncode is None and node.peak_memory <= LEAST_MEMORY_MB * MEGABYTE
        assert served.unanswered == 0 and served.share >= alone.share / 2
        assert node.stalled_seconds <= MAX_STALLED_SHARE * FLOOD_SECONDS


@sockets
async def test_large_requests_that_waited_drove_a_node_over_its_memory_limit(tmp_path):
    """Whole requests of 60 KB, whose appliance answers nothing, are owed an answer each."""
    async with node_process(tmp_path, HoldingForever(), memory_mb=LEAST_MEMORY_MB) as node:
        answers = await asyncio.gather(*(ask_large(node, number) for number in range(CROWD)))
        assert node.peak_memory <= LEAST_MEMORY_MB * MEGABYTE
        assert set(answers) <= {429, 500, 503}


class HoldingForever(Appliance):
    """Reads requests and answers none."""

    async def _serve(self, reader, writer):
        while await reader.read(65536):
            pass


async def ask_large(node, number):
    client = await node.client()
    body = b"x" * 60_000
    head = (
        f"POST /order/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: large-{number}\r\nX-Priority-Class: order\r\n"
        f"X-Timeout: 1000m\r\nIdempotency-Key: large-{number}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    async with asyncio.timeout(4):
        status, _, _ = await client.exchange(head.encode() + body)
    client.writer.close()
    return status


@sockets
async def test_answers_in_tiny_chunks_drove_a_node_over_its_memory_limit(tmp_path):
    """An appliance sends its answers in chunks of two bytes, and stops before the end."""
    half = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nxy\r\n" * 25_000

    appliances = [Appliance(lambda line, headers, body: half) for _ in range(4)]
    async with node_process(tmp_path, *appliances, memory_mb=LEAST_MEMORY_MB) as node:
        served = await node.serve(2.0, rate=100.0)
        assert node.peak_memory <= LEAST_MEMORY_MB * MEGABYTE
        assert served.unanswered == 0


@sockets
async def test_answers_that_a_client_never_read_piled_up_in_a_node(tmp_path):
    """It asks for answers of 60 KB one after the other on each connection, and reads none."""
    large = ok_response(bytes(60_000))
    appliances = [Appliance(lambda line, headers, body: large) for _ in range(2)]
    async with node_process(tmp_path, *appliances, memory_mb=LEAST_MEMORY_MB) as node:
        clients = [await node.client() for _ in range(20)]
        for number in range(150):
            for place, client in enumerate(clients):
                client.writer.write(
                    f"GET /view/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: deaf-{place}-{number}\r\n"
                    "X-Priority-Class: view\r\nX-Timeout: 500m\r\n\r\n".encode()
                )
            await asyncio.sleep(0.01)
        assert node.process.returncode is None
        assert node.peak_memory <= LEAST_MEMORY_MB * MEGABYTE
        for client in clients:
            client.writer.transport.abort()
