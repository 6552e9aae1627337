"""Streams that the client resets in the same input in which others begin: drawn frames and pieces."""

from __future__ import annotations

import asyncio
import itertools

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from peers import VIEW, Appliance, answer, framed, rig
from test_calls import sockets

from cartweir.soak import hostile_http2 as frames
from cartweir.wire import grpc
from cartweir.wire.calls import Service
from cartweir.wire.session import Session, SessionLimits

CALLS = 4
BLOCK = frames.header_block(VIEW)
MESSAGE = framed(b"please")
BEGINS = frames.PREFACE + frames.frame(frames.SETTINGS, 0, 0)
AT_HEADERS, AT_END, LATER = "headers", "end", "later"


def begin(stream):
    return frames.frame(frames.HEADERS, frames.END_HEADERS, stream, BLOCK)


def end(stream):
    return frames.frame(frames.DATA, frames.END_STREAM, stream, MESSAGE)


def reset(stream):
    return frames.frame(frames.RST_STREAM, 0, stream, frames.CANCEL.to_bytes(4, "big"))


def call_frames(stream, is_reset):
    return begin(stream) + end(stream) + (reset(stream) if is_reset else b"")


class Answers:
    """Owns a server's session, and answers each call at a moment of its own."""

    def __init__(self, moments) -> None:
        self.moments = moments
        self.streams = {}
        self.answered = []

    def on_stream(self, stream, headers):
        self.streams[stream.id] = stream
        self.answer(stream, AT_HEADERS)
        return self

    def answer(self, stream, moment):
        if self.moments[stream.id // 2] == moment:
            stream.send_headers(grpc.response_headers() + grpc.trailers(0), end=True)
            self.answered.append(stream.id)

    def on_headers(self, stream, headers):
        pass

    def on_data(self, stream, data):
        stream.acknowledge(len(data))

    def on_end(self, stream, trailers):
        self.answer(stream, AT_END)

    def on_aborted(self, stream, how, code):
        pass

    def on_sent(self, stream, size):
        pass

    def on_settings(self):
        pass

    def on_goaway(self, code):
        pass


@pytest.mark.parametrize("begins_cancelled", [True, False])
@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.booleans(), min_size=CALLS, max_size=CALLS),
    st.lists(st.sampled_from([AT_HEADERS, AT_END, LATER]), min_size=CALLS, max_size=CALLS),
    st.lists(st.integers(0, 800), max_size=4),
)
@example([True, False, False, False], [AT_END] * CALLS, [])
@example([True, False, False, False], [AT_END] * CALLS, [len(BEGINS + begin(1))])
def test_a_stream_that_is_reset_takes_no_other_with_it(begins_cancelled, resets, moments, cuts):
    """Guards against a connection that ends with all its calls, for an answer to a call that is gone."""
    owner = Answers(moments)
    session = Session(False, SessionLimits(), owner)
    session.begins_cancelled = begins_cancelled
    data = BEGINS + b"".join(call_frames(1 + 2 * number, gone) for number, gone in enumerate(resets))
    places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for first, last in itertools.pairwise(places):
        session.receive(data[first:last])
    for stream in list(owner.streams.values()):
        owner.answer(stream, LATER)
    assert session.failure is None
    kept = [1 + 2 * number for number, gone in enumerate(resets) if not gone]
    assert set(kept) <= set(owner.answered)
    assert not session.streams


class RawPeer:
    """A client that writes frames as they are given, and takes note of the streams that were answered."""

    def __init__(self, reader, writer) -> None:
        self.reader, self.writer = reader, writer
        self.answered = set()
        writer.write(BEGINS)

    @classmethod
    async def connect(cls, address):
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def until_answered(self, stream):
        while stream not in self.answered:
            head = await self.reader.readexactly(9)
            await self.reader.readexactly(int.from_bytes(head[:3], "big"))
            if head[3] == frames.HEADERS and head[4] & frames.END_STREAM:
                self.answered.add(int.from_bytes(head[5:], "big"))


@sockets
async def test_an_agent_answers_the_other_calls_of_a_connection_on_which_one_was_reset(tmp_path):
    """Guards against calls that are lost with their connection, as a refused one is reset meanwhile."""
    release = asyncio.Event()

    async def late(who, peer, stream, number):
        await release.wait()
        answer(who, peer, stream, number)
        peer.write()

    async with rig(tmp_path, late) as it:
        client = await RawPeer.connect(it.address)
        client.writer.write(call_frames(1, False) + begin(3))
        while not it.dispatched or it.daemon.front.memory.held == 0:
            await asyncio.sleep(0.001)
        two_messages = frames.frame(frames.DATA, frames.END_STREAM, 3, 2 * MESSAGE)
        client.writer.write(two_messages + reset(3) + call_frames(5, False))
        while it.dispatched < 2:
            await asyncio.sleep(0.001)
        release.set()
        await client.until_answered(1)
        await client.until_answered(5)
        client.writer.close()


@sockets
async def test_a_service_answers_the_other_calls_of_a_connection_on_which_one_was_reset():
    """The same at the server of controllers, at which a call of an unknown method is reset."""
    service = Service()

    async def echo(request):
        return request.message

    service.handlers[VIEW] = echo
    client = await RawPeer.connect(service.listen_on("127.0.0.1:0"))
    unknown = frames.frame(frames.HEADERS, frames.END_HEADERS, 1, frames.header_block("/no/Method"))
    client.writer.write(unknown + end(1) + reset(1) + call_frames(3, False))
    await client.until_answered(3)
    client.writer.close()
    service.shutdown()


@sockets
async def test_a_scripted_appliance_goes_on_behind_a_call_that_was_reset():
    """Guards against the stand-in that fell silent, so that calls of others timed out beside resets."""
    appliance = Appliance(answer)
    client = await RawPeer.connect(await appliance.listen())
    client.writer.write(call_frames(1, True) + call_frames(3, False))
    await client.until_answered(3)
    client.writer.close()
    appliance.close()
