"""gRPC's encodings and HTTP/2 sessions, without sockets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cartweir.wire import grpc
from cartweir.wire.session import CONNECTION_LOST, REFUSED, RESET, UNPROCESSED, Session, SessionLimits


@given(st.integers(0, 10**15))
def test_timeouts_round_down_and_never_grow(time):
    found = grpc.decode_timeout(grpc.encode_timeout(time))
    assert found <= time and (time >= 10**8 or found == time) and time - found <= max(1000, time // 10_000)


@pytest.mark.parametrize("value", [b"", b"1", b"S", b"123456789m", b"1 S", b"-1S", b"1.5S", b"1s"])
def test_malformed_timeouts(value):
    with pytest.raises(grpc.MalformedError):
        grpc.decode_timeout(value)


@given(st.text())
def test_messages_are_percent_encoded_and_back(text):
    wire = grpc.encode_message(text)
    assert all(0x20 <= byte <= 0x7E for byte in wire)
    assert grpc.decode_message(wire) == text


@given(st.binary())
def test_binary_metadata_with_and_without_padding(value):
    wire = grpc.encode_binary(value)
    assert b"=" not in wire and grpc.decode_binary(wire) == value == grpc.decode_binary(
        wire + b"=" * (-len(wire) % 4)
    )


@given(st.lists(st.binary(max_size=40), max_size=5), st.lists(st.integers(1, 7), min_size=1))
def test_a_walk_counts_messages_however_they_are_cut(messages, cuts):
    body, walk, at, turn = b"".join(map(grpc.frame, messages)), grpc.MessageScanner(40), 0, 0
    while at < len(body):
        size = cuts[turn % len(cuts)]
        walk.feed(body[at : at + size])
        at, turn = at + size, turn + 1
    assert walk.whole and walk.messages == len(messages) and grpc.messages(body) == messages


class Side:
    """Owner and listener that writes down what it hears."""

    def __init__(self, client, limits=SessionLimits()):
        self.heard, self.streams = [], []
        self.session = Session(client, limits, self)

    def on_stream(self, stream, headers):
        self.streams.append(stream)
        self.heard.append(("stream", stream.id))
        return self

    def on_headers(self, stream, headers):
        self.heard.append(("headers", stream.id))

    def on_data(self, stream, data):
        self.heard.append(("data", stream.id, len(data)))

    def on_end(self, stream, trailers):
        self.heard.append(("end", stream.id, len(trailers)))

    def on_aborted(self, stream, how, code):
        self.heard.append(("gone", stream.id, how))

    def on_sent(self, stream, size): ...
    def on_settings(self): ...

    def on_goaway(self, code):
        self.heard.append(("closing", code))

    def take(self):
        heard, self.heard = self.heard, []
        return heard


HEADERS = grpc.request_headers(b"/a.B/C", b"x", None, ())


def pair(**limits):
    client, server = Side(True, SessionLimits(**limits)), Side(False, SessionLimits(**limits))
    exchange(client, server)
    return client, server


def exchange(one, other, room=1 << 20):
    while (out := one.session.take_output(room)) or (back := other.session.take_output(room)):
        if out:
            other.session.receive(out)
        else:
            one.session.receive(back)


def test_a_call_and_its_answer():
    client, server = pair()
    stream = client.session.open(HEADERS, client)
    stream.send_data(b"hello", end=True)
    exchange(client, server)
    assert server.take() == [("stream", 1), ("data", 1, 5), ("end", 1, 0)]
    back = server.streams[0]
    back.send_headers(grpc.response_headers())
    back.send_data(b"x" * 40_000)
    back.send_trailers(grpc.trailers(0))
    exchange(client, server)
    heard = client.take()
    assert (
        heard[0] == ("headers", 1)
        and heard[-1] == ("end", 1, 1)
        and sum(h[2] for h in heard if h[0] == "data") == 40_000
    )
    assert not client.session.streams and not server.session.streams


def test_a_stream_sends_no_more_than_its_reader_takes_and_others_go_on():
    client, server = pair(window=65_535)
    slow, brisk = client.session.open(HEADERS, client), client.session.open(HEADERS, client)
    slow.send_data(b"s" * 300_000, end=True)
    brisk.send_data(b"b" * 60_000, end=True)
    exchange(client, server)
    got = {stream_id: sum(h[2] for h in server.heard if h[:2] == ("data", stream_id)) for stream_id in (1, 3)}
    assert got == {1: 65_535, 3: 60_000} and slow.queued == 300_000 - 65_535
    server.streams[0].acknowledge(65_535)
    exchange(client, server)
    assert slow.queued == 300_000 - 2 * 65_535


def test_streams_take_turns():
    client, server = pair()
    for letter in (b"a", b"b"):
        client.session.open(HEADERS, client).send_data(letter * 50_000, end=True)
    server.session.receive(client.session.take_output(40_000))
    got = [h[1] for h in server.heard if h[0] == "data"]
    assert got[:2] == [1, 3]


def test_streams_over_the_grant_are_refused_and_the_connection_lives():
    client, server = Side(True), Side(False, SessionLimits(streams=1))
    for _ in range(2):  # before the server's settings have come
        client.session.open(HEADERS, client)
    exchange(client, server)
    assert server.session.broken is None and server.take() == [("stream", 1)]
    assert client.take() == [("gone", 3, REFUSED)] and not client.session.can_open_stream


def test_goaway_parts_the_seen_from_the_unseen():
    client, server = pair()
    client.session.open(HEADERS, client, end=True)
    exchange(client, server)
    server.session.send_goaway()
    client.session.open(HEADERS, client, end=True)  # on its way as the GOAWAY is
    late = client.session.take_output(1 << 20)
    client.session.receive(server.session.take_output(1 << 20))
    assert client.take() == [("gone", 3, UNPROCESSED), ("closing", 0)]
    server.session.receive(late)
    server.streams[0].send_headers([(b":status", b"200"), *grpc.trailers(0)], end=True)
    exchange(client, server)
    assert client.take() == [("end", 1, 2)] and [s.id for s in server.streams] == [1]
    assert not client.session.can_open_stream and client.session.broken is None


def test_resets_and_refusals_are_told_apart():
    client, server = pair()
    one, two = (client.session.open(HEADERS, client, end=True) for _ in range(2))
    exchange(client, server)
    server.streams[0].reset(7)
    server.streams[1].reset(2)
    exchange(client, server)
    assert client.take() == [("gone", one.id, REFUSED), ("gone", two.id, RESET)]


def test_what_came_before_a_fault_is_heard():
    """An answer and garbage in one piece: the answer counts, the other streams are lost."""
    client, server = pair()
    one, two = (client.session.open(HEADERS, client, end=True) for _ in range(2))
    exchange(client, server)
    server.streams[0].send_headers([(b":status", b"200"), *grpc.trailers(0)], end=True)
    client.session.receive(server.session.take_output(1 << 20) + b"\0\0\x04\x08\0\0\0\0\0\0\0\0\0")
    assert client.take() == [("end", one.id, 2), ("gone", two.id, CONNECTION_LOST)]
    assert "FlowControl" in client.session.broken or "Protocol" in client.session.broken
