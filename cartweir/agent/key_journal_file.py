"""An agent's facts on its disk: read at the start, added to before each dispatch that may bind a key, by one process at a
time. What the bytes mean is decided in fleet/key_journal.py."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import time
from collections.abc import Callable
from dataclasses import replace
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

EventLogger = Callable[..., None]
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class JournalInUseError(OSError):
    """Another process keeps its facts in this file, or none can."""


def lock_journal(path: str, patience: float = 0.0) -> IO[str]:
    """The right to the file, for as long as it is open here or in a process that was forked from this one. patience: seconds for those of
    an agent before to end, who were killed with it. Raises InUse."""
    try:
        held = open(Path(path).with_name(Path(path).name + ".lock"), "w")
    except OSError as error:
        raise JournalInUseError(
            f"{path}: {error.strerror}: a file in a folder that can be written is due"
        ) from None
    end = time.monotonic() + patience
    while True:
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return held
        except OSError:
            if time.monotonic() >= end:
                held.close()
                raise JournalInUseError(
                    f"{path} is in use by another process: a file of its own is due for each agent"
                ) from None
            time.sleep(0.01)


class KeyJournalFile:
    """most: bytes of the file, beyond which the older half of the keys is left out. held: the lock, where another has taken it.
    Raises InUse."""

    def __init__(
        self,
        path: str,
        owner: str,
        token: FencingToken,
        log_event: EventLogger,
        most: int,
        held: IO[str] | None = None,
    ) -> None:
        self.path, self.log_event, self.most = Path(path), log_event, most
        self._lock = held or lock_journal(path)
        boot = BOOT_ID_FILE.read_text().strip() if BOOT_ID_FILE.exists() else ""
        data = self.path.read_bytes() if self.path.exists() else None
        self.recalled = read_journal(data, owner, boot, token)
        if data is not None or self.recalled.spent:
            self.log_event(
                "facts",
                keys=len(self.recalled.bound),
                forgot=self.recalled.forgot,
                level="warning" if self.recalled.forgot else "info",
            )
        self._head = JournalHeader(owner, boot, token, self.recalled.missing)
        self._bound = dict(self.recalled.bound)
        self._file, self._count, self._size, self._failing = -1, 0, 0, False
        self._anew()

    def record_decision(self, token: FencingToken, build: int) -> None:
        """Another decision is followed: keys of builds before it are bound to nothing any more. Added, not written anew: to put a
        file in another's place waits for the disk where others sync theirs, up to 150 ms, on the loop."""
        if token != self._head.token or self._head.missing == ANY_BUILD:
            self._bound, missing = apply_decision(self._bound, self._head.missing, build)
            self._head = replace(self._head, token=token, missing=missing)
            if self._failing:
                self._anew()  # the disk may have room again
            else:
                self._add(encode_decision(token, build))

    def record_binding(self, key: str, build: int) -> None:
        """Before a dispatch leaves that a newer build may answer. Where it cannot be kept that is said once, and goes on: a
        full disk must not end the service, and what is on it tells the next life that keys are missing."""
        if self._bound.get(key, -1) >= build:
            return
        self._bound[key] = build
        if not self._failing:
            self._add(encode_binding(key, build))

    def _add(self, row: bytes) -> None:
        if self._size + len(row) > self.most:
            half, missing = len(self._bound) // 2, self._head.missing
            left_out = max(list(self._bound.values())[:half], default=0)
            self._head = replace(self._head, missing=max(left_out, -1 if missing is None else missing))
            self._bound = dict(list(self._bound.items())[half:])
            self._anew()
            return
        try:
            _put(self._file, row, self._size)
            self._size, self._count = self._size + len(row), self._count + 1
            _put(self._file, self._count.to_bytes(8, "big"), COUNT_FIELD.start)
        except OSError as error:
            self._failed(error)

    def _anew(self) -> None:
        data = encode_journal(self._head, self._bound.items())
        part, file = self.path.with_name(self.path.name + ".part"), -1
        try:
            file = os.open(part, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            _put(file, data, 0)  # not synced, which would hold up the loop: another boot is told apart
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
        """What stands in the file's place is no longer all: its count is spoilt, in place, so that it needs no room."""
        if not self._failing:
            self.log_event("facts_bad", level="warning", file=str(self.path), reason=error.strerror)
        self._failing = True
        with contextlib.suppress(OSError):
            file = os.open(self.path, os.O_WRONLY)
            try:
                os.pwrite(file, INVALID_COUNT, COUNT_FIELD.start)
            finally:
                os.close(file)


def _put(file: int, data: bytes, at: int) -> None:
    """All of it. Raises OSError: a disk that is nearly full takes a part and says nothing."""
    if os.pwrite(file, data, at) != len(data):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
