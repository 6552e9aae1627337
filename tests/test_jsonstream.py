"""The JSON stream decoder, without sockets."""

from __future__ import annotations

import itertools
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cartweir.node.jsonstream import JsonStream

VALUES = [
    {
        "index": 41,
        "snapshot": True,
        "endpoints": [{"name": "s-}{", "zone": 'a"}\\', "n": [1, {}, []]}, {"name": "é"}],
    },
    {"index": 42, "snapshot": False, "endpoints": []},
    {},
]
FORMS = {
    "a line each": json.dumps,
    "indented": lambda value: json.dumps(value, indent=2),
    "tabs": lambda value: json.dumps(value, indent="\t", ensure_ascii=False),
    "carriage returns": lambda value: json.dumps(value, indent=1).replace("\n", "\r\n"),
}


def text_of(form: str) -> bytes:
    return b"\n".join(FORMS[form](value).encode() + b"\n" for value in VALUES)


@pytest.mark.parametrize("form", FORMS)
def test_values_are_the_same_when_split_at_every_byte(form):
    text = text_of(form)
    for cut in range(len(text) + 1):
        stream = JsonStream(10_000)
        assert stream.feed(text[:cut]) + stream.feed(text[cut:]) == VALUES


@given(st.sampled_from(sorted(FORMS)), st.lists(st.integers(0, 2000), max_size=12))
def test_values_are_the_same_in_any_pieces(form, positions):
    text = text_of(form)
    edges, stream = (
        sorted({0, len(text), *(position % (len(text) + 1) for position in positions)}),
        JsonStream(10_000),
    )
    assert [value for a, b in itertools.pairwise(edges) for value in stream.feed(text[a:b])] == VALUES


@pytest.mark.parametrize("form", FORMS)
def test_truncated_value_is_rejected_and_does_not_hide_the_next(form):
    """Truncated at every byte and followed by a heartbeat, with or without another value in between.

    The error is raised, and the other value is not taken for a part of the truncated one.
    """
    text = FORMS[form](VALUES[0]).encode()
    for cut in range(1, len(text)):
        for behind in (b"\n\n", b"\n" + FORMS[form](VALUES[1]).encode() + b"\n\n"):
            stream = JsonStream(10_000)
            with pytest.raises(ValueError):
                assert stream.feed(text[:cut]) == []
                assert stream.feed(behind) == []


def test_value_is_returned_before_the_end_of_its_line():
    assert JsonStream(1000).feed(b'{"index": 1}') == [{"index": 1}]


def test_two_values_on_one_line_are_returned_separately():
    assert JsonStream(1000).feed(b'{"index": 1} {"index": 2}\n') == [{"index": 1}, {"index": 2}]


@pytest.mark.parametrize(
    "data", [b"noise\n", b'{"a": }\n', b"}\n", b'{"a": 1} x\n', b"\xff\xfe{}\n", b'{"a": "' + b"x" * 2000]
)
def test_invalid_value_is_rejected_with_the_next_heartbeat(data):
    with pytest.raises(ValueError):
        JsonStream(1000).feed(data + b"\n")
