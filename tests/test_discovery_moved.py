"""Review, case 9: after SIGHUP an agent sent to draining servers for longer than 4 s and the grace."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from helpers import MS, S, Scene
from hypothesis import given, settings
from hypothesis import strategies as st
from node_harness import Appliance, Discovery, Server, read_request, request_bytes, running_node
from test_calls import sockets
from test_discovery_clock import DRAIN_FOUR, SEEDS, SLOW, check
from test_list_trust import GRACE, dispatched, recorded_reports, scene_with_list
from virtual_scenario import Change, Episode, Hangup, Scenario

from cartweir import interface as ours
from cartweir.logic import list_lease
from cartweir.logic.list_lease import ANNOUNCED_AFTER_MOVE, ANNOUNCED_WITHIN, LEASE_MARGIN
from cartweir.node.discovery import _Call

MOVED_AT = 10 * S
KEEPS_NO_CHANGES = replace(SLOW, changes_kept=0)
LEASE = ANNOUNCED_AFTER_MOVE + GRACE - LEASE_MARGIN


def scene_with_moved_discovery() -> Scene:
    scene = scene_with_list()
    scene.agent.on_discovery_moved()
    return scene


def expect_end_of_lease(scene: Scene, end: int) -> None:
    scene.pass_to(end - MS)
    assert dispatched(scene)
    scene.pass_to(end)
    assert not dispatched(scene)


@pytest.mark.parametrize("asked", [True, False], ids=["asked", "pushed"])
@pytest.mark.parametrize(
    "hangup",
    [
        Hangup(crowd=9.0),
        Hangup(crowd=9.0, again=0.5),
        Hangup(crowd=9.0, again=2.5),
        Hangup(pieces=14.0),
        Hangup(crowd=3.0, again=1.0, pieces=10.0),
    ],
    ids=["crowd", "crowd, again at once", "crowd, again later", "pieces", "all"],
)
def test_no_clock_began_at_sighup(hangup, asked):
    """Guards against counting the time to follow a new address from a failed call, or not at all."""
    for seed in SEEDS:
        for drained_at in (1.0, 3.0, 5.0):
            changes = tuple(type(change)(drained_at, change.server, change.status) for change in DRAIN_FOUR)
            check(Scenario(asked, 0.5, SLOW, seed, (Episode(hangup, changes),)))


def test_the_first_of_two_updates_in_one_read_renewed_the_lease():
    """Guards against a dispatch to a server whose departure has been read, and is not applied yet."""
    changes = Change(1.5, 0, "draining"), Change(1.6, 1, "draining")
    for pieces in (3.6, 3.7, 3.8, 3.9):
        for seed in SEEDS:
            episodes = (
                Episode(Hangup(), (Change(0.0, 0, "removed"),)),
                Episode(Hangup(pieces=pieces), changes),
            )
            check(Scenario(False, 0.5, KEEPS_NO_CHANGES, seed, episodes))


def test_the_lease_ends_4_s_and_the_grace_after_discovery_has_moved():
    expect_end_of_lease(scene_with_moved_discovery(), MOVED_AT + LEASE)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 2 * S), st.sampled_from(("unanswered", "moved", "incomplete", "old", "partial"))
        ),
        max_size=12,
    )
)
@settings(max_examples=100, derandomize=True, deadline=None, database=None)
def test_what_came_after_a_move_without_a_word_of_the_new_address_prolonged_the_lease(events):
    """Guards against any order of failed calls, further moves, old watches and pieces renewing the lease."""
    scene = scene_with_moved_discovery()
    for wait, event in events:
        scene.pass_to(scene.engine.now + wait)
        match event:
            case "unanswered":
                scene.agent.on_list(ours.UNANSWERED, [], waited=wait)
            case "moved":
                scene.agent.on_discovery_moved()
            case "incomplete":
                scene.agent.on_incomplete_list(scene.engine.now)
            case "old":
                scene.agent.on_list(ours.DELTA, [], confirms=False)
            case "partial":  # it began before the move
                scene.agent.on_list(ours.DELTA, [], waited=scene.engine.now - MOVED_AT + S)
    scene.pass_to(max(scene.engine.now, MOVED_AT + LEASE))
    assert not dispatched(scene)


@pytest.mark.parametrize("report", [ours.DELTA, ours.SNAPSHOT, ours.UNCHANGED])
def test_a_word_of_the_new_address_renews_the_lease(report):
    scene = scene_with_moved_discovery()
    scene.pass_to(MOVED_AT + 2 * LEASE)
    assert not dispatched(scene)
    scene.agent.on_list(report, [])
    scene.pass_to(scene.engine.now + 10 * LEASE)
    assert dispatched(scene)


def test_a_list_that_arrived_in_pieces_is_as_old_as_its_first_byte():
    scene = scene_with_list()
    scene.agent.on_list(ours.UNANSWERED, [], waited=None)
    scene.agent.on_list(ours.SNAPSHOT, [], waited=3 * S)
    expect_end_of_lease(scene, 7 * S + ANNOUNCED_WITHIN + GRACE - LEASE_MARGIN)


def test_a_new_address_that_refuses_keeps_what_was_left_of_the_4_s():
    scene = scene_with_moved_discovery()
    for second in (11, 13, 15, 17, 19, 21):
        scene.pass_to(second * S)
        scene.agent.on_list(ours.UNREACHABLE, [], waited=MS)
    expect_end_of_lease(scene, 21 * S + LEASE - S)


def test_a_watch_that_fell_silent_before_the_move_still_ends_the_lease():
    scene = scene_with_list()
    scene.agent.on_incomplete_list(7 * S)
    scene.agent.on_discovery_moved()
    expect_end_of_lease(scene, 7 * S + ANNOUNCED_WITHIN + GRACE - LEASE_MARGIN)


class ScriptedStream:
    """Yields prepared reads, each a second after the one before."""

    def __init__(self, *reads: bytes) -> None:
        self.reads, self.now = list(reads), 0

    async def read_bytes(self, most: int, partial: bool) -> bytes:
        self.now += S
        data = self.reads.pop(0)
        return b"%x\r\n%b\r\n" % (len(data), data)


def test_updates_of_which_each_read_holds_the_end_and_a_begin_ended_the_lease():
    """Guards against a list that counts as old for as long as discovery has much to tell."""
    update = b'{"index":2,"snapshot":false,"endpoints":[]}\n'
    stream = ScriptedStream(b"\n", update[:9], *[update[9:] + update[:9]] * 20, update[9:], b"\n")
    call = _Call(stream, lambda: stream.now)
    call.parser.take(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    call.watching = True
    asyncio.run(call.read())
    assert (call.current_at, call.arriving) == (S, 0)
    asyncio.run(call.read())
    assert call.current_at == S
    for second in range(3, 24):
        asyncio.run(call.read())
        assert (call.current_at, call.arriving) == ((second - 1) * S, S)
    asyncio.run(call.read())
    assert (call.current_at, call.arriving) == (24 * S, 0)


# ---- the node on sockets ----
class SilentDiscovery(Discovery):
    """Accepts each call, and writes the first bytes of a list, one at a time, until `release` is set."""

    def __init__(self, endpoints) -> None:
        super().__init__(endpoints)
        self.release = asyncio.Event()

    async def _serve(self, reader, writer):
        if self.release.is_set():
            await super()._serve(reader, writer)
            return
        line, _, _ = await read_request(reader)
        self.request_lines.append(line)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for byte in b'{"index":2,':
            writer.write(b"1\r\n%c\r\n" % byte)
            await asyncio.sleep(0.02)
        await self.release.wait()


@sockets
async def test_a_first_list_in_pieces_kept_the_lease_from_ending(monkeypatch):
    """The call to the new address has not failed yet, and requests are refused."""
    monkeypatch.setattr(list_lease, "ANNOUNCED_AFTER_MOVE", 100 * MS)
    async with running_node(Appliance(), drain_grace=200.0) as node:
        await node.wait_for_event("list")
        server = await SilentDiscovery(node.discovery.endpoints).start()
        reports = recorded_reports(node.daemon.engine_host, monkeypatch)
        node.daemon.discovery.move(server.address)
        client, number = await node.client(), 0
        while (await client.exchange(request_bytes(f"r{number}")))[0] == 200:
            number += 1
        assert server.request_lines and ours.UNANSWERED not in reports
        server.release.set()
        while (await client.exchange(request_bytes(f"r{number}")))[0] == 429:
            number += 1
        server.stop()


@sockets
async def test_a_configuration_with_the_same_address_is_confirmed_by_the_next_heartbeat(monkeypatch):
    monkeypatch.setattr(list_lease, "ANNOUNCED_AFTER_MOVE", 100 * MS)
    async with running_node(Appliance(), drain_grace=200.0) as node:
        await node.wait_for_event("list")
        node.daemon.reload()
        client, number = await node.client(), 0
        while (await client.exchange(request_bytes(f"r{number}")))[0] == 200:
            number += 1
        node.discovery.watches[0].write(b"1\r\n\n\r\n")
        while (await client.exchange(request_bytes(f"r{number}")))[0] == 429:
            number += 1
        assert len(node.discovery.watches) == 1


@sockets
async def test_changes_on_the_old_watch_are_followed_and_do_not_confirm_the_list(monkeypatch):
    monkeypatch.setattr(list_lease, "ANNOUNCED_AFTER_MOVE", 100 * MS)

    async def accept(reader, writer):
        await reader.read()

    async with running_node(Appliance(), Appliance(), drain_grace=200.0) as node:
        await node.wait_for_event("list")
        server = await Server(accept).start()
        node.daemon.discovery.move(server.address)
        node.discovery.send_delta({**node.discovery.endpoints[0], "status": "draining"})
        appliances = node.daemon.engine_host.appliance_list.appliances
        while appliances["s0"].state != ours.DRAINING:
            await asyncio.sleep(0.005)
        client, number = await node.client(), 0
        while (await client.exchange(request_bytes(f"r{number}")))[0] == 200:
            number += 1
        assert not node.appliances[0].requests
        server.stop()
