"""Objects out of a stream, without sockets: however they are laid out and cut up, the same ones; what breaks off is told."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cartweir.node.jsonstream import JsonStream

TOLD = [
    {
        "index": 41,
        "snapshot": True,
        "endpoints": [{"name": "s-}{", "zone": 'a"}\\', "n": [1, {}, []]}, {"name": "é"}],
    },
    {"index": 42, "snapshot": False, "endpoints": []},
    {},
]
FORMS = {
    "a line each": lambda told: json.dumps(told),
    "indented": lambda told: json.dumps(told, indent=2),
    "tabs": lambda told: json.dumps(told, indent="\t", ensure_ascii=False),
    "carriage returns": lambda told: json.dumps(told, indent=1).replace("\n", "\r\n"),
}


def text_of(form: str) -> bytes:
    return b"\n".join(FORMS[form](told).encode() + b"\n" for told in TOLD)


@pytest.mark.parametrize("form", FORMS)
def test_objects_are_the_same_cut_at_every_byte(form):
    text = text_of(form)
    for cut in range(len(text) + 1):
        stream = JsonStream(10_000)
        assert stream.feed(text[:cut]) + stream.feed(text[cut:]) == TOLD


@given(st.sampled_from(sorted(FORMS)), st.lists(st.integers(0, 2000), max_size=12))
def test_objects_are_the_same_in_any_pieces(form, places):
    text = text_of(form)
    edges, stream = sorted({0, len(text), *(place % (len(text) + 1) for place in places)}), JsonStream(10_000)
    assert [told for a, b in zip(edges, edges[1:]) for told in stream.feed(text[a:b])] == TOLD


@pytest.mark.parametrize("form", FORMS)
def test_an_object_that_lacks_its_end_is_never_taken_and_stands_in_no_other_way(form):
    """Cut at every byte, and followed by a sign of life, with or without another object before it: told as broken, and that
    one is not taken for a part of it."""
    text = FORMS[form](TOLD[0]).encode()
    for cut in range(1, len(text)):
        for behind in (b"\n\n", b"\n" + FORMS[form](TOLD[1]).encode() + b"\n\n"):
            stream = JsonStream(10_000)
            with pytest.raises(ValueError):
                assert stream.feed(text[:cut]) == []
                assert stream.feed(behind) == []


def test_an_object_is_there_before_the_end_of_its_line():
    assert JsonStream(1000).feed(b'{"index": 1}') == [{"index": 1}]


def test_two_objects_on_a_line_are_two():
    assert JsonStream(1000).feed(b'{"index": 1} {"index": 2}\n') == [{"index": 1}, {"index": 2}]


@pytest.mark.parametrize(
    "data", [b"noise\n", b'{"a": }\n', b"}\n", b'{"a": 1} x\n', b"\xff\xfe{}\n", b'{"a": "' + b"x" * 2000]
)
def test_what_is_no_object_is_told_with_the_next_sign_of_life(data):
    with pytest.raises(ValueError):
        JsonStream(1000).feed(data + b"\n")
