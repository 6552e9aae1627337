"""A member's directory: its log on disk, which gives back all that was told, or says plainly that it can't.

`log` begins with eight bytes drawn anew whenever the file is; then come frames, each written by one append and one fsync: length, checksum (XXH64 of the payload, seeded with
the frame's offset, so that no frame passes for another), payload (MessagePack). A compaction writes the file anew beside
and puts it in place whole. `synced` says how far the log was known to be on disk; it is written behind each fsync.

| found | what it means | what is done |
| --- | --- | --- |
| the last frame is cut short, behind `synced` | an append that never ended: nothing was told of it | cut off |
| the log is shorter than `synced` says | what was told is gone | refused |
| a frame with a wrong sum, the last one too | what was told may be spoilt (Alagappan et al., FAST 2018) | refused |
| fsync fails | the pages count as clean from then on (Rebello et al., ATC 2020) | the process ends, and does not try again |
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

FRAME_HEADER = struct.Struct("<IQ")
SYNCED = struct.Struct("<8sQ")  # the log file's own bytes, and how much of it is known to be on disk
FILE_ID_SIZE = 8
FORM = 1  # of what is written here


class StoreError(Exception):
    """The directory can't be used; one line with place, reason and what is right."""


class DiskFailedError(Exception):
    """What was to be saved may not be on disk: the process has to end."""


def pack(save: Record) -> list:
    match save:
        case VoteRecord(term, voted_for):
            return ["vote", term, voted_for]
        case EntryRecord(entry):
            return ["entry", *entry]
        case StartRecord():
            return ["boot", *save]
        case SnapshotRecord(snapshot, keeps_entries):
            return ["shot", list(snapshot), keeps_entries]


def unpack(parts: list) -> Record:
    match parts:
        case ["vote", term, voted_for]:
            return VoteRecord(term, voted_for)
        case ["boot", name, directory_id, number]:
            return StartRecord(name, directory_id, number)
        case ["entry", *entry]:
            return EntryRecord(unpack_entry(entry))
        case ["shot", snapshot, keeps_entries]:
            return SnapshotRecord(unpack_snapshot(snapshot), keeps_entries)
    raise ValueError(f"unknown record {parts[:1]}")


def encode_frame(at: int, saves: Iterable[Record]) -> bytes:
    payload = msgpack.packb([pack(save) for save in saves])
    return FRAME_HEADER.pack(len(payload), xxhash.xxh64_intdigest(payload, seed=at)) + payload


class Store:
    """sync: os.fsync, or what a test puts in its place. One process at a time: the directory is locked."""

    def __init__(self, folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
        self.folder, self.sync = folder, sync
        self.path = folder / "log"
        self.kept, self.identity = PersistentState(), {}
        self.size = self.frames = 0
        self._own = bytes(FILE_ID_SIZE)
        self._file = self._synced = self._lock = -1

    # ---- making one ----
    @classmethod
    def create(cls, folder: Path, identity: dict[str, Any], saves: Iterable[Record] = ()) -> None:
        """A new directory. Raises StoreError where something is there already."""
        try:
            folder.mkdir(parents=True, exist_ok=True)
            if any(folder.iterdir()):
                raise StoreError(f"{folder}: is not empty: a new directory is due; nothing was touched")
            store = cls(folder)
            text = msgpack.packb({"form": FORM, **identity})
            store._whole("identity", FRAME_HEADER.pack(len(text), xxhash.xxh64_intdigest(text)) + text)
            store._whole("synced", SYNCED.pack(bytes(FILE_ID_SIZE), 0))
            store._whole(
                "log", os.urandom(FILE_ID_SIZE) + (encode_frame(FILE_ID_SIZE, saves) if saves else b"")
            )
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror}: a directory that can be written is due") from None

    def _whole(self, name: str, data: bytes) -> None:
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

    # ---- opening ----
    def open(self) -> PersistentState:
        """All that was told. Raises StoreError, and has nothing open then."""
        self.kept = PersistentState()
        try:
            self.identity = self._read_identity()  # first: nothing is made where no directory was
            self._lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._file = os.open(self.path, os.O_RDWR)
            self._synced = os.open(self.folder / "synced", os.O_RDWR)
            data = self.path.read_bytes()
            mark = os.pread(self._synced, SYNCED.size, 0)
        except BlockingIOError:
            self.close()
            raise StoreError(f"{self.folder}: another process has it open: end that one first") from None
        except FileNotFoundError as error:
            self.close()
            raise StoreError(
                f"{self.folder}: has no {Path(error.filename).name}: `cartweir controller found` makes the first "
                "directories, `cartweir controller join` one for a member that lost its own"
            ) from None
        except OSError as error:
            self.close()
            raise StoreError(
                f"{self.folder}: {error.strerror}: a directory that can be read and written is due"
            ) from None
        except StoreError:
            self.close()
            raise
        try:
            self._recover(data, mark)
        except StoreError:
            self.close()
            raise
        return self.kept

    def _read_identity(self) -> dict[str, Any]:
        data = (self.folder / "identity").read_bytes()
        if len(data) < FRAME_HEADER.size or FRAME_HEADER.unpack_from(data) != (
            len(data) - FRAME_HEADER.size,
            xxhash.xxh64_intdigest(data[FRAME_HEADER.size :]),
        ):
            raise StoreError(f"{self.folder}/identity: cannot be read: join anew with an empty directory")
        identity = msgpack.unpackb(data[FRAME_HEADER.size :])
        if identity["form"] != FORM:
            raise StoreError(
                f"{self.folder}/identity: written in form {identity['form']}, this program knows {FORM}"
            )
        return identity

    def _recover(self, data: bytes, mark: bytes) -> None:
        own, synced = SYNCED.unpack(mark) if len(mark) == SYNCED.size else (bytes(FILE_ID_SIZE), 0)
        if len(data) < FILE_ID_SIZE:
            raise StoreError(f"{self.path}: has {len(data)} bytes: join anew with an empty directory")
        self._own, at = data[:FILE_ID_SIZE], FILE_ID_SIZE
        while at < len(data):
            size, due = (
                FRAME_HEADER.unpack_from(data, at) if at + FRAME_HEADER.size <= len(data) else (len(data), 0)
            )
            end = at + FRAME_HEADER.size + size
            if end > len(data):
                break  # cut short: judged below by what was known to be on disk
            payload = data[at + FRAME_HEADER.size : end]
            if xxhash.xxh64_intdigest(payload, seed=at) != due:
                raise StoreError(
                    f"{self.path}: the frame at byte {at} is spoilt, and what it held may have been told: "
                    "join anew with an empty directory"
                )
            try:
                for parts in msgpack.unpackb(payload, use_list=True):
                    self.kept.add(unpack(parts))
            except (ValueError, TypeError, msgpack.UnpackException) as error:
                raise StoreError(
                    f"{self.path}: the frame at byte {at} is of no known form ({error}): "
                    "a newer program wrote it?"
                ) from None
            at, self.frames = end, self.frames + 1
        if at < synced and own == self._own:
            raise StoreError(
                f"{self.path}: ends at byte {at}, {synced} were told: join anew with an empty directory"
            )
        if at < len(data):
            os.ftruncate(self._file, at)
            self._fsync()
        os.lseek(self._file, at, os.SEEK_SET)
        self.size = at
        self._tell_synced()

    # ---- writing ----
    def save(self, saves: list[Record]) -> None:
        """On disk when it returns. Raises DiskFailedError: the process is to end."""
        try:
            if any(isinstance(save, SnapshotRecord) for save in saves):
                self._compact(saves)
                return
            data = memoryview(encode_frame(self.size, saves))
            while data:
                data = data[os.write(self._file, data) :]
            self._fsync()
        except OSError as error:
            raise DiskFailedError(
                f"{self.path}: {error.strerror}: what was to be told is not on disk; this process ends and is "
                "to be started again once the disk takes writes"
            ) from None
        for save in saves:
            self.kept.add(save)
        self.size, self.frames = os.lseek(self._file, 0, os.SEEK_CUR), self.frames + 1
        self._tell_synced()

    def _compact(self, saves: list[Record]) -> None:
        for save in saves:
            self.kept.add(save)
        kept = self.kept
        self._own = os.urandom(FILE_ID_SIZE)
        self._whole(
            "log",
            self._own
            + encode_frame(
                FILE_ID_SIZE,
                [
                    SnapshotRecord(kept.snapshot, False),
                    VoteRecord(kept.term, kept.voted_for),
                    *map(EntryRecord, kept.entries),
                    *(StartRecord(name, *start) for name, start in kept.starts.items()),
                ],
            ),
        )
        os.close(self._file)
        self._file = os.open(self.path, os.O_RDWR)
        self.size = os.lseek(self._file, 0, os.SEEK_END)
        self.frames = 1
        self._tell_synced()

    def _fsync(self) -> None:
        try:
            self.sync(self._file)
        except OSError as error:
            raise DiskFailedError(
                f"{self.path}: fsync: {error.strerror}: the pages count as clean now, so that no second try "
                "would tell: this process ends"
            ) from None

    def _tell_synced(self) -> None:
        """How far the log is on disk; itself not synced: too low a number forbids nothing that was not told."""
        os.pwrite(self._synced, SYNCED.pack(self._own, self.size), 0)

    def close(self) -> None:
        for number in (self._file, self._synced, self._lock):
            if number >= 0:
                os.close(number)
        self._file = self._synced = self._lock = -1
