"""Memory that successive decider processes share: counted dispatches, bound keys, stage and vote.

The memory has no name in the file system (memfd). The supervisor creates it and each decider maps it in turn:
a decider that is killed leaves it whole, and an agent that is killed leaves nothing behind. A record takes
effect only when its counter is stored, with a single store of eight bytes after the record itself.
"""

from __future__ import annotations

import mmap
import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

import msgpack

EXPOSURE_CAPACITY = 1 << 16  # dispatches at builds on trial; older ones are overwritten
PAGE_SIZE = 32 * 1024  # bytes of a page with the small state; there are two, written in turn

_HEADER = struct.Struct("<8sQ")  # magic, exposure capacity
_EXPOSURE = struct.Struct("<QQ")  # time in microseconds, number of the operation
_COUNT = struct.Struct("<Q")
_KEY_HEADER = struct.Struct("<QI")  # build, length in bytes; the key follows
_PAGE_HEADER = struct.Struct("<QII")  # serial number, length in bytes, checksum
_MAGIC = b"cartweir"
_COUNT_OFFSET = 16
_PAGES_OFFSET = 64
_EXPOSURES_OFFSET = 64 + 2 * PAGE_SIZE
_PAGE_CAPACITY = PAGE_SIZE - 64  # bytes
_KEY_FILE_SIZE = 1 << 16  # bytes; the file grows when it is full


class KeyFile:
    """A growing file of bound keys; the last entry of a key counts.

    Args:
        file: Descriptor of the file.
    """

    def __init__(self, file: int) -> None:
        self.file = file
        self._map = mmap.mmap(file, os.fstat(file).st_size)
        (self._used,) = _COUNT.unpack_from(self._map, 0)

    def add(self, key: str, build: int) -> None:
        """Appends an entry; doubles the file when it is full."""
        text = key.encode()
        record = _KEY_HEADER.pack(build, len(text)) + text
        start = _COUNT.size + self._used
        if start + len(record) > len(self._map):
            size = max(2 * len(self._map), start + len(record))
            os.ftruncate(self.file, size)
            self._map.close()
            self._map = mmap.mmap(self.file, size)
        self._map[start : start + len(record)] = record
        self._used += len(record)
        _COUNT.pack_into(self._map, 0, self._used)

    def clear(self) -> None:
        """Removes all entries."""
        self._used = 0
        _COUNT.pack_into(self._map, 0, 0)

    def __iter__(self) -> Iterator[tuple[str, int]]:
        offset, end = _COUNT.size, _COUNT.size + self._used
        while offset < end:
            build, size = _KEY_HEADER.unpack_from(self._map, offset)
            offset += _KEY_HEADER.size
            yield self._map[offset : offset + size].decode(), build
            offset += size

    def close(self) -> None:
        """Unmaps the file; its descriptor stays open."""
        self._map.close()


class SharedState:
    """The shared memory as one decider process maps it.

    Args:
        files: Descriptors from `new_files()`.

    Attributes:
        state: The small state as last written; changed only by `put()`.

    Raises:
        ValueError: If the memory was laid out by another version.
    """

    def __init__(self, files: tuple[int, int, int]) -> None:
        self._map = mmap.mmap(files[0], os.fstat(files[0]).st_size)
        magic, size = _HEADER.unpack_from(self._map, 0)
        if magic != _MAGIC or size != EXPOSURE_CAPACITY:
            raise ValueError(
                f"shared state: header {magic!r} with {size} rows is of another version, "
                f"expected {_MAGIC!r} with {EXPOSURE_CAPACITY}"
            )
        self._key_files = KeyFile(files[1]), KeyFile(files[2])
        (self._count,) = _COUNT.unpack_from(self._map, _COUNT_OFFSET)
        self._serial = max((serial for serial, _ in self._valid_pages()), default=0)
        self.state: dict[str, Any] = dict(
            max(self._valid_pages(), default=(0, {}), key=lambda page: page[0])[1]
        )

    # ---- dispatches that count towards the exposure cap ----
    def add_exposure(self, when: int, operation: int) -> None:
        """Records a dispatch at a build on trial.

        Args:
            when: Time in microseconds from which it counts.
            operation: Place of its operation in the settings.
        """
        offset = _EXPOSURES_OFFSET + self._count % EXPOSURE_CAPACITY * _EXPOSURE.size
        _EXPOSURE.pack_into(self._map, offset, when, operation)
        self._count += 1
        _COUNT.pack_into(self._map, _COUNT_OFFSET, self._count)

    def oldest_exposure(self) -> int:
        """Returns the time of the oldest dispatch that is kept; 0 while none has been overwritten."""
        if self._count < EXPOSURE_CAPACITY:
            return 0
        offset = _EXPOSURES_OFFSET + self._count % EXPOSURE_CAPACITY * _EXPOSURE.size
        return _EXPOSURE.unpack_from(self._map, offset)[0]

    def exposures(self) -> list[tuple[int, int]]:
        """Returns time and operation of the dispatches that are kept, in the order of recording."""
        return [
            _EXPOSURE.unpack_from(self._map, _EXPOSURES_OFFSET + number % EXPOSURE_CAPACITY * _EXPOSURE.size)
            for number in range(max(0, self._count - EXPOSURE_CAPACITY), self._count)
        ]

    # ---- bound keys ----
    def bind_key(self, key: str, build: int) -> None:
        """Records that a key may have been answered by a build."""
        self._key_files[self._active_keys].add(key, build)

    def bound_keys(self) -> dict[str, int]:
        """Returns the build of each bound key."""
        return dict(self._key_files[self._active_keys])

    def replace_keys(self, bound: Iterable[tuple[str, int]]) -> None:
        """Replaces all bound keys: writes the inactive file, then makes it the active one."""
        inactive = self._key_files[1 - self._active_keys]
        inactive.clear()
        for key, build in bound:
            inactive.add(key, build)
        self.put(keys=1 - self._active_keys)

    @property
    def _active_keys(self) -> int:
        return self.state.get("keys", 0)

    # ---- the small state ----
    def put(self, **changes: Any) -> None:
        """Changes entries of the state and writes it to the page that holds the older version.

        Raises:
            ValueError: If the state does not fit into a page; nothing is changed then.
        """
        data = msgpack.packb({**self.state, **changes})
        if len(data) > _PAGE_CAPACITY - _PAGE_HEADER.size:
            raise ValueError(
                f"{len(data)} bytes of state, expected at most {_PAGE_CAPACITY - _PAGE_HEADER.size}"
            )
        self.state.update(changes)
        self._serial += 1
        offset = _PAGES_OFFSET + self._serial % 2 * PAGE_SIZE
        self._map[offset + _PAGE_HEADER.size : offset + _PAGE_HEADER.size + len(data)] = data
        _PAGE_HEADER.pack_into(self._map, offset, self._serial, len(data), zlib.crc32(data) ^ self._serial)

    def _valid_pages(self) -> Iterator[tuple[int, dict[str, Any]]]:
        """Yields serial number and content of each page whose checksum is right.

        The checksum of a page is wrong if its writer died while writing it.
        """
        for offset in (_PAGES_OFFSET, _PAGES_OFFSET + PAGE_SIZE):
            serial, size, checksum = _PAGE_HEADER.unpack_from(self._map, offset)
            start = offset + _PAGE_HEADER.size
            data = self._map[start : start + min(size, _PAGE_CAPACITY)]
            if serial and zlib.crc32(data) ^ serial == checksum:
                yield serial, msgpack.unpackb(data)

    def close(self) -> None:
        """Unmaps the memory; the descriptors stay open."""
        self._map.close()
        for key_file in self._key_files:
            key_file.close()


def new_files() -> tuple[int, int, int]:
    """Creates an empty shared state; it ends with the last process that has its descriptors.

    Returns:
        Descriptors of the state and of two key files.

    Raises:
        OSError: If the memory cannot be created.
    """
    files = tuple(os.memfd_create(f"cartweir-{name}") for name in ("book", "keys0", "keys1"))
    os.ftruncate(files[0], _EXPOSURES_OFFSET + EXPOSURE_CAPACITY * _EXPOSURE.size)
    os.pwrite(files[0], _HEADER.pack(_MAGIC, EXPOSURE_CAPACITY), 0)
    for file in files[1:]:
        os.ftruncate(file, _KEY_FILE_SIZE)
    return files
