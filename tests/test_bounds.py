"""Limits at a large site: lists of agents and servers work up to 1,024 entries and beyond."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import socket

import pytest
from node_harness import (
    RELEASED,
    SETTINGS,
    Appliance,
    Discovery,
    HoldingAppliance,
    NodeClient,
    ReleaseService,
    Server,
    entry,
    ok_response,
    read_request,
    request_bytes,
    running_node,
)
from test_calls import sockets
from test_node import RecordingHost

from cartweir.node import config, jsonstream
from cartweir.node.daemon import Daemon
from cartweir.node.http1 import MAX_BODY_BYTES
from cartweir.node.jsonstream import JsonStream
from cartweir.node.peers import KERNEL_BYTES_PER_DATAGRAM, MAX_DATAGRAM_BYTES, Peers

AGENTS, SERVERS = 1_024, 1_200


def entries(server: Server, **more) -> list[dict]:
    return [entry(f"server-{number:04}", server, **more) for number in range(SERVERS)]


def reserved(address: str = "127.0.0.1:0") -> socket.socket:
    """Returns a bound UDP socket with an address of its own."""
    host, port = address.split(":")
    found = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    found.bind((host, int(port)))
    return found


def peer_addresses() -> list[str]:
    """Returns loopback addresses with one port; only those that a test binds are in use."""
    with reserved() as own:
        port = own.getsockname()[1]
    return [f"127.77.{number // 256}.{number % 256}:{port}" for number in range(AGENTS)]


@sockets
async def test_configuration_with_1024_peers_and_1200_servers_starts(tmp_path):
    appliance, discovery, release_service = (
        await Appliance().start(),
        await Discovery([]).start(),
        await ReleaseService().start(),
    )
    discovery.endpoints, peers = entries(appliance), peer_addresses()
    file = tmp_path / "config.json"
    file.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": discovery.address,
                "seed": "ff",
                "limits": {"sockets": 1024},
                "peer_listen": peers[0],
                "peers": peers,
                "pipeline": {"address": release_service.address, "news": RELEASED},
                "settings": {**SETTINGS, "balancers": AGENTS},
                "known": {"index": 1, "snapshot": True, "endpoints": discovery.endpoints},
            }
        )
    )
    daemon = Daemon(config.read({"EDGE_CONFIG": str(file)}))
    heard = RecordingHost(0)
    daemon.peers.engine_host = heard
    address = daemon.start_up()
    try:
        assert (
            len(daemon.engine_host.appliance_list.appliances) == SERVERS
            and daemon.engine_host.settings["agents"] == AGENTS
        )
        while daemon.discovery.version != 1:  # until the watch has delivered the same list
            await asyncio.sleep(0.005)
        client = NodeClient(*await asyncio.open_connection(*address.split(":")))
        for number in range(20):
            assert (await client.exchange(request_bytes(f"a{number}")))[0] == 200
        with reserved(peers[-1]) as last:
            last.settimeout(5)
            daemon.message(AGENTS - 1, [1, 2])
            assert last.recv(MAX_DATAGRAM_BYTES) == b"1 2"
            last.sendto(b"3 4", (daemon.peers._peers[0]))
        while not heard.messages:
            await asyncio.sleep(0.005)
        assert heard.messages == [(AGENTS - 1, [3, 4])]
        client.writer.close()
    finally:
        daemon.front.close()
        daemon.peers.close()
        for server in (appliance, discovery, release_service):
            server.stop()


@sockets
async def test_list_of_over_4_mib_is_followed():
    async with running_node(Appliance()) as node:
        await node.wait_for_event("list")
        node.discovery.send_delta(*entries(node.appliances[0], note="x" * 4_000))
        while len(node.daemon.engine_host.appliance_list.appliances) < SERVERS:
            assert not [facts["why"] for event, facts in node.events if event == "discovery_lost"]
            await asyncio.sleep(0.005)
        assert (await (await node.client()).exchange(request_bytes("a")))[0] == 200


@sockets
async def test_fetched_list_with_content_length_is_followed():
    async with running_node(Appliance()) as node:
        await node.wait_for_event("list")
        data = json.dumps({"index": 2, "snapshot": True, "endpoints": entries(node.appliances[0])}).encode()
        assert len(data) > MAX_BODY_BYTES

        async def serve(reader, writer):
            await read_request(reader)
            writer.write(ok_response(data))

        whole = await Server(serve).start()
        node.daemon.discovery.address = whole.address
        node.daemon.fetch_list()
        while node.daemon.discovery.version != 2:
            assert not [facts["why"] for event, facts in node.events if event == "fetch_failed"]
            await asyncio.sleep(0.005)
        assert (
            sum(a.state == "ready" for a in node.daemon.engine_host.appliance_list.appliances.values())
            == SERVERS
        )
        whole.stop()


@sockets
async def test_request_without_a_free_descriptor_is_sent_once_another_server_answers():
    held, free = HoldingAppliance(), await Appliance().start()
    async with running_node(held, connectTimeout=10_000.0) as node:
        await node.wait_for_event("list")
        node.daemon.appliance_pools.options = dataclasses.replace(
            node.daemon.appliance_pools.options, max_connections=2
        )
        clients = [await node.client() for _ in range(3)]
        for number in range(2):
            clients[number].writer.write(request_bytes(f"held-{number}"))
        await held.wait_for_requests(2)
        node.discovery.send_delta(entry("s0", held, status="draining"), entry("free", free))
        while "free" not in node.daemon.engine_host.appliance_list.appliances:
            await asyncio.sleep(0.005)
        clients[2].writer.write(request_bytes("waits"))
        while not any(pool.waiting for pool in node.daemon.appliance_pools.pools.values()):
            await asyncio.sleep(0.005)
        held.release.set()
        assert (await clients[2].read_response())[::2] == (200, b"made for waits")
        assert node.daemon.appliance_pools.connection_count <= 2
        assert [facts["appliance"] for event, facts in node.events if event == "dispatch"].count("free") == 1
    free.stop()


@sockets
async def test_simultaneous_datagrams_of_all_agents_are_received():
    """The kernel grants the buffer that they need, or as much as its own limit allows."""
    addresses, heard = peer_addresses(), RecordingHost(0)
    peers = Peers(heard, addresses[0], addresses, None, lambda event, **facts: None)
    try:
        granted = peers._socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        with open("/proc/sys/net/core/rmem_max") as file:
            assert granted >= min(2 * AGENTS * KERNEL_BYTES_PER_DATAGRAM, 2 * int(file.read()))
        count = min(AGENTS - 1, granted // KERNEL_BYTES_PER_DATAGRAM)
        with reserved(addresses[1]) as other:
            for number in range(count):
                other.sendto(str(number).rjust(MAX_DATAGRAM_BYTES).encode(), peers._peers[0])
        while len(heard.messages) < count:
            await asyncio.sleep(0.005)
        assert heard.messages == [(1, [number]) for number in range(count)]
    finally:
        peers.close()


@sockets
async def test_fourteen_figures_of_18_digits_fit_and_a_longer_datagram_is_dropped():
    addresses, heard, notes = peer_addresses()[:2], RecordingHost(0), []
    peers = Peers(
        heard,
        addresses[0],
        addresses,
        None,
        lambda event, **facts: notes.append((event, facts.get("sender"))),
    )
    other = Peers(
        RecordingHost(1), addresses[1], addresses, None, lambda event, **facts: notes.append((event, None))
    )
    largest = [0, 2**53 - 1, *[10**18 - 1] * 12]  # a sum, with the largest build, as the decisions send it
    try:
        other.message(0, largest)
        other._socket.sendto(b"1 " * 128 + b"23", peers._peers[0])
        other.message(0, [4])
        while heard.messages[-1:] != [(1, [4])]:
            await asyncio.sleep(0.005)
        assert heard.messages == [(1, largest), (1, [4])] and notes == [("message_too_long", 1)]
    finally:
        peers.close()
        other.close()


def test_indented_nested_list_is_decoded_in_linear_time(monkeypatch):
    class Counting(json.JSONDecoder):
        tried = 0  # characters in all attempts to decode

        def raw_decode(self, text, *arguments):
            Counting.tried += len(text)
            return super().raw_decode(text, *arguments)

    monkeypatch.setattr(jsonstream, "_DECODER", Counting())
    value = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {"name": f"s{number}", "labels": {"text": '}"{\\'}, "ports": [{"port": 1}]}
            for number in range(SERVERS)
        ],
    }
    text = json.dumps(value, indent=2).encode() + b"\n"
    stream, found = JsonStream(len(text)), []
    for at in range(0, len(text), 1_000):
        found += stream.feed(text[at : at + 1_000])
    assert found == [value] and Counting.tried < 3 * len(text)


def test_truncated_object_is_detected_by_the_next_object():
    """It is detected at once, and not only by the next heartbeat; the object breaks off within a name."""
    broken = json.dumps({"index": 1, "endpoints": [{"name": f"s{number}"} for number in range(SERVERS)]})[
        :-6
    ].encode()
    stream = JsonStream(1 << 20)
    assert stream.feed(broken) == []
    with pytest.raises(ValueError):
        stream.feed(b"\n" + b'{"index": 2, "endpoints": []}\n')
