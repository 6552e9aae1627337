"""Incident 0821ae on the node: processes passed their memory limit, others waited, and ids ran twice."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from node_harness import Appliance, ok_response
from node_process import MEGABYTE, node_process
from test_calls import sockets

from cartweir.soak.hostile_plan import CROWDS, Attack

LEAST_MEMORY_MB = 32  # that the platform's pages name
CROWD = 400
CROWD_SECONDS = 3.0
FLOOD_SECONDS = 3.0
UNREAD_SECONDS = 6.0
ANSWER_SECONDS = 0.04  # in which a node answers
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
async def test_all_kinds_at_once_drove_a_node_over_its_memory_limit(tmp_path):
    """Each kind alone stayed below; at the least memory and the most descriptors, with answers of 60 KB."""
    large = ok_response(bytes(60_000))
    appliances = [Appliance(lambda line, headers, body: large) for _ in range(3)]
    crowd, flood = (200, {}), (1, {"pause": 0.0})
    attacks = {**dict.fromkeys(CROWDS, crowd), Attack.SMALL_REQUESTS: flood, Attack.NEW_NAMES: flood}
    async with node_process(tmp_path, *appliances, memory_mb=LEAST_MEMORY_MB, sockets=1024) as node:
        alone = await node.serve(1.0)
        *_, served, answers = await asyncio.gather(
            *(node.attack(attack, count, CROWD_SECONDS, **more) for attack, (count, more) in attacks.items()),
            node.serve(CROWD_SECONDS),
            asyncio.gather(*(ask_large(node, number) for number in range(100))),
        )
        assert node.process.returncode is None and set(answers) <= {200, 429, 500, 503}
        assert node.peak_memory <= LEAST_MEMORY_MB * MEGABYTE and node.peak_descriptors <= 1024
        assert served.unanswered == 0 and served.share >= alone.share / 2


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
async def test_answers_that_clients_never_read_piled_up_and_the_others_were_refused(tmp_path):
    """They ask for answers of 60 KB one after the other on each connection, and read none."""
    large = ok_response(bytes(60_000))
    appliances = [Appliance(lambda line, headers, body: large) for _ in range(4)]
    async with node_process(tmp_path, *appliances, memory_mb=LEAST_MEMORY_MB) as node:
        alone = await node.serve(1.0)
        clients = [connect_without_reading(node.address) for _ in range(8)]
        asking = asyncio.ensure_future(ask_without_reading(clients))
        await asyncio.wait((asking,), timeout=UNREAD_SECONDS / 2)  # until the kernel takes no more
        served = await node.serve(UNREAD_SECONDS / 2)
        await asking
        answered = sum(len(appliance.requests) for appliance in appliances)
        assert answered >= 20 * len(clients)
        assert node.process.returncode is None
        assert node.peak_memory <= LEAST_MEMORY_MB * MEGABYTE
        assert served.unanswered == 0 and served.share >= alone.share / 2
        for client in clients:
            client.close()


async def ask_without_reading(clients):
    for number in range(int(UNREAD_SECONDS / ANSWER_SECONDS)):
        for place, client in enumerate(clients):
            with contextlib.suppress(OSError):  # the node has closed it
                client.send(
                    f"GET /view/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: deaf-{place}-{number}\r\n"
                    "X-Priority-Class: view\r\nX-Timeout: 500m\r\n\r\n".encode()
                )
        await asyncio.sleep(ANSWER_SECONDS)


def connect_without_reading(address):
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    host, port = address.split(":")
    client.connect((host, int(port)))
    client.setblocking(False)
    return client
