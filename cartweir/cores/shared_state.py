"""What must outlive the deciding part: dispatches that count in the window, bound keys, stage and vote.

It is memory without a name (memfd), made by the supervisor and mapped by each deciding part in turn, so that a part
that is killed leaves it whole and an agent that is killed leaves nothing behind. Whatever is written counts from the
moment at which its counter is: one store of eight bytes, behind the record.
"""

from __future__ import annotations

import mmap
import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

import msgpack

ROWS = 1 << 16  # dispatches at builds on trial that are remembered
_HEAD = struct.Struct("<8sQ")
_ROW = struct.Struct("<QQ")  # when, operation
_COUNT = struct.Struct("<Q")
_KEY = struct.Struct("<QI")  # build, length; the key follows
_SLOT = struct.Struct("<QII")  # number, size, checksum
_MAGIC = b"cartweir"
PAGE = 32 * 1024  # of the state, of which there are two
_COUNT_AT, _SLOT_AT, _SLOT_SIZE, _ROWS_AT = 16, 64, PAGE - 64, 64 + 2 * PAGE


class KeyFile:
    """Bound keys in a file of their own, which grows; the newest entry of a key counts."""

    def __init__(self, file: int) -> None:
        self.file = file
        self._map = mmap.mmap(file, os.fstat(file).st_size)
        (self._used,) = _COUNT.unpack_from(self._map, 0)

    def add(self, key: str, build: int) -> None:
        text = key.encode()
        record = _KEY.pack(build, len(text)) + text
        start = 8 + self._used
        if start + len(record) > len(self._map):
            size = max(2 * len(self._map), start + len(record))
            os.ftruncate(self.file, size)
            self._map.close()
            self._map = mmap.mmap(self.file, size)
        self._map[start : start + len(record)] = record
        self._used += len(record)
        _COUNT.pack_into(self._map, 0, self._used)

    def clear(self) -> None:
        self._used = 0
        _COUNT.pack_into(self._map, 0, 0)

    def __iter__(self) -> Iterator[tuple[str, int]]:
        at, end = 8, 8 + self._used
        while at < end:
            build, size = _KEY.unpack_from(self._map, at)
            at += _KEY.size
            yield self._map[at : at + size].decode(), build
            at += size

    def close(self) -> None:
        self._map.close()


class SharedState:
    """files: those of new_files(). Raises ValueError where they are no book of this version."""

    def __init__(self, files: tuple[int, int, int]) -> None:
        self._map = mmap.mmap(files[0], os.fstat(files[0]).st_size)
        magic, size = _HEAD.unpack_from(self._map, 0)
        if magic != _MAGIC or size != ROWS:
            raise ValueError("no book of this version")
        self._keys = KeyFile(files[1]), KeyFile(files[2])
        (self._count,) = _COUNT.unpack_from(self._map, _COUNT_AT)
        self._slot = max((number for number, _ in self._slots()), default=0)
        self.state: dict[str, Any] = dict(max(self._slots(), default=(0, {}), key=lambda slot: slot[0])[1])

    # ---- dispatches that count ----
    def exposed(self, when: int, operation: int) -> None:
        _ROW.pack_into(self._map, _ROWS_AT + self._count % ROWS * _ROW.size, when, operation)
        self._count += 1
        _COUNT.pack_into(self._map, _COUNT_AT, self._count)

    def full_since(self) -> int:
        """When the oldest dispatch was that is still remembered; 0 while all are."""
        if self._count < ROWS:
            return 0
        return _ROW.unpack_from(self._map, _ROWS_AT + self._count % ROWS * _ROW.size)[0]

    def exposures(self) -> list[tuple[int, int]]:
        return [
            _ROW.unpack_from(self._map, _ROWS_AT + number % ROWS * _ROW.size)
            for number in range(max(0, self._count - ROWS), self._count)
        ]

    # ---- keys ----
    def bound(self, key: str, build: int) -> None:
        self._keys[self._active].add(key, build)

    def keys(self) -> dict[str, int]:
        return dict(self._keys[self._active])

    def keep_keys(self, kept: Iterable[tuple[str, int]]) -> None:
        """These and no others."""
        other = self._keys[1 - self._active]
        other.clear()
        for key, build in kept:
            other.add(key, build)
        self.put(keys=1 - self._active)

    @property
    def _active(self) -> int:
        return self.state.get("keys", 0)

    # ---- the rest: small, and seldom changed ----
    def put(self, **changes: Any) -> None:
        """Raises ValueError where the state grows beyond a page."""
        data = msgpack.packb({**self.state, **changes})
        if len(data) > _SLOT_SIZE - _SLOT.size:
            raise ValueError(f"{len(data)} bytes of state")
        self.state.update(changes)
        self._slot += 1
        at = _SLOT_AT + self._slot % 2 * PAGE
        self._map[at + _SLOT.size : at + _SLOT.size + len(data)] = data
        _SLOT.pack_into(self._map, at, self._slot, len(data), zlib.crc32(data) ^ self._slot)

    def _slots(self) -> Iterator[tuple[int, dict[str, Any]]]:
        """Those that are whole: one that was being written when its writer died fails its sum."""
        for at in (_SLOT_AT, _SLOT_AT + PAGE):
            number, size, check = _SLOT.unpack_from(self._map, at)
            data = self._map[at + _SLOT.size : at + _SLOT.size + min(size, _SLOT_SIZE)]
            if number and zlib.crc32(data) ^ number == check:
                yield number, msgpack.unpackb(data)

    def close(self) -> None:
        self._map.close()
        for keys in self._keys:
            keys.close()


def new_files() -> tuple[int, int, int]:
    """Of an empty book. They close with the processes that hold them. Raises OSError."""
    files = tuple(os.memfd_create(f"cartweir-{name}") for name in ("book", "keys0", "keys1"))
    os.ftruncate(files[0], _ROWS_AT + ROWS * _ROW.size)
    os.pwrite(files[0], _HEAD.pack(_MAGIC, ROWS), 0)
    for file in files[1:]:
        os.ftruncate(file, 1 << 16)
    return files
