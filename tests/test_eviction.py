"""Which client gives way to one that waits for a place: drawn times, and a crowd on sockets."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from node_harness import Appliance, request_bytes, running_node
from test_calls import sockets
from test_endings import RawClient, wait_until
from virtual_front import CONNECTIONS, VirtualFront, play

from cartweir.logic import eviction
from cartweir.logic.eviction import (
    FEW_WAITING,
    MIN_PARTIAL_EVICTION_AGE,
    NEW_EVICTION_AGE,
    EvictionPolicy,
)
from cartweir.node import front

MS = 1_000


@given(
    st.integers(MIN_PARTIAL_EVICTION_AGE, 10_000 * MS),
    st.integers(1, 5_000),
    st.lists(st.integers(0, 5_000), min_size=1),
)
def test_the_age_falls_with_those_that_wait_and_stays_until_nobody_does(longest, places, crowds):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(eviction, "PARTIAL_EVICTION_AGE", longest)
        policy = EvictionPolicy(places)
        ages = []
        for waiting in crowds:
            policy.update(waiting)
            ages.append(policy.partial_age)
    most = 0  # that waited at a time since nobody did
    for waiting, age in zip(crowds, ages, strict=True):
        most = max(most, waiting) if waiting else 0
        assert MIN_PARTIAL_EVICTION_AGE <= age <= longest
        if most <= FEW_WAITING * places:
            assert age == longest
        elif age > MIN_PARTIAL_EVICTION_AGE:
            # until the last of them has a place
            assert FEW_WAITING * longest - most / places <= age * most / places <= FEW_WAITING * longest


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1_000), st.integers(1, 700), st.booleans())
def test_a_half_request_gives_way_at_its_age_and_a_silent_client_before_it(waiting, milliseconds, silent):
    """Guards against usual clients that wait behind a crowd of half requests (review/1)."""

    async def scenario(virtual: VirtualFront) -> None:
        half = virtual.connect()
        half.on_data(request_bytes("half")[:20])
        quiet = virtual.connect() if silent else None
        await asyncio.sleep(milliseconds / 1000)
        virtual.front._listener = object()
        age, now_silent = milliseconds * MS, bool(quiet) and milliseconds * MS >= NEW_EVICTION_AGE
        policy = EvictionPolicy(CONNECTIONS)
        policy.update(waiting)
        half_goes = age >= policy.partial_age
        assert virtual.front._evict() == (now_silent or half_goes)
        assert half.socket.closed == (half_goes and not now_silent)
        assert quiet is None or quiet.socket.closed == now_silent

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(front, "waiting_connections", lambda listener: waiting)
        play(scenario, remembered_ids=256)


@sockets
async def test_a_client_is_served_behind_a_crowd_that_stops_amid_its_requests(monkeypatch):
    """Without the change each place changes hands after 0.7 s only, and 10 clients wait for each."""
    monkeypatch.setattr(eviction, "PARTIAL_EVICTION_AGE", 700 * MS)
    async with running_node(Appliance(), sockets=64) as node:
        places = node.daemon.front.max_clients
        crowd = [RawClient(node.address) for _ in range(places)]
        for client in crowd:
            client.write(request_bytes("half")[:20])
        await wait_until(lambda: len(node.daemon.front.clients) == places)
        for _ in range(10 * places):
            crowd.append(RawClient(node.address))
            crowd[-1].write(request_bytes("half")[:20])
        usual = RawClient(node.address)
        usual.write(request_bytes("usual", X_Timeout="3000m"))
        assert (await usual.answer())[0] == 200
        for client in (*crowd, usual):
            client.socket.close()


@sockets
async def test_half_requests_have_their_whole_time_again_once_nobody_waits():
    """Guards against a crowd that is remembered after it has gone."""
    async with running_node(Appliance()) as node:
        node.daemon.front._eviction.update(1_000_000)
        client = RawClient(node.address)
        client.write(request_bytes("usual"))
        assert (await client.answer())[0] == 200
        assert not node.daemon.front._eviction.many_wait
        client.socket.close()
