"""Review, case 8: an answer that is longer than it says was served cut, as a whole one."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from node_harness import (
    Appliance,
    NodeHarness,
    Server,
    ok_response,
    read_request,
    request_bytes,
    running_node,
)
from peers import ISSUE, framed, rig, tail
from peers import answer as grpc_answer
from test_calls import after_first, ask, sockets

from cartweir.hosting.tcp import SOCKET_READ_SIZE
from cartweir.node.http1 import ResponseParser

OPERATIONS = ("view", "order", "issue")  # idempotent, fingerprinted, side-effecting
HEAD = b"HTTP/1.1 200 OK\r\n"


def with_length(part: bytes) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(part), part)


def closing(part: bytes) -> bytes:
    return HEAD + b"Connection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(part), part)


def chunked(part: bytes) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (len(part), part) if part else b""
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


def with_trailer(part: bytes) -> bytes:
    return chunked(part)[:-2] + b"X-Sum: 1\r\n\r\n"


def after_interim(part: bytes) -> bytes:
    return b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + with_length(part)


FRAMINGS = (with_length, closing, chunked, with_trailer, after_interim)
BODIES = st.binary(min_size=1, max_size=60) | st.text("\r\n 0a", min_size=1, max_size=12).map(str.encode)


def feed_in_reads(parser: ResponseParser, data: bytes, positions: list[int]) -> None:
    ends = sorted({*(position % len(data) for position in positions), len(data)})
    for start, end in zip([0, *ends], ends, strict=False):
        parser.feed(data[start:end])


@given(st.sampled_from(FRAMINGS), BODIES, st.integers(0, 100), st.lists(st.integers(0, 200), max_size=4))
def test_an_answer_longer_than_it_says_was_taken_for_a_whole_one(framing, body, cut, positions):
    """Guards against a cut body passed on as a whole answer, in whatever reads it arrives."""
    cut %= len(body)
    parser = ResponseParser()
    feed_in_reads(parser, framing(body[:cut]) + body[cut:], positions)
    assert parser.response.body == body[:cut] and parser.has_extra_data and not parser.length_fits


@given(
    st.sampled_from((with_length, chunked, with_trailer)),
    BODIES,
    st.integers(0, 3),
    st.lists(st.integers(0, 400), max_size=4),
)
def test_an_answer_and_copies_of_it_are_whole(framing, body, copies, positions):
    parser = ResponseParser()
    feed_in_reads(parser, framing(body) * (1 + copies), positions)
    assert parser.response.body == body and parser.length_fits
    assert parser.has_extra_data == (copies > 0)


@pytest.mark.parametrize(
    "behind",
    [
        with_length(b"bode"),
        with_length(b"bo"),
        HEAD + b"Content-Length: 4\r\nA: b\r\n\r\nbody",
        b"HTTP/1.1 500 Oh\r\nContent-Length: 4\r\n\r\nbody",
        with_length(b"body")[:-6],  # within its head
        with_length(b"body") + b"noise",
        with_length(b"body") + with_length(b"boda"),
        b"\r\n",
    ],
)
def test_only_copies_of_an_answer_show_that_its_length_fits(behind):
    parser = ResponseParser()
    assert parser.feed(with_length(b"body") + behind).body == b"body"
    assert not parser.length_fits


def test_a_parser_goes_on_with_the_next_answer_after_one_that_fits():
    parser = ResponseParser()
    for body in (b"one", b"", b"three"):
        parser.next()
        assert parser.feed(with_length(body)).body == body
        assert parser.length_fits and not parser.has_extra_data


def test_answers_with_copies_behind_them_leave_no_reference_cycles():
    gc.collect()
    gc.disable()
    try:
        parser = ResponseParser()
        parser.feed(with_length(b"body") * 2 + b"noise")
        parser.close()
        del parser
        assert gc.collect() == 0
    finally:
        gc.enable()


# ---- the node ----
def made_for(headers: dict[str, str], filler: int = 0) -> bytes:
    return b"made for " + headers["x-request-id"].encode() + b"." * filler


class SpoilingAppliances:
    """Three appliances; what answers the next `left` requests is `spoilt`, given the right body."""

    def __init__(self, spoilt, filler: int = 0) -> None:
        self.spoilt, self.filler, self.left = spoilt, filler, 0
        self.appliances = [Appliance(self.serve) for _ in range(3)]

    def serve(self, line: str, headers: dict[str, str], body: bytes) -> bytes:
        right = made_for(headers, self.filler)
        if not self.left:
            return ok_response(right)
        self.left -= 1
        return self.spoilt(right)

    def attempts(self, request_id: str) -> int:
        return sum(
            headers["x-request-id"] == request_id
            for appliance in self.appliances
            for _, headers, _ in appliance.requests
        )


async def answers_to_one_of_each(node: NodeHarness, spoiling: SpoilingAppliances) -> dict[str, tuple]:
    """Returns status and attempts for one request of each effect, whose first answer is spoilt."""
    client, found = await node.client(), {}
    for operation in OPERATIONS:
        spoiling.left = 1
        status, _, body = await client.exchange(request_bytes(operation, operation))
        right = made_for({"x-request-id": operation}, spoiling.filler)
        assert status != 200 or body == right, f"{operation} was served {body!r}"
        found[operation] = status, spoiling.attempts(operation)
    return found


FAILED_ONCE = {"view": (200, 2), "order": (200, 2), "issue": (500, 1)}


@pytest.mark.parametrize("framing", FRAMINGS)
@sockets
async def test_the_first_half_of_an_answer_was_served_as_a_whole_one(framing):
    """Guards against the cut answer of a length that does not fit; it has run, and so counts as lost."""
    spoiling = SpoilingAppliances(lambda right: framing(right[: len(right) // 2]) + right[len(right) // 2 :])
    async with running_node(*spoiling.appliances) as node:
        assert await answers_to_one_of_each(node, spoiling) == FAILED_ONCE
        assert (await node.wait_for_event("bad_answer"))["why"] == "more than its length covers"


@pytest.mark.parametrize("framing", [with_length, chunked])
@sockets
async def test_a_cut_answer_was_served_whose_rest_came_with_the_next_read(framing):
    """The answer by its own length ends just where the first read of the socket does."""

    sizes = (size for size in range(SOCKET_READ_SIZE) if len(framing(bytes(size))) == SOCKET_READ_SIZE)
    size = next(sizes)

    def spoilt(right: bytes) -> bytes:
        return framing(right[:size]) + right[size:]

    spoiling = SpoilingAppliances(spoilt, filler=2 * SOCKET_READ_SIZE)
    async with running_node(*spoiling.appliances) as node:
        assert await answers_to_one_of_each(node, spoiling) == FAILED_ONCE


@sockets
async def test_an_answer_without_its_last_line_break_was_served():
    """The parser of the messages skips line breaks behind an answer, which may belong to its body."""
    spoiling = SpoilingAppliances(lambda right: ok_response(right) + b"\n")
    async with running_node(*spoiling.appliances) as node:
        assert await answers_to_one_of_each(node, spoiling) == FAILED_ONCE


@pytest.mark.parametrize("filler", [0, SOCKET_READ_SIZE * 2 // 3], ids=["one read", "several reads"])
@sockets
async def test_good_answers_with_a_copy_behind_them_are_served_at_once(filler):
    spoiling = SpoilingAppliances(lambda right: 2 * ok_response(right), filler)
    async with running_node(*spoiling.appliances) as node:
        assert await answers_to_one_of_each(node, spoiling) == dict.fromkeys(OPERATIONS, (200, 1))


@sockets
async def test_data_that_comes_after_an_answer_was_served_is_logged_and_reaches_nobody():
    """Nothing shows beforehand that it will come: its connection ends, and the log tells of it."""
    served = asyncio.Event()
    counts: Counter[str] = Counter()

    async def serve(reader, writer):
        while True:
            _, headers, _ = await read_request(reader)
            counts[headers["x-request-id"]] += 1
            writer.write(ok_response(made_for(headers)))
            if len(counts) == 1:
                await served.wait()
                writer.write(b"the rest")

    async with running_node(await Server(serve).start()) as node:
        client = await node.client()
        assert (await client.exchange(request_bytes("a", "issue")))[::2] == (200, b"made for a")
        served.set()
        assert (await node.wait_for_event("late_data"))["size"] == len(b"the rest")
        assert (await client.exchange(request_bytes("b", "issue")))[::2] == (200, b"made for b")
        assert counts == {"a": 1, "b": 1}


# ---- the gRPC agent ----
def longer_than_its_content_length(appliance, peer, stream, number):
    headers = [(":status", "200"), ("content-type", "application/grpc"), ("content-length", "6")]
    peer.h2.send_headers(stream, headers)
    peer.write()
    # h2 would refuse to send more than that
    body = framed(b"fine")
    peer.writer.write(len(body).to_bytes(3, "big") + b"\x00\x00" + stream.to_bytes(4, "big") + body)
    block = peer.h2.encoder.encode([("grpc-status", "0")])
    peer.writer.write(len(block).to_bytes(3, "big") + b"\x01\x05" + stream.to_bytes(4, "big") + block)


def longer_than_its_prefix(appliance, peer, stream, number):
    peer.h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
    peer.h2.send_data(stream, framed(b"fi") + b"ne")
    tail(peer, stream)


@pytest.mark.parametrize("spoilt", [longer_than_its_content_length, longer_than_its_prefix])
@sockets
async def test_a_grpc_answer_longer_than_it_says_is_not_passed_on(tmp_path, spoilt):
    act = after_first(spoilt, grpc_answer)
    async with rig(tmp_path, act, act) as it:
        got = await ask(it)
        assert got.status == "0" and got.body == framed(b"fine") and it.dispatched == 2
    async with rig(tmp_path, spoilt) as it:
        got = await ask(it, ISSUE)
        assert got.tail["cartweir-answer"] == "terminated" and got.body == b"" and it.dispatched == 1
