"""Heads with more than one id or fingerprint, and trailers that bring another."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from node_harness import request_bytes
from virtual_front import Script, VirtualFront, play

from cartweir import interface as ours
from cartweir.node.client_connection import ClientConnection

PLACES = 64
QUICK = Script(ours.SUCCEEDED, 0.02)
IDS = st.sampled_from(["own", "other"])  # 'other' has run
REFUSED = 400


def with_header(head: bytes, position: int, line: bytes) -> bytes:
    """Returns a request with one more header, behind so many of its own."""
    lines = head.split(b"\r\n")
    lines.insert(1 + position % (lines.index(b"") - 1), line)
    return b"\r\n".join(lines)


async def answered(virtual: VirtualFront, data: bytes, cuts: list[int]) -> ClientConnection:
    """Sends bytes in pieces, and returns the connection once they are answered."""
    client, begin = virtual.connect(), 0
    for end in [*sorted(cut % len(data) for cut in cuts), len(data)]:
        if end > begin:
            client.on_data(data[begin:end])
        begin = max(begin, end)
    await asyncio.sleep(2 * QUICK.seconds)
    return client


@settings(max_examples=60, deadline=None)
@given(IDS, IDS, st.integers(0, 9), st.lists(st.integers(0, 400), max_size=3), st.booleans())
def test_a_head_with_two_ids_is_refused(first, second, position, cuts, upper):
    """Guards against two ids that are joined to one that no client sent, and that is not known as either."""

    async def scenario(virtual: VirtualFront) -> None:
        virtual.scripts = {"other": QUICK}
        await answered(virtual, request_bytes("other", "issue"), [])
        name = "X-REQUEST-ID" if upper else "X-Request-ID"
        data = with_header(request_bytes(first, "issue"), position, f"{name}: {second}".encode())
        client = await answered(virtual, data, cuts)
        assert client.socket.written.split(b" ")[1] == b"%d" % REFUSED
        assert list(virtual.runs.attempts) == ["other"]

    play(scenario, remembered_ids=PLACES)


def test_a_head_with_two_fingerprints_is_refused():
    async def scenario(virtual: VirtualFront) -> None:
        data = with_header(request_bytes("own", "order"), 0, b"Idempotency-Key: one-more")
        client = await answered(virtual, data, [])
        assert client.socket.written.split(b" ")[1] == b"%d" % REFUSED
        assert not virtual.runs.attempts

    play(scenario, remembered_ids=PLACES)


@pytest.mark.parametrize("name", [b"X-Request-ID", b"Idempotency-Key"])
def test_a_trailer_does_not_change_an_id(name):
    async def scenario(virtual: VirtualFront) -> None:
        virtual.scripts = {"own": QUICK}
        head = request_bytes("own", "order", Content_Length=None, Transfer_Encoding="chunked")
        data = head.replace(b"body", b"") + b"4\r\nbody\r\n0\r\n" + name + b": other\r\n\r\n"
        client = await answered(virtual, data, [])
        assert client.socket.written.split(b" ")[1] == b"200"
        assert list(virtual.runs.attempts) == ["own"]
        assert virtual.heads["own"] == {b"X-Request-ID": b"own", b"Idempotency-Key": b"key-of-own"}

    play(scenario, remembered_ids=PLACES)
