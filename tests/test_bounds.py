"""Sizes of a large site: no bound on a list of agents or of servers binds below 1,024."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import socket

import pytest
from ground import (
    RELEASED,
    SETTINGS,
    Appliance,
    Client,
    Desk,
    Discovery,
    Held,
    Server,
    ask,
    entry,
    good,
    ground,
    read_request,
)
from test_calls import sockets
from test_node import Heard

from cartweir.node import config, jsonstream
from cartweir.node.daemon import Daemon
from cartweir.node.http1 import MOST_BODY
from cartweir.node.jsonstream import JsonStream
from cartweir.node.peers import KERNEL_BYTES_PER_DATAGRAM, MOST, Peers

AGENTS, SERVERS = 1_024, 1_200


def entries(server: Server, **more) -> list[dict]:
    return [entry(f"server-{number:04}", server, **more) for number in range(SERVERS)]


def reserved(address: str = "127.0.0.1:0") -> socket.socket:
    """A bound UDP socket, whose address is nobody else's."""
    host, port = address.split(":")
    found = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    found.bind((host, int(port)))
    return found


def peer_addresses() -> list[str]:
    """Loopback addresses with one port; only those that a test binds are anybody's."""
    with reserved() as own:
        port = own.getsockname()[1]
    return [f"127.77.{number // 256}.{number % 256}:{port}" for number in range(AGENTS)]


@sockets
async def test_a_configuration_with_1024_peers_and_1200_servers_is_read_and_started(tmp_path):
    appliance, discovery, desk = await Appliance().start(), await Discovery([]).start(), await Desk().start()
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
                "pipeline": {"address": desk.address, "news": RELEASED},
                "settings": {**SETTINGS, "balancers": AGENTS},
                "known": {"index": 1, "snapshot": True, "endpoints": discovery.endpoints},
            }
        )
    )
    daemon = Daemon(config.read({"EDGE_CONFIG": str(file)}))
    heard = Heard(0)
    daemon.peers.engine_host = heard
    address = daemon.start_up()
    try:
        assert (
            len(daemon.engine_host.appliance_list.appliances) == SERVERS
            and daemon.engine_host.settings["agents"] == AGENTS
        )
        while daemon.discovery.version != 1:  # the watch has told the same list
            await asyncio.sleep(0.005)
        client = Client(*await asyncio.open_connection(*address.split(":")))
        for number in range(20):
            assert (await client.say(ask(f"a{number}")))[0] == 200
        with reserved(peers[-1]) as last:
            last.settimeout(5)
            daemon.message(AGENTS - 1, [1, 2])
            assert last.recv(MOST) == b"1 2"
            last.sendto(b"3 4", (daemon.peers._peers[0]))
        while not heard.said:
            await asyncio.sleep(0.005)
        assert heard.said == [(AGENTS - 1, [3, 4])]
        client.writer.close()
    finally:
        daemon.front.close()
        daemon.peers.close()
        for server in (appliance, discovery, desk):
            server.stop()


@sockets
async def test_a_list_of_over_4_mib_is_followed():
    async with ground(Appliance()) as it:
        await it.noted("list")
        it.discovery.tell(*entries(it.appliances[0], note="x" * 4_000))
        while len(it.daemon.engine_host.appliance_list.appliances) < SERVERS:
            assert not [facts["why"] for event, facts in it.notes if event == "discovery_lost"]
            await asyncio.sleep(0.005)
        assert (await (await it.client()).say(ask("a")))[0] == 200


@sockets
async def test_a_fetched_list_that_tells_its_length_is_followed():
    async with ground(Appliance()) as it:
        await it.noted("list")
        told = json.dumps({"index": 2, "snapshot": True, "endpoints": entries(it.appliances[0])}).encode()
        assert len(told) > MOST_BODY

        async def serve(reader, writer):
            await read_request(reader)
            writer.write(good(told))

        whole = await Server(serve).start()
        it.daemon.discovery.address = whole.address
        it.daemon.fetch_list()
        while it.daemon.discovery.version != 2:
            assert not [facts["why"] for event, facts in it.notes if event == "fetch_failed"]
            await asyncio.sleep(0.005)
        assert (
            sum(a.state == "ready" for a in it.daemon.engine_host.appliance_list.appliances.values())
            == SERVERS
        )
        whole.stop()


@sockets
async def test_a_request_that_found_no_descriptor_left_goes_out_once_another_server_has_answered():
    held, free = Held(), await Appliance().start()
    async with ground(held, connectTimeout=10_000.0) as it:
        await it.noted("list")
        it.daemon.links.reach = dataclasses.replace(it.daemon.links.reach, most=2)
        clients = [await it.client() for _ in range(3)]
        for number in range(2):
            clients[number].writer.write(ask(f"held-{number}"))
        await held.got(2)
        it.discovery.tell(entry("s0", held, status="draining"), entry("free", free))
        while "free" not in it.daemon.engine_host.appliance_list.appliances:
            await asyncio.sleep(0.005)
        clients[2].writer.write(ask("waits"))
        while not any(pool.waiting for pool in it.daemon.links.pools.values()):
            await asyncio.sleep(0.005)
        held.go.set()
        assert (await clients[2].hear())[::2] == (200, b"made for waits")
        assert it.daemon.links.count <= 2
        assert [facts["appliance"] for event, facts in it.notes if event == "dispatch"].count("free") == 1
    free.stop()


@sockets
async def test_datagrams_of_all_agents_at_once_are_all_heard():
    """As far as the kernel grants a buffer for them: what it grants is what was needed, or its own bound."""
    addresses, heard = peer_addresses(), Heard(0)
    peers = Peers(heard, addresses[0], addresses, None, lambda event, **facts: None)
    try:
        granted = peers._socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        with open("/proc/sys/net/core/rmem_max") as file:
            assert granted >= min(2 * AGENTS * KERNEL_BYTES_PER_DATAGRAM, 2 * int(file.read()))
        count = min(AGENTS - 1, granted // KERNEL_BYTES_PER_DATAGRAM)
        with reserved(addresses[1]) as other:
            for number in range(count):
                other.sendto(str(number).rjust(MOST).encode(), peers._peers[0])
        while len(heard.said) < count:
            await asyncio.sleep(0.005)
        assert heard.said == [(1, [number]) for number in range(count)]
    finally:
        peers.close()


@sockets
async def test_fourteen_figures_of_18_digits_fit_a_datagram_and_a_longer_one_is_not_read_in_part():
    addresses, heard, notes = peer_addresses()[:2], Heard(0), []
    peers = Peers(
        heard,
        addresses[0],
        addresses,
        None,
        lambda event, **facts: notes.append((event, facts.get("sender"))),
    )
    other = Peers(Heard(1), addresses[1], addresses, None, lambda event, **facts: notes.append((event, None)))
    largest = [0, 2**53 - 1, *[10**18 - 1] * 12]  # a sum, of the largest build, as logic.py tells it
    try:
        other.message(0, largest)
        other._socket.sendto(b"1 " * 128 + b"23", peers._peers[0])
        other.message(0, [4])
        while heard.said[-1:] != [(1, [4])]:
            await asyncio.sleep(0.005)
        assert heard.said == [(1, largest), (1, [4])] and notes == [("message_too_long", 1)]
    finally:
        peers.close()
        other.close()


def test_an_indented_list_of_nested_entries_takes_time_in_proportion_to_it(monkeypatch):
    class Counting(json.JSONDecoder):
        tried = 0  # characters, in all tries

        def raw_decode(self, text, *arguments):
            Counting.tried += len(text)
            return super().raw_decode(text, *arguments)

    monkeypatch.setattr(jsonstream, "_DECODER", Counting())
    told = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {"name": f"s{number}", "labels": {"text": '}"{\\'}, "ports": [{"port": 1}]}
            for number in range(SERVERS)
        ],
    }
    text = json.dumps(told, indent=2).encode() + b"\n"
    stream, found = JsonStream(len(text)), []
    for at in range(0, len(text), 1_000):
        found += stream.feed(text[at : at + 1_000])
    assert found == [told] and Counting.tried < 3 * len(text)


def test_an_object_that_broke_off_is_told_by_the_one_behind_it():
    """At once, and not only by the next sign of life: it breaks off within a name."""
    broken = json.dumps({"index": 1, "endpoints": [{"name": f"s{number}"} for number in range(SERVERS)]})[
        :-6
    ].encode()
    stream = JsonStream(1 << 20)
    assert stream.feed(broken) == []
    with pytest.raises(ValueError):
        stream.feed(b"\n" + b'{"index": 2, "endpoints": []}\n')
