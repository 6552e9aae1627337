"""HTTP/1.1 without sockets: messages out of bytes, however they are cut up."""

import gc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cartweir.node import http1
from cartweir.node.http1 import MOST_BODY, MOST_HEAD, Answers, MalformedError, Pieces, Requests

ASKED = http1.request(b"POST", b"/order/x?y=1", [(b"X-Request-ID", b"a1"), (b"X-Timeout", b"480m")], b"four")


def cut(data: bytes, places: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(place % (len(data) + 1) for place in places)})
    return [data[a:b] for a, b in zip(edges, edges[1:])]


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_a_request_is_the_same_in_any_pieces(places):
    reader, found = Requests(), []
    for piece in cut(ASKED, places):
        found += reader.feed(piece)
    (request,) = found
    assert (request.method, request.target, request.body) == (b"POST", b"/order/x?y=1", b"four")
    assert request.header(b"x-request-id") == b"a1" and request.stays and not reader.begun


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_interim_answers_are_passed_over(places):
    reader, found = Answers(), None
    for piece in cut(
        b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + http1.answer(200, b"body"),
        places,
    ):
        found = reader.feed(piece) or found
    assert (found.status, found.body, reader.surplus) == (200, b"body", False)


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
        (b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MOST_BODY + 1), 413),
        (b"POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400),
        (
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % (MOST_BODY + 1)
            + bytes(MOST_BODY + 1),
            413,
        ),
        (b"GET /a HTTP/1.1\r\n" + b"A: b\r\n" * 200, 431),
    ],
)
def test_what_is_no_request_says_so(data, status):
    reader = Requests()
    with pytest.raises(MalformedError) as found:
        assert reader.feed(data) == []
    assert found.value.status == status
    with pytest.raises(MalformedError):
        reader.feed(b"GET / HTTP/1.1\r\n\r\n")


def test_a_head_without_end_is_refused_in_bounded_memory():
    reader, sent = Requests(), 0
    with pytest.raises(MalformedError) as found:
        while sent < 10 * MOST_HEAD:
            sent += len(b"A" * 100)
            reader.feed(b"GET /a HTTP/1.1\r\nA: " if sent == 100 else b"A" * 100)
    assert found.value.status == 431 and sent < 2 * MOST_HEAD


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
def test_what_is_no_answer_says_so(data):
    reader = Answers()
    with pytest.raises(MalformedError):
        assert reader.feed(data) is None
        raise AssertionError("taken for an answer, or for the beginning of one")


@pytest.mark.parametrize("behind", [b"noise", http1.answer(200, b"body"), b"HTTP/1.1 20"])
def test_what_comes_behind_an_answer_is_told_of_but_not_taken(behind):
    reader = Answers()
    found = reader.feed(http1.answer(200, b"body") + behind)
    assert (found.body, reader.surplus) == (b"body", True)
    reader = Answers()
    assert reader.feed(http1.answer(200, b"body")).body == b"body" and not reader.surplus
    assert reader.feed(behind) is None and reader.surplus


def test_spoilt_answers_leave_nothing_to_the_collector():
    """Each kept the bytes it was read from: 4,000 of them filled 130 MB."""
    gc.collect()
    gc.disable()
    try:
        for spoilt in (
            b"noise",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(60_000),
            b"HTTP/1.1 200 OK\r\nA: " + b"b" * 60_000,
        ):
            reader = Answers()
            with pytest.raises(MalformedError):
                reader.feed(spoilt)
            reader.close()
            del reader
        assert gc.collect() == 0
    finally:
        gc.enable()


def test_an_answer_that_goes_on_is_read_as_it_comes():
    reader = Pieces()
    assert reader.take(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chun") == b"" and reader.status == 0
    assert reader.take(b"ked\r\n\r\n3\r\nab\n\r\n") == b"ab\n" and reader.status == 200
    for _ in range(3):  # more than one message's bound in all
        assert len(reader.take(b"8000\r\n" + bytes(0x8000) + b"\r\n")) == 0x8000
    reader.take(b"0\r\n\r\n")
    assert reader.answer is not None
