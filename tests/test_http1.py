"""The HTTP/1.1 parsers without sockets."""

import gc
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cartweir.node import http1
from cartweir.node.http1 import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    HttpError,
    RequestParser,
    ResponseParser,
    StreamedResponseParser,
)

REQUEST = http1.encode_request(
    b"POST", b"/order/x?y=1", [(b"X-Request-ID", b"a1"), (b"X-Timeout", b"480m")], b"four"
)


def cut(data: bytes, positions: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(position % (len(data) + 1) for position in positions)})
    return [data[a:b] for a, b in itertools.pairwise(edges)]


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_request_is_parsed_the_same_in_any_pieces(positions):
    parser, found = RequestParser(), []
    for piece in cut(REQUEST, positions):
        found += filter(None, [parser.feed(piece)])
    (request,) = found
    assert (request.method, request.target, request.body) == (b"POST", b"/order/x?y=1", b"four")
    assert request.header(b"x-request-id") == b"a1" and request.keep_alive and not parser.in_message


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_interim_responses_are_ignored(positions):
    parser, found = ResponseParser(), None
    for piece in cut(
        b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
        + http1.encode_response(200, b"body"),
        positions,
    ):
        found = parser.feed(piece) or found
    assert (found.status, found.body, parser.has_extra_data) == (200, b"body", False)


@pytest.mark.parametrize(
    "data,status",
    [
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400),
        (b"POST /a HTTP/1.1\nContent-Length: 3\n\nabc", 400),
        (b"GET /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (b"POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400),
        (
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % (MAX_BODY_BYTES + 1)
            + bytes(MAX_BODY_BYTES + 1),
            413,
        ),
        (b"GET /a HTTP/1.1\r\n" + b"A: b\r\n" * 200, 431),
    ],
)
def test_invalid_request_is_rejected_with_its_status(data, status):
    parser = RequestParser()
    with pytest.raises(HttpError) as found:
        assert parser.feed(data) is None
    assert found.value.status == status
    with pytest.raises(HttpError):
        parser.feed(b"GET / HTTP/1.1\r\n\r\n")


def test_endless_head_is_rejected_in_bounded_memory():
    parser, sent = RequestParser(), 0
    with pytest.raises(HttpError) as found:
        while sent < 10 * MAX_HEAD_BYTES:
            sent += len(b"A" * 100)
            parser.feed(b"GET /a HTTP/1.1\r\nA: " if sent == 100 else b"A" * 100)
    assert found.value.status == 431 and sent < 2 * MAX_HEAD_BYTES


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 99 x\r\n\r\n",
        b"noise\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_invalid_response_is_rejected(data):
    parser = ResponseParser()
    with pytest.raises(HttpError):
        assert parser.feed(data) is None
        raise AssertionError("accepted as a response, or as the beginning of one")


@pytest.mark.parametrize("behind", [b"noise", http1.encode_response(200, b"body"), b"HTTP/1.1 20"])
def test_data_after_a_response_is_flagged_and_not_parsed(behind):
    parser = ResponseParser()
    found = parser.feed(http1.encode_response(200, b"body") + behind)
    assert (found.body, parser.has_extra_data) == (b"body", True)
    parser = ResponseParser()
    assert parser.feed(http1.encode_response(200, b"body")).body == b"body" and not parser.has_extra_data
    assert parser.feed(behind) is None and parser.has_extra_data


def test_rejected_responses_leave_no_reference_cycles():
    """Guards against parsers in reference cycles that keep their input: 4,000 of them held 130 MB."""
    gc.collect()
    gc.disable()
    try:
        for response in (
            b"noise",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(60_000),
            b"HTTP/1.1 200 OK\r\nA: " + b"b" * 60_000,
        ):
            parser = ResponseParser()
            with pytest.raises(HttpError):
                parser.feed(response)
            parser.close()
            del parser
        assert gc.collect() == 0
    finally:
        gc.enable()


def test_streamed_response_is_read_as_it_arrives():
    parser = StreamedResponseParser()
    assert parser.take(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chun") == b"" and parser.status == 0
    assert parser.take(b"ked\r\n\r\n3\r\nab\n\r\n") == b"ab\n" and parser.status == 200
    for _ in range(3):  # more in total than the limit of one message
        assert len(parser.take(b"8000\r\n" + bytes(0x8000) + b"\r\n")) == 0x8000
    parser.take(b"0\r\n\r\n")
    assert parser.response is not None


def test_a_watch_whose_chunks_arrive_in_pieces_is_not_taken_for_trailers_without_an_end():
    parser = StreamedResponseParser()
    parser.take(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(MAX_HEAD_BYTES):
        assert parser.take(b"2") + parser.take(b"\r\n\r") + parser.take(b"\n\r\n") == b"\r\n"


def test_trailers_without_an_end_are_refused_and_so_are_extensions_of_chunks():
    for begin in (b"0\r\nA: ", b"5;"):
        parser = RequestParser()
        parser.feed(b"POST /order/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + begin)
        with pytest.raises(HttpError) as error:
            for _ in range(MAX_HEAD_BYTES // 1000 + 2):
                parser.feed(b"x" * 1000)
        assert error.value.status == 431


def test_a_thousand_requests_in_one_read_are_parsed_no_further_than_to_the_second():
    parser = RequestParser()
    begun = []
    begin = RequestParser.on_message_begin
    parser.on_message_begin = lambda: begun.append(begin(parser))
    with pytest.raises(HttpError) as error:
        parser.feed(b"GET /a HTTP/1.1\r\n\r\n" * 1000)
    assert error.value.status == 400 and len(begun) <= 2
