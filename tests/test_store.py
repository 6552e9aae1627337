"""A controller's directory that was cut, damaged, full, unsynced or copied: it recovers, or says why not."""

from __future__ import annotations

import errno
import os
import shutil

import pytest

from cartweir.controller.store import DiskFailedError, Store, StoreError
from cartweir.fleet.raft.log import Entry, EntryKind, MemberInfo, Snapshot
from cartweir.fleet.raft.records import EntryRecord, SnapshotRecord, VoteRecord

IDENTITY = {"cluster": "c", "name": "a", "mark": "founded"}
FIRST = [SnapshotRecord(Snapshot(0, 0, {"a": MemberInfo("founded", "a:1", True)}, b""), False)]


def entry(index, term=1):
    return EntryRecord(Entry(index, term, EntryKind.COMMAND, b"entry %d" % index))


@pytest.fixture
def folder(tmp_path):
    Store.create(tmp_path / "dir", IDENTITY, FIRST)
    store = Store(tmp_path / "dir")
    store.open()
    store.save([VoteRecord(1, "a"), entry(1)])
    store.save([entry(2), entry(3)])
    store.close()
    return tmp_path / "dir"


def opened(folder):
    store = Store(folder)
    kept = store.open()
    store.close()
    return kept


def last_frame(folder):
    data = (folder / "log").read_bytes()
    store = Store(folder)
    store.open()
    store.save([entry(4), VoteRecord(2, "b")])
    store.close()
    return len(data), (folder / "log").read_bytes()


def test_all_that_was_saved_comes_back(folder):
    kept = opened(folder)
    assert (kept.term, kept.voted_for, [e.index for e in kept.entries]) == (1, "a", [1, 2, 3])
    assert kept.snapshot.members == {"a": MemberInfo("founded", "a:1", True)}


def test_an_append_that_never_ended_is_cut_off_at_every_byte(folder):
    synced = (folder / "synced").read_bytes()
    start, whole = last_frame(folder)
    for size in range(start, len(whole)):
        (folder / "log").write_bytes(whole[:size])
        (folder / "synced").write_bytes(synced)  # the append had not been told
        assert [e.index for e in opened(folder).entries] == [1, 2, 3], size
        assert (folder / "log").read_bytes() == whole[:start]


def test_what_was_told_and_is_gone_is_refused_at_every_byte(folder):
    start, whole = last_frame(folder)
    synced = (folder / "synced").read_bytes()
    for size in range(start, len(whole)):
        (folder / "log").write_bytes(whole[:size])
        (folder / "synced").write_bytes(synced)
        with pytest.raises(StoreError, match="were told: join anew"):
            opened(folder)


def test_a_spoilt_byte_is_refused_wherever_it_is(folder):
    whole = (folder / "log").read_bytes()
    for at in range(8, len(whole)):
        (folder / "log").write_bytes(whole[:at] + bytes((whole[at] ^ 1,)) + whole[at + 1 :])
        with pytest.raises(StoreError) as error:
            opened(folder)
        assert "\n" not in str(error.value) and "join anew" in str(error.value), at
    (folder / "log").write_bytes(whole)
    assert len(opened(folder).entries) == 3


def test_a_tail_that_stands_there_twice_is_refused(folder):
    start, whole = last_frame(folder)
    (folder / "log").write_bytes(whole + whole[start:])
    with pytest.raises(StoreError, match="spoilt"):
        opened(folder)


def test_a_failed_fsync_ends_it_and_is_not_tried_again(folder):
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


def test_a_full_disk_ends_it_and_nothing_that_was_told_is_lost(folder, monkeypatch):
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
    assert [e.index for e in opened(folder).entries] == [1, 2, 3]


def test_a_compaction_that_was_cut_short_leaves_the_log_as_it_was(folder):
    shot = SnapshotRecord(Snapshot(2, 1, {"a": MemberInfo("founded", "a:1", True)}, b"state"), True)
    store = Store(folder)
    store.open()
    (folder / "log.part").write_bytes(b"half of it")
    store.close()
    assert len(opened(folder).entries) == 3
    store.open()
    store.save([shot, entry(4)])
    store.save([entry(5)])
    store.close()
    kept = opened(folder)
    assert (
        kept.snapshot.state == b"state"
        and [e.index for e in kept.entries] == [3, 4, 5]
        and kept.voted_for == "a"
    )


def test_one_process_at_a_time(folder):
    store = Store(folder)
    store.open()
    with pytest.raises(StoreError, match="another process"):
        Store(folder).open()
    store.close()


def test_a_copy_that_lost_its_end_is_refused_too(folder, tmp_path):
    shutil.copytree(folder, tmp_path / "copy")
    os.truncate(tmp_path / "copy" / "log", os.path.getsize(folder / "log") - 3)
    with pytest.raises(StoreError, match="were told"):
        opened(tmp_path / "copy")


def test_nothing_is_made_where_something_is(folder):
    with pytest.raises(StoreError, match="is not empty"):
        Store.create(folder, IDENTITY)
    assert len(opened(folder).entries) == 3


def test_no_directory_and_no_known_form(tmp_path, folder):
    with pytest.raises(StoreError, match="controller found"):
        Store(tmp_path).open()
    Store.create(tmp_path / "later", {**IDENTITY, "form": 9})
    with pytest.raises(StoreError, match="form 9"):
        Store(tmp_path / "later").open()
