"""A controller's directory that is truncated, damaged, copied or on a full disk recovers, or is refused."""

from __future__ import annotations

import errno
import os
import shutil

import pytest

from cartweir.controller.store import DiskFailedError, Store, StoreError
from cartweir.fleet.raft.log import Entry, EntryKind, MemberInfo, Snapshot
from cartweir.fleet.raft.records import EntryRecord, SnapshotRecord, VoteRecord

IDENTITY = {"cluster": "c", "name": "a", "mark": "founded"}
FIRST_RECORDS = [SnapshotRecord(Snapshot(0, 0, {"a": MemberInfo("founded", "a:1", True)}, b""), False)]


def entry(index, term=1):
    return EntryRecord(Entry(index, term, EntryKind.COMMAND, b"entry %d" % index))


@pytest.fixture
def folder(tmp_path):
    Store.create(tmp_path / "dir", IDENTITY, FIRST_RECORDS)
    store = Store(tmp_path / "dir")
    store.open()
    store.save([VoteRecord(1, "a"), entry(1)])
    store.save([entry(2), entry(3)])
    store.close()
    return tmp_path / "dir"


def open_and_close(folder):
    store = Store(folder)
    state = store.open()
    store.close()
    return state


def append_frame(folder):
    """Appends a frame; returns where it starts, and the whole log."""
    data = (folder / "log").read_bytes()
    store = Store(folder)
    store.open()
    store.save([entry(4), VoteRecord(2, "b")])
    store.close()
    return len(data), (folder / "log").read_bytes()


def test_all_saved_records_are_recovered(folder):
    state = open_and_close(folder)
    assert (state.term, state.voted_for, [e.index for e in state.entries]) == (1, "a", [1, 2, 3])
    assert state.snapshot.members == {"a": MemberInfo("founded", "a:1", True)}


def test_an_incomplete_append_is_truncated_at_every_byte(folder):
    synced = (folder / "synced").read_bytes()
    start, whole = append_frame(folder)
    for size in range(start, len(whole)):
        (folder / "log").write_bytes(whole[:size])
        (folder / "synced").write_bytes(synced)  # the append was not acknowledged
        assert [e.index for e in open_and_close(folder).entries] == [1, 2, 3], size
        assert (folder / "log").read_bytes() == whole[:start]


def test_a_log_that_lacks_acknowledged_bytes_is_refused_at_every_byte(folder):
    start, whole = append_frame(folder)
    synced = (folder / "synced").read_bytes()
    for size in range(start, len(whole)):
        (folder / "log").write_bytes(whole[:size])
        (folder / "synced").write_bytes(synced)
        with pytest.raises(StoreError, match="bytes were acknowledged: join again"):
            open_and_close(folder)


def test_a_corrupt_byte_is_refused_wherever_it_is(folder):
    whole = (folder / "log").read_bytes()
    for offset in range(8, len(whole)):
        corrupt = whole[:offset] + bytes((whole[offset] ^ 1,)) + whole[offset + 1 :]
        (folder / "log").write_bytes(corrupt)
        with pytest.raises(StoreError) as error:
            open_and_close(folder)
        assert "\n" not in str(error.value) and "join again" in str(error.value), offset
    (folder / "log").write_bytes(whole)
    assert len(open_and_close(folder).entries) == 3


def test_a_frame_that_is_repeated_at_another_offset_is_refused(folder):
    start, whole = append_frame(folder)
    (folder / "log").write_bytes(whole + whole[start:])
    with pytest.raises(StoreError, match="corrupt"):
        open_and_close(folder)


def test_a_failed_fsync_is_reported_and_not_retried(folder):
    calls = []

    def sync(number):
        calls.append(number)
        raise OSError(errno.EIO, "Input/output error")

    store = Store(folder)
    store.open()
    store.sync = sync
    with pytest.raises(DiskFailedError, match="fsync"):
        store.save([entry(4)])
    assert len(calls) == 1
    store.close()


def test_a_full_disk_is_reported_and_no_acknowledged_record_is_lost(folder, monkeypatch):
    store = Store(folder)
    store.open()
    real = os.write

    def full(number, data):
        if len(data) > 5:
            return real(number, data[:5])
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "write", full)
    with pytest.raises(DiskFailedError, match="No space left"):
        store.save([entry(4)])
    monkeypatch.undo()
    store.close()
    assert [e.index for e in open_and_close(folder).entries] == [1, 2, 3]


def test_an_interrupted_compaction_leaves_the_log_as_it_was(folder):
    snapshot = SnapshotRecord(Snapshot(2, 1, {"a": MemberInfo("founded", "a:1", True)}, b"state"), True)
    store = Store(folder)
    store.open()
    (folder / "log.part").write_bytes(b"half of it")
    store.close()
    assert len(open_and_close(folder).entries) == 3
    store.open()
    store.save([snapshot, entry(4)])
    store.save([entry(5)])
    store.close()
    state = open_and_close(folder)
    assert (
        state.snapshot.state == b"state"
        and [e.index for e in state.entries] == [3, 4, 5]
        and state.voted_for == "a"
    )


def test_a_directory_is_open_in_one_process_at_a_time(folder):
    store = Store(folder)
    store.open()
    with pytest.raises(StoreError, match="another process"):
        Store(folder).open()
    store.close()


def test_a_copy_that_lacks_its_end_is_refused_too(folder, tmp_path):
    shutil.copytree(folder, tmp_path / "copy")
    os.truncate(tmp_path / "copy" / "log", os.path.getsize(folder / "log") - 3)
    with pytest.raises(StoreError, match="bytes were acknowledged"):
        open_and_close(tmp_path / "copy")


def test_no_directory_is_created_over_another(folder):
    with pytest.raises(StoreError, match="is not empty"):
        Store.create(folder, IDENTITY)
    assert len(open_and_close(folder).entries) == 3


def test_a_missing_directory_and_an_unknown_format_are_refused(tmp_path, folder):
    with pytest.raises(StoreError, match="controller found"):
        Store(tmp_path).open()
    Store.create(tmp_path / "later", {**IDENTITY, "form": 9})
    with pytest.raises(StoreError, match="form 9"):
        Store(tmp_path / "later").open()
