"""The data directory of a member: its log on disk, and the checks that it is complete when it is opened.

The file `log` begins with a file id of eight bytes, drawn anew whenever the file is created. Frames follow,
each written by one append and one fsync: length, checksum and payload (MessagePack). The checksum is the
XXH64 of the payload, seeded with the frame's offset, so that a frame copied to another place is not valid
there. A compaction writes a new file and renames it over the old one. The file `synced` holds how many bytes
of the log are known to be on disk; it is written after each fsync.

When a directory is opened, the log is checked:

- The last frame is incomplete, beyond `synced`: its append did not finish and was never acknowledged. It is
  truncated.
- The log is shorter than `synced` says: acknowledged records are missing. The directory is refused.
- A frame has a wrong checksum, even the last one: acknowledged records may be corrupt (Alagappan et al., FAST
  2018). The directory is refused.

If an fsync fails, the process ends and does not retry: the kernel marks the pages clean, so that a second
fsync proves nothing (Rebello et al., ATC 2020).
"""

from __future__ import annotations

import fcntl
import os
import struct
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgpack
import xxhash

from ..fleet.raft.records import (
    EntryRecord,
    PersistentState,
    Record,
    SnapshotRecord,
    StartRecord,
    VoteRecord,
)
from .message_codec import unpack_entry, unpack_snapshot

FRAME_HEADER = struct.Struct("<IQ")  # length and checksum of the payload
SYNCED_RECORD = struct.Struct("<8sQ")  # the log's file id, and how many bytes of the log are on disk
FILE_ID_SIZE = 8  # bytes
FORMAT_VERSION = 1  # of the directory's files


class StoreError(Exception):
    """The directory cannot be used; one line with the place, the reason and what is needed."""


class DiskFailedError(Exception):
    """A write may not be on disk: the process has to end."""


def pack(record: Record) -> list:
    """Returns a record as the array that is stored."""
    match record:
        case VoteRecord(term, voted_for):
            return ["vote", term, voted_for]
        case EntryRecord(entry):
            return ["entry", *entry]
        case StartRecord():
            return ["boot", *record]
        case SnapshotRecord(snapshot, keeps_entries):
            return ["shot", list(snapshot), keeps_entries]


def unpack(fields: list) -> Record:
    """Returns the record that a stored array holds.

    Raises:
        ValueError, TypeError: the array is not a record of a known form.
    """
    match fields:
        case ["vote", term, voted_for]:
            return VoteRecord(term, voted_for)
        case ["boot", name, directory_id, number]:
            return StartRecord(name, directory_id, number)
        case ["entry", *entry]:
            return EntryRecord(unpack_entry(entry))
        case ["shot", snapshot, keeps_entries]:
            return SnapshotRecord(unpack_snapshot(snapshot), keeps_entries)
    raise ValueError(f"unknown record {fields[:1]}")


def encode_frame(offset: int, records: Iterable[Record]) -> bytes:
    """Returns a frame that holds these records and is valid at this offset of the log only."""
    payload = msgpack.packb([pack(record) for record in records])
    return FRAME_HEADER.pack(len(payload), xxhash.xxh64_intdigest(payload, seed=offset)) + payload


class Store:
    """The data directory of one member, locked against use by another process while it is open.

    Attributes:
        sync: os.fsync, or a replacement in a test.
        state: what the records on disk add up to.
        identity: the format version, the cluster, the member's name and the id of the directory.
        size: of the log, in bytes.
        frames: the number of frames in the log.
    """

    def __init__(self, folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
        self.folder, self.sync = folder, sync
        self.path = folder / "log"
        self.state, self.identity = PersistentState(), {}
        self.size = self.frames = 0
        self._file_id = bytes(FILE_ID_SIZE)
        self._log_fd = self._synced_fd = self._lock_fd = -1

    # Creation

    @classmethod
    def create(cls, folder: Path, identity: dict[str, Any], records: Iterable[Record] = ()) -> None:
        """Creates a directory whose log holds these records.

        Raises:
            StoreError: the directory is not empty, or cannot be written.
        """
        try:
            folder.mkdir(parents=True, exist_ok=True)
            if any(folder.iterdir()):
                raise StoreError(f"{folder}: is not empty: expected a new directory; nothing was changed")
            store = cls(folder)
            text = msgpack.packb({"form": FORMAT_VERSION, **identity})
            store._write_file("identity", FRAME_HEADER.pack(len(text), xxhash.xxh64_intdigest(text)) + text)
            store._write_file("synced", SYNCED_RECORD.pack(bytes(FILE_ID_SIZE), 0))
            store._write_file(
                "log", os.urandom(FILE_ID_SIZE) + (encode_frame(FILE_ID_SIZE, records) if records else b"")
            )
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror}: expected a writable directory") from None

    def _write_file(self, name: str, data: bytes) -> None:
        """Writes a file so that after a crash it is there whole, or as it was before."""
        part = self.folder / f"{name}.part"
        with open(part, "wb") as file:
            file.write(data)
            file.flush()
            self.sync(file.fileno())
        os.replace(part, self.folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            self.sync(folder)
        finally:
            os.close(folder)

    # Opening

    def open(self) -> PersistentState:
        """Locks the directory, and returns the state that its records add up to.

        Raises:
            StoreError: the directory cannot be used; no file is left open.
        """
        self.state = PersistentState()
        try:
            self.identity = self._read_identity()  # first: creates nothing where there is no directory
            self._lock_fd = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._log_fd = os.open(self.path, os.O_RDWR)
            self._synced_fd = os.open(self.folder / "synced", os.O_RDWR)
            data = self.path.read_bytes()
            synced_record = os.pread(self._synced_fd, SYNCED_RECORD.size, 0)
        except BlockingIOError:
            self.close()
            raise StoreError(f"{self.folder}: another process has it open: end that one first") from None
        except FileNotFoundError as error:
            self.close()
            raise StoreError(
                f"{self.folder}: has no {Path(error.filename).name}: `cartweir controller found` creates the "
                "first directories, `cartweir controller join` one for a member that lost its own"
            ) from None
        except OSError as error:
            self.close()
            raise StoreError(
                f"{self.folder}: {error.strerror}: expected a directory that can be read and written"
            ) from None
        except StoreError:
            self.close()
            raise
        try:
            self._recover(data, synced_record)
        except StoreError:
            self.close()
            raise
        return self.state

    def _read_identity(self) -> dict[str, Any]:
        data = (self.folder / "identity").read_bytes()
        if len(data) < FRAME_HEADER.size or FRAME_HEADER.unpack_from(data) != (
            len(data) - FRAME_HEADER.size,
            xxhash.xxh64_intdigest(data[FRAME_HEADER.size :]),
        ):
            raise StoreError(f"{self.folder}/identity: is corrupt: join again with an empty directory")
        identity = msgpack.unpackb(data[FRAME_HEADER.size :])
        if identity["form"] != FORMAT_VERSION:
            raise StoreError(
                f"{self.folder}/identity: written in form {identity['form']}, "
                f"this program reads form {FORMAT_VERSION}"
            )
        return identity

    def _recover(self, data: bytes, synced_record: bytes) -> None:
        file_id, synced = (
            SYNCED_RECORD.unpack(synced_record)
            if len(synced_record) == SYNCED_RECORD.size
            else (bytes(FILE_ID_SIZE), 0)
        )
        if len(data) < FILE_ID_SIZE:
            raise StoreError(
                f"{self.path}: has {len(data)} bytes, expected at least {FILE_ID_SIZE}: "
                "join again with an empty directory"
            )
        self._file_id, offset = data[:FILE_ID_SIZE], FILE_ID_SIZE
        while offset < len(data):
            size, checksum = (
                FRAME_HEADER.unpack_from(data, offset)
                if offset + FRAME_HEADER.size <= len(data)
                else (len(data), 0)
            )
            end = offset + FRAME_HEADER.size + size
            if end > len(data):
                break  # incomplete: whether it was acknowledged is decided below by `synced`
            payload = data[offset + FRAME_HEADER.size : end]
            if xxhash.xxh64_intdigest(payload, seed=offset) != checksum:
                raise StoreError(
                    f"{self.path}: the frame at byte {offset} is corrupt, and its records may have been "
                    "acknowledged: join again with an empty directory"
                )
            try:
                for fields in msgpack.unpackb(payload, use_list=True):
                    self.state.add(unpack(fields))
            except (ValueError, TypeError, msgpack.UnpackException) as error:
                raise StoreError(
                    f"{self.path}: the frame at byte {offset} has an unknown form ({error}): "
                    "was it written by a newer program?"
                ) from None
            offset, self.frames = end, self.frames + 1
        if offset < synced and file_id == self._file_id:
            raise StoreError(
                f"{self.path}: ends at byte {offset}, but {synced} bytes were acknowledged: "
                "join again with an empty directory"
            )
        if offset < len(data):
            os.ftruncate(self._log_fd, offset)
            self._fsync()
        os.lseek(self._log_fd, offset, os.SEEK_SET)
        self.size = offset
        self._record_synced_size()

    # Writing

    def save(self, records: list[Record]) -> None:
        """Appends records to the log; they are on disk when it returns.

        Raises:
            DiskFailedError: they may not be on disk, and the process has to end.
        """
        try:
            if any(isinstance(record, SnapshotRecord) for record in records):
                self._compact(records)
                return
            data = memoryview(encode_frame(self.size, records))
            while data:
                data = data[os.write(self._log_fd, data) :]
            self._fsync()
        except OSError as error:
            raise DiskFailedError(
                f"{self.path}: {error.strerror}: a record is not on disk, so this process ends; start it "
                "again once the disk accepts writes"
            ) from None
        for record in records:
            self.state.add(record)
        self.size, self.frames = os.lseek(self._log_fd, 0, os.SEEK_CUR), self.frames + 1
        self._record_synced_size()

    def _compact(self, records: list[Record]) -> None:
        for record in records:
            self.state.add(record)
        state = self.state
        self._file_id = os.urandom(FILE_ID_SIZE)
        self._write_file(
            "log",
            self._file_id
            + encode_frame(
                FILE_ID_SIZE,
                [
                    SnapshotRecord(state.snapshot, False),
                    VoteRecord(state.term, state.voted_for),
                    *map(EntryRecord, state.entries),
                    *(StartRecord(name, *start) for name, start in state.starts.items()),
                ],
            ),
        )
        os.close(self._log_fd)
        self._log_fd = os.open(self.path, os.O_RDWR)
        self.size = os.lseek(self._log_fd, 0, os.SEEK_END)
        self.frames = 1
        self._record_synced_size()

    def _fsync(self) -> None:
        try:
            self.sync(self._log_fd)
        except OSError as error:
            raise DiskFailedError(
                f"{self.path}: fsync: {error.strerror}: the kernel now takes the pages for clean, so a retry "
                "would prove nothing: this process ends"
            ) from None

    def _record_synced_size(self) -> None:
        """Writes how much of the log is on disk.

        This file is not synced itself: a number that is too low after a crash makes no complete log refused.
        """
        os.pwrite(self._synced_fd, SYNCED_RECORD.pack(self._file_id, self.size), 0)

    def close(self) -> None:
        """Closes the files, and releases the lock."""
        for descriptor in (self._log_fd, self._synced_fd, self._lock_fd):
            if descriptor >= 0:
                os.close(descriptor)
        self._log_fd = self._synced_fd = self._lock_fd = -1
