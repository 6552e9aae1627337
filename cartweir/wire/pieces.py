"""Bodies as lists of pieces, in which small pieces are joined: each one takes memory of its own."""

from __future__ import annotations

MIN_PIECE_BYTES = 1024


def append_piece(pieces: list[bytes], data: bytes) -> None:
    """Appends data to a body; joins it with the last piece if that is small."""
    if pieces and len(pieces[-1]) < MIN_PIECE_BYTES:
        pieces[-1] += data
    else:
        pieces.append(data)
