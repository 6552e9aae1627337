"""Keeps the keys that an agent has bound in a file.

The file is read at the start and written before each dispatch that may bind a key, by one process at a time.
Its format is defined in `fleet.key_journal`.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import IO

from ..fleet.fencing import FencingToken
from ..fleet.key_journal import (
    ANY_BUILD,
    COUNT_FIELD,
    INVALID_COUNT,
    JournalHeader,
    apply_decision,
    encode_binding,
    encode_decision,
    encode_journal,
    read_journal,
)
from ..hosting.event_log import EventLogger

LOCK_RETRY_SECONDS = 0.01
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class JournalInUseError(OSError):
    """Another process writes this file, or its folder cannot be written."""


def lock_journal(path: str, patience: float = 0.0) -> IO[str]:
    """Locks a journal.

    The lock is held for as long as the returned file is open here or in a process that was forked from this
    one.

    Args:
        path: The journal's path.
        patience: For how many seconds to retry: processes of an earlier agent, which were killed with it, may
            take a moment to end.

    Raises:
        JournalInUseError: Another process holds the lock, or the folder cannot be written.
    """
    try:
        # the caller closes it
        lock = open(Path(path).with_name(Path(path).name + ".lock"), "w")  # noqa: SIM115
    except OSError as error:
        raise JournalInUseError(
            f"{path}: {error.strerror}; expected a file in a folder that can be written"
        ) from None
    end = time.monotonic() + patience
    while True:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return lock
        except OSError:
            if time.monotonic() >= end:
                lock.close()
                raise JournalInUseError(
                    f"{path} is in use by another process; expected a file of its own for each agent"
                ) from None
            time.sleep(LOCK_RETRY_SECONDS)


@dataclass(eq=False)
class KeyJournalFile:
    """The journal of one agent, on its disk.

    Attributes:
        file_name: The journal's path.
        owner: The agent and its deployment.
        token: The token of the decision that was followed last.
        log_event: Logs an event.
        max_bytes: The size of the file beyond which the older half of the keys is left out.
        lock: The lock, if another process has taken it for this one.
        recalled: What the journal held at the start.

    Raises:
        JournalInUseError: Another process writes the journal.
    """

    file_name: str
    owner: str
    token: FencingToken
    log_event: EventLogger
    max_bytes: int
    lock: IO[str] | None = None

    def __post_init__(self) -> None:
        owner, token = self.owner, self.token
        self.path = Path(self.file_name)
        self._lock = self.lock or lock_journal(self.file_name)
        boot_id = BOOT_ID_FILE.read_text().strip() if BOOT_ID_FILE.exists() else ""
        data = self.path.read_bytes() if self.path.exists() else None
        self.recalled = read_journal(data, owner, boot_id, token)
        if data is not None or self.recalled.spent:
            self.log_event(
                "facts",
                keys=len(self.recalled.bound),
                forgot=self.recalled.forgot,
                level="warning" if self.recalled.forgot else "info",
            )
        self._header = JournalHeader(owner, boot_id, token, self.recalled.missing)
        self._bound = dict(self.recalled.bound)
        self._file, self._count, self._size, self._failing = -1, 0, 0, False
        self._rewrite()

    def record_decision(self, token: FencingToken, build: int) -> None:
        """Records that another decision is followed, which releases keys bound to earlier builds.

        The record is appended instead of writing the file anew: to replace a file waits for the disk while
        others sync theirs, up to 150 ms, and would hold up the event loop.
        """
        if token != self._header.token or self._header.missing == ANY_BUILD:
            self._bound, missing = apply_decision(self._bound, self._header.missing, build)
            self._header = replace(self._header, token=token, missing=missing)
            if self._failing:
                self._rewrite()  # the disk may have room again
            else:
                self._append(encode_decision(token, build))

    def record_binding(self, key: str, build: int) -> None:
        """Records that a key may be bound to a build, before the dispatch that may bind it leaves.

        If the record cannot be written, that is logged once and the service goes on: a full disk must not end
        it. The file then tells the next process that keys are missing.
        """
        if self._bound.get(key, -1) >= build:
            return
        self._bound[key] = build
        if not self._failing:
            self._append(encode_binding(key, build))

    def _append(self, record: bytes) -> None:
        if self._size + len(record) > self.max_bytes:
            half, missing = len(self._bound) // 2, self._header.missing
            left_out = max(list(self._bound.values())[:half], default=0)
            self._header = replace(self._header, missing=max(left_out, -1 if missing is None else missing))
            self._bound = dict(list(self._bound.items())[half:])
            self._rewrite()
            return
        try:
            _put(self._file, record, self._size)
            self._size, self._count = self._size + len(record), self._count + 1
            _put(self._file, self._count.to_bytes(8, "big"), COUNT_FIELD.start)
        except OSError as error:
            self._failed(error)

    def _rewrite(self) -> None:
        data = encode_journal(self._header, self._bound.items())
        part, file = self.path.with_name(self.path.name + ".part"), -1
        try:
            file = os.open(part, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            # not synced, which would hold up the loop; the boot id tells whether the machine went down since
            _put(file, data, 0)
            os.replace(part, self.path)
        except OSError as error:
            if file >= 0:
                os.close(file)
            self._failed(error)
            return
        if self._file >= 0:
            os.close(self._file)
        if self._failing:
            self.log_event("facts_kept_again")
        self._file, self._size, self._count, self._failing = file, len(data), 1 + len(self._bound), False

    def _failed(self, error: OSError) -> None:
        """Marks the file as incomplete by an invalid count, in place so that it needs no disk space."""
        if not self._failing:
            self.log_event("facts_bad", level="warning", file=str(self.path), reason=error.strerror)
        self._failing = True
        with contextlib.suppress(OSError):
            file = os.open(self.path, os.O_WRONLY)
            try:
                os.pwrite(file, INVALID_COUNT, COUNT_FIELD.start)
            finally:
                os.close(file)


def _put(file: int, data: bytes, offset: int) -> None:
    """Writes all of the data.

    Raises:
        OSError: The disk has not taken all of it; one that is nearly full reports a short write as success.
    """
    if os.pwrite(file, data, offset) != len(data):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
