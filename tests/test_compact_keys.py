"""Keys of clients in a bounded form."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cartweir.hosting.compact_keys import MAX_KEY_CHARACTERS, compact_key


@given(st.binary(max_size=MAX_KEY_CHARACTERS))
def test_a_short_key_stays_as_it_is(key):
    assert compact_key(key).encode("latin-1") == key


@given(st.binary(min_size=MAX_KEY_CHARACTERS + 1, max_size=300), st.binary(min_size=1, max_size=40))
def test_long_keys_took_as_much_memory_as_clients_chose(key, more):
    assert len(compact_key(key)) <= MAX_KEY_CHARACTERS
    assert compact_key(key) == compact_key(key) != compact_key(key + more)
