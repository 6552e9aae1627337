"""Keys of clients in a bounded form: the decisions remember them, and a client may send any length."""

from __future__ import annotations

MAX_KEY_CHARACTERS = 64
DIGEST_BYTES = 24


def compact_key(key: bytes) -> str:
    """Returns a key as text; a long one as its digest, which no other key has."""
    if len(key) <= MAX_KEY_CHARACTERS:
        return key.decode("latin-1")
    from hashlib import blake2b  # noqa: PLC0415 - takes memory that a process seldom needs

    return "digest " + blake2b(key, digest_size=DIGEST_BYTES).hexdigest()
