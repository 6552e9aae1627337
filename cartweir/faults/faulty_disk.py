"""A process of the program on a bad disk: `python -m cartweir.faults.faulty_disk FILE controller run ...` is `cartweir controller run ...`
whose writes and fsyncs do what FILE says at that moment, as JSON; a file that is not there says nothing:

    {"slow": 0.5}           each fsync takes so many seconds longer
    {"tear": "SIGKILL"}     of the next append to a log only half is written, then the process sends itself that signal:
                            SIGKILL ends it there, SIGSTOP leaves it standing until SIGCONT; once, the file is taken away

The disk is changed where the program meets it, in os.write and os.fsync: the program itself knows nothing of this."""

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

LOGS = (
    "log",
    "receivers.jsonl",
)  # names of files whose writes may be torn: a controller's log, the receivers' store


def hurt(file: Path) -> None:
    """From here on os.write and os.fsync of this process heed the file."""
    write, sync = os.write, os.fsync

    def said() -> dict[str, Any]:
        with contextlib.suppress(FileNotFoundError):
            return json.loads(file.read_text())
        return {}

    def torn_write(descriptor: int, data: Any) -> int:
        with contextlib.suppress(OSError):  # a descriptor of another kind has no path
            if Path(os.readlink(f"/proc/self/fd/{descriptor}")).name in LOGS and (how := said().get("tear")):
                file.unlink()
                done = write(descriptor, memoryview(data)[: len(data) // 2])
                signal.pthread_kill(
                    threading.get_ident(), signal.Signals[how]
                )  # before this thread does more
                return done
        return write(descriptor, data)

    def slow_sync(descriptor: int) -> None:
        time.sleep(said().get("slow", 0.0))
        sync(descriptor)

    os.write, os.fsync = torn_write, slow_sync


if __name__ == "__main__":
    hurt(Path(sys.argv[1]))
    del sys.argv[1]
    runpy.run_module(
        "cartweir", run_name="__main__", alter_sys=True
    )  # behind the change: the store takes os.fsync when it is loaded
