"""What a process takes of its machine, as Linux's proc(5) tells it: resident memory and descriptors."""

from __future__ import annotations

import contextlib
import os

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
RESIDENT_PAGES_FIELD = 1  # of /proc/PID/statm
STATM_BYTES = 128  # more than the file has
BYTES_PER_KIB = 1024


class ResidentMemory:
    """Measures the resident memory of this process; its file stays open, since it is read often."""

    def __init__(self) -> None:
        try:
            self._descriptor: int | None = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = None

    def measure(self) -> int:
        """Returns the resident memory in bytes; 0 if it is unknown."""
        if self._descriptor is None:
            return 0
        try:
            fields = os.pread(self._descriptor, STATM_BYTES, 0).split()
            return int(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0

    def close(self) -> None:
        """Closes its file."""
        descriptor, self._descriptor = self._descriptor, None
        if descriptor is not None:
            os.close(descriptor)


def peak_resident_bytes(process: int | str = "self") -> int:
    """Returns the highest resident memory of a process so far; 0 if it is unknown."""
    try:
        with open(f"/proc/{process}/status", encoding="ascii", errors="replace") as file:
            status = file.read()
    except OSError:
        return 0
    _, found, value = status.partition("VmHWM:")
    return int(value.split()[0]) * BYTES_PER_KIB if found else 0


def open_descriptors(process: int | str = "self") -> int:
    """Returns the number of descriptors that a process holds; 0 if it is unknown."""
    with contextlib.suppress(OSError):
        return len(os.listdir(f"/proc/{process}/fd"))
    return 0
