"""gRPC's encodings and HTTP/2 sessions, without sockets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cartweir.wire import grpc
from cartweir.wire.pieces import MIN_PIECE_BYTES
from cartweir.wire.session import CONNECTION_LOST, REFUSED, RESET, UNPROCESSED, Session, SessionLimits


@given(st.integers(0, 10**15))
def test_timeouts_round_down_and_never_grow(time):
    found = grpc.decode_timeout(grpc.encode_timeout(time))
    assert found <= time and (time >= 10**8 or found == time) and time - found <= max(1000, time // 10_000)


@pytest.mark.parametrize("value", [b"", b"1", b"S", b"123456789m", b"1 S", b"-1S", b"1.5S", b"1s"])
def test_malformed_timeouts_are_rejected(value):
    with pytest.raises(grpc.MalformedError):
        grpc.decode_timeout(value)


@given(st.text())
def test_status_messages_survive_percent_encoding(text):
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
def test_scanner_counts_messages_in_any_pieces(messages, cuts):
    body, scanner, at, turn = b"".join(map(grpc.frame, messages)), grpc.MessageScanner(40), 0, 0
    while at < len(body):
        size = cuts[turn % len(cuts)]
        scanner.feed(body[at : at + size])
        at, turn = at + size, turn + 1
    assert scanner.whole and scanner.messages == len(messages) and grpc.messages(body) == messages


DEFAULT_LIMITS = SessionLimits()


class Side:
    """The owner of one end and the listener of its streams; records all events."""

    def __init__(self, client, limits=DEFAULT_LIMITS):
        self.events, self.streams = [], []
        self.session = Session(client, limits, self)

    def on_stream(self, stream, headers):
        self.streams.append(stream)
        self.events.append(("stream", stream.id))
        return self

    def on_headers(self, stream, headers):
        self.events.append(("headers", stream.id))

    def on_data(self, stream, data):
        self.events.append(("data", stream.id, len(data)))

    def on_end(self, stream, trailers):
        self.events.append(("end", stream.id, len(trailers)))

    def on_aborted(self, stream, how, code):
        self.events.append(("aborted", stream.id, how))

    def on_sent(self, stream, size): ...
    def on_settings(self): ...

    def on_goaway(self, code):
        self.events.append(("goaway", code))

    def take(self):
        events, self.events = self.events, []
        return events


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


def test_request_and_response_with_trailers():
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
    events = client.take()
    assert (
        events[0] == ("headers", 1)
        and events[-1] == ("end", 1, 1)
        and sum(h[2] for h in events if h[0] == "data") == 40_000
    )
    assert not client.session.streams and not server.session.streams


def test_flow_control_limits_one_stream_and_not_the_others():
    client, server = pair(window=65_535)
    slow, brisk = client.session.open(HEADERS, client), client.session.open(HEADERS, client)
    slow.send_data(b"s" * 300_000, end=True)
    brisk.send_data(b"b" * 60_000, end=True)
    exchange(client, server)
    got = {
        stream_id: sum(h[2] for h in server.events if h[:2] == ("data", stream_id)) for stream_id in (1, 3)
    }
    assert got == {1: 65_535, 3: 60_000} and slow.queued == 300_000 - 65_535
    server.streams[0].acknowledge(65_535)
    exchange(client, server)
    assert slow.queued == 300_000 - 2 * 65_535


def test_streams_take_turns():
    client, server = pair()
    for letter in (b"a", b"b"):
        client.session.open(HEADERS, client).send_data(letter * 50_000, end=True)
    server.session.receive(client.session.take_output(40_000))
    got = [h[1] for h in server.events if h[0] == "data"]
    assert got[:2] == [1, 3]


def test_streams_over_the_limit_are_refused_and_the_connection_goes_on():
    client, server = Side(True), Side(False, SessionLimits(streams=1))
    for _ in range(2):  # before the server's settings have arrived
        client.session.open(HEADERS, client)
    exchange(client, server)
    assert server.session.failure is None and server.take() == [("stream", 1)]
    assert client.take() == [("aborted", 3, REFUSED)] and not client.session.can_open_stream


def test_goaway_separates_processed_from_unprocessed_streams():
    client, server = pair()
    client.session.open(HEADERS, client, end=True)
    exchange(client, server)
    server.session.send_goaway()
    client.session.open(HEADERS, client, end=True)  # in flight at the same time as the GOAWAY
    late = client.session.take_output(1 << 20)
    client.session.receive(server.session.take_output(1 << 20))
    assert client.take() == [("aborted", 3, UNPROCESSED), ("goaway", 0)]
    server.session.receive(late)
    server.streams[0].send_headers([(b":status", b"200"), *grpc.trailers(0)], end=True)
    exchange(client, server)
    assert client.take() == [("end", 1, 2)] and [s.id for s in server.streams] == [1]
    assert not client.session.can_open_stream and client.session.failure is None


def test_resets_and_refusals_are_distinguished():
    client, server = pair()
    one, two = (client.session.open(HEADERS, client, end=True) for _ in range(2))
    exchange(client, server)
    server.streams[0].reset(7)
    server.streams[1].reset(2)
    exchange(client, server)
    assert client.take() == [("aborted", one.id, REFUSED), ("aborted", two.id, RESET)]


def test_events_before_a_protocol_error_are_delivered():
    """A response and garbage in one piece of input: the response counts, the other streams are lost."""
    client, server = pair()
    one, two = (client.session.open(HEADERS, client, end=True) for _ in range(2))
    exchange(client, server)
    server.streams[0].send_headers([(b":status", b"200"), *grpc.trailers(0)], end=True)
    client.session.receive(server.session.take_output(1 << 20) + b"\0\0\x04\x08\0\0\0\0\0\0\0\0\0")
    assert client.take() == [("end", one.id, 2), ("aborted", two.id, CONNECTION_LOST)]
    assert "FlowControl" in client.session.failure or "Protocol" in client.session.failure


def test_a_call_that_was_reset_within_the_same_input_was_begun():
    client, server = pair()
    server.session.begins_cancelled = False
    left, kept = (
        client.session.open(HEADERS, client, end=True),
        client.session.open(HEADERS, client, end=True),
    )
    left.reset()
    exchange(client, server)
    assert server.take() == [("stream", kept.id), ("end", kept.id, 0)]
    assert list(server.session.streams) == [kept.id]


def test_a_queue_of_tiny_pieces_took_many_times_their_size():
    client, server = pair(window=65_535)
    stream = client.session.open(HEADERS, client)
    for _ in range(100_000):
        stream.send_data(b"xy")
    assert stream.queued == 200_000 and len(stream._queue) <= 200_000 / MIN_PIECE_BYTES + 1
    exchange(client, server)
    assert sum(event[2] for event in server.take() if event[0] == "data") == 65_535
