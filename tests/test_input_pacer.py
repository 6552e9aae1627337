"""How input is cut into slices, and whose turn it is."""

from __future__ import annotations

import asyncio
import itertools
import socket

from test_calls import sockets

from cartweir.soak import hostile_http2
from cartweir.soak.hostile_plan import Attack, HostilePlan
from cartweir.wire import calls
from cartweir.wire.connection import Connection
from cartweir.wire.input_pacer import (
    FIRST_SLICE_BYTES,
    MAX_SLICE_BYTES,
    MIN_SLICE_BYTES,
    SLICE_TIME,
    InputPacer,
    backlog_turn,
    others_wait,
)

MIN_SLICES = 60  # of several reads
SLICES_BETWEEN_CALLBACKS = 2  # the first of a read, and one left over of the read before


def test_slices_shrink_while_they_take_long_and_grow_while_they_are_quick():
    pacer = InputPacer()
    assert pacer.slice_bytes == FIRST_SLICE_BYTES
    pacer.record(SLICE_TIME)
    assert pacer.slice_bytes == FIRST_SLICE_BYTES
    for _ in range(20):
        pacer.record(2 * SLICE_TIME)
    assert pacer.slice_bytes == MIN_SLICE_BYTES
    for _ in range(20):
        pacer.record(SLICE_TIME // 10)
    assert pacer.slice_bytes == MAX_SLICE_BYTES


@sockets
async def test_connections_with_much_input_take_turns():
    order = []

    async def handle(name):
        for _ in range(3):
            async with backlog_turn():
                order.append(name)
                await asyncio.sleep(0)

    await asyncio.gather(handle("a"), handle("b"))
    assert order == ["a", "b"] * 3


@sockets
async def test_a_connection_waits_only_if_another_one_does():
    loop = asyncio.get_running_loop()
    (one, other), (third, fourth) = socket.socketpair(), socket.socketpair()
    for end in (one, third):
        end.setblocking(False)
        loop.add_reader(end.fileno(), lambda: None)
    assert not others_wait(one.fileno())
    other.send(b"x")
    assert not others_wait(one.fileno()) and others_wait(third.fileno())
    fourth.send(b"x")
    assert others_wait(one.fileno())
    for end in (one, third):
        loop.remove_reader(end.fileno())
    for end in (one, other, third, fourth):
        end.close()


@sockets
async def test_callbacks_of_others_waited_for_all_slices_of_a_read(monkeypatch):
    """Guards against callers of a service that got an answer in 20 to 70 ms beside one fast client, not 1."""
    loop, slices, most = asyncio.get_running_loop(), 0, 0
    process_slice = Connection._process_slice

    def counted(connection, data, position):
        nonlocal slices
        slices += 1
        return process_slice(connection, data, position)

    monkeypatch.setattr(Connection, "_process_slice", counted)
    service = calls.Service()
    host, port = service.listen_on("127.0.0.1:0").split(":")
    plan = HostilePlan(Attack.PINGS, f"{host}:{port}", "/a.B/C", 1, 1.0)
    client = socket.create_connection((host, int(port)))
    client.setblocking(False)
    data = b"".join(itertools.islice(hostile_http2.pieces(plan, 1), 20))
    sending = asyncio.ensure_future(loop.sock_sendall(client, data))
    while slices < MIN_SLICES:
        before = slices
        await asyncio.sleep(0)
        most = max(most, slices - before)
    assert most <= SLICES_BETWEEN_CALLBACKS
    sending.cancel()
    client.close()
    service.shutdown()


@sockets
async def test_a_connection_that_was_closed_amid_its_input_was_reported_as_an_internal_error(monkeypatch):
    loop, errors = asyncio.get_running_loop(), []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    ended = asyncio.Event()

    def close_it(accepted, stream, headers):
        accepted.connection.close("closed amid its input")
        ended.set()

    monkeypatch.setattr(calls._AcceptedConnection, "on_stream", close_it)
    service = calls.Service()
    host, port = service.listen_on("127.0.0.1:0").split(":")
    plan = HostilePlan(Attack.SMALL_REQUESTS, f"{host}:{port}", "/a.B/C", 1, 1.0)
    client = socket.create_connection((host, int(port)))
    client.setblocking(False)
    await loop.sock_sendall(client, b"".join(itertools.islice(hostile_http2.pieces(plan, 1), 3)))
    await ended.wait()
    for _ in range(10):
        await asyncio.sleep(0)
    assert errors == []
    client.close()
    service.shutdown()
