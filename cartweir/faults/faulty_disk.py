"""Runs the program on a faulty disk.

`python -m cartweir.faults.faulty_disk FILE controller run ...` is `cartweir controller run ...`, whose writes
and fsyncs behave as FILE says at that moment. FILE holds JSON; while it does not exist, the disk is sound:

    {"slow": 0.5}           each fsync takes this many seconds longer
    {"tear": "SIGKILL"}     only half of the next append to a log is written, then the process sends itself
                            this signal: SIGKILL ends it there, SIGSTOP stops it until SIGCONT. Done once:
                            FILE is removed then.

The faults are put into os.write and os.fsync, so the program itself contains nothing of this.
"""

from __future__ import annotations

import contextlib
import json
import os
import runpy
import signal
import sys
import threading
import time
from pathlib import Path
from typing import Any

TEARABLE_FILES = ("log", "receivers.jsonl")  # a controller's log, and the receivers' record


def install(file: Path) -> None:
    """Makes os.write and os.fsync of this process follow the file from now on."""
    write, sync = os.write, os.fsync

    def current_fault() -> dict[str, Any]:
        with contextlib.suppress(FileNotFoundError):
            return json.loads(file.read_text())
        return {}

    def torn_write(descriptor: int, data: Any) -> int:
        with contextlib.suppress(OSError):  # a descriptor of another kind has no path
            name = Path(os.readlink(f"/proc/self/fd/{descriptor}")).name
            if name in TEARABLE_FILES and (signal_name := current_fault().get("tear")):
                file.unlink()
                written = write(descriptor, memoryview(data)[: len(data) // 2])
                # to this thread, so that it does nothing more before the signal arrives
                signal.pthread_kill(threading.get_ident(), signal.Signals[signal_name])
                return written
        return write(descriptor, data)

    def slow_sync(descriptor: int) -> None:
        time.sleep(current_fault().get("slow", 0.0))
        sync(descriptor)

    os.write, os.fsync = torn_write, slow_sync


if __name__ == "__main__":
    install(Path(sys.argv[1]))
    del sys.argv[1]
    # only after the change: the store takes os.fsync when it is imported
    runpy.run_module("cartweir", run_name="__main__", alter_sys=True)
