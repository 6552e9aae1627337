"""Runs a module with faults at its boundary to the machine: wall clock, sockets, files, standard error.

`python -m cartweir.soak.shim PLAN RECORD MODULE` is `python -m MODULE` under the plan (`plan.py`). The module
itself contains nothing of this. RECORD gets a line for each fault that was injected, with the number of the
call, and one for each request of a client whose head the process has read.
"""

from __future__ import annotations

import builtins
import errno
import importlib
import itertools
import os
import random
import re
import runpy
import socket
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..hosting.clock import monotonic
from .plan import BROKEN, SHORT, CallFault, ProcessPlan

MAX_SHORT_READ = 7  # bytes
MAX_KEPT_HEAD = 1024  # bytes of an incomplete head; a client's own has fewer
PARENT_CHECK_INTERVAL = 1.0  # seconds
STANDARD_ERROR = 2  # descriptor
BEFORE_START = -1
_REQUEST_ID = re.compile(rb"X-Request-ID: ([!-~]+)\r\n")


class Shim:
    """Injects the faults of a plan into this process.

    Attributes:
        plan: The plan.
    """

    def __init__(self, plan: ProcessPlan, record: Path) -> None:
        self.plan = plan
        self._record = os.open(record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._random = random.Random(plan.seed)
        self._counts: dict[str, itertools.count] = {}
        self._accepted: dict[int, bytes] = {}  # descriptors of clients' connections, and what a head lacks
        self._write = os.write
        self._origin: int | None = None  # the clients' start; None until then

    def note(self, text: str) -> None:
        """Writes a line with the present time to the record."""
        self._write(self._record, f"{monotonic()} {text}\n".encode())

    def fault(self, call: str, allowed: Callable[[str], bool] = lambda error: True) -> str | None:
        """Returns the fault of this call, or None; counts the call."""
        number = next(self._counts.setdefault(call, itertools.count()))
        now = self._elapsed()
        for fault in self.plan.calls:
            if fault.call == call and self._strikes(fault, now) and allowed(fault.error):
                self.note(f"fault {call} {number} {fault.error}")
                return fault.error
        return None

    def _elapsed(self) -> int:
        """Returns the microseconds since the clients' start; below 0 before."""
        if self._origin is None:
            try:
                self._origin = int(Path(self.plan.origin_file).read_text())
            except FileNotFoundError:
                return BEFORE_START
        return monotonic() - self._origin

    def _strikes(self, fault: CallFault, now: int) -> bool:
        return fault.begins_at <= now < fault.ends_at and self._random.random() < fault.share

    def fail(self, call: str) -> None:
        """Raises the error of this call, if it has one."""
        if (error := self.fault(call)) is not None:
            raise _os_error(error)

    # ---- the clock ----
    def clock_offset(self) -> float:
        """Returns by how many seconds the wall clock has been stepped by now."""
        now = self._elapsed()
        return sum(step.seconds for step in self.plan.steps if step.at <= now)

    def install_clock(self) -> None:
        """Steps what `time.time` and `time.time_ns` return."""
        wall, wall_ns = time.time, time.time_ns
        time.time = lambda: wall() + self.clock_offset()
        time.time_ns = lambda: wall_ns() + int(self.clock_offset() * 1e9)

    # ---- sockets ----
    def install_sockets(self) -> None:
        """Lets calls on sockets fail."""
        self._install_new_sockets()
        self._install_transfers()

    def _install_new_sockets(self) -> None:
        make, accept, connect = socket.socket.__init__, socket.socket.accept, socket.socket.connect
        connect_ex = socket.socket.connect_ex

        def failing_init(
            sock: Any, family: int = -1, kind: int = -1, proto: int = -1, fileno: int | None = None
        ) -> None:
            if fileno is None:
                self.fail("socket")
            make(sock, family, kind, proto, fileno)

        def failing_accept(sock: Any) -> Any:
            self.fail("accept")
            accepted = accept(sock)
            self._accepted[accepted[0].fileno()] = b""
            return accepted

        def failing_connect_ex(sock: Any, address: Any) -> int:
            error = self.fault("connect")
            self._accepted.pop(sock.fileno(), None)
            return connect_ex(sock, address) if error is None else getattr(errno, error)

        def failing_connect(sock: Any, address: Any) -> None:
            self.fail("connect")
            self._accepted.pop(sock.fileno(), None)
            connect(sock, address)

        socket.socket.__init__, socket.socket.accept = failing_init, failing_accept
        socket.socket.connect, socket.socket.connect_ex = failing_connect, failing_connect_ex

    def _install_transfers(self) -> None:
        send, recv = socket.socket.send, socket.socket.recv

        def failing_send(sock: Any, data: Any, *flags: int) -> int:
            if sock.family != socket.AF_INET:  # the event loop wakes itself by such a pair
                return send(sock, data, *flags)
            error = self.fault("send", lambda name: self._may_break(sock, name))
            if error == SHORT and len(data) > 1:
                data = memoryview(data)[: len(data) // 2]
            elif error is not None and error != SHORT:
                self._break(sock, error)
            return send(sock, data, *flags)

        def failing_recv(sock: Any, size: int, flags: int = 0) -> bytes:
            if flags & socket.MSG_PEEK or sock.family != socket.AF_INET:
                return recv(sock, size, flags)
            error = self.fault("recv", lambda name: self._may_break(sock, name))
            if error == SHORT:
                size = min(size, MAX_SHORT_READ)
            elif error is not None:
                self._break(sock, error)
            data = recv(sock, size, flags)
            self._note_request(sock.fileno(), data)
            return data

        socket.socket.send, socket.socket.recv = failing_send, failing_recv

    def _may_break(self, sock: Any, error: str) -> bool:
        """Connections that break are those to servers: a client whose connection breaks has gone."""
        return error not in BROKEN or sock.fileno() not in self._accepted

    @staticmethod
    def _break(sock: Any, error: str) -> None:
        if error in BROKEN:
            sock.shutdown(socket.SHUT_RDWR)  # the other side sees the end of the connection as well
        raise _os_error(error)

    def _note_request(self, descriptor: int, data: bytes) -> None:
        """Notes the ids of the requests whose heads are now read whole."""
        if descriptor not in self._accepted:
            return
        seen = self._accepted[descriptor] + data
        head, end, rest = seen.rpartition(b"\r\n\r\n")
        for request_id in _REQUEST_ID.findall(head + end):
            self.note(f"read {request_id.decode()}")
        self._accepted[descriptor] = rest[-MAX_KEPT_HEAD:]

    # ---- files ----
    def install_files(self) -> None:
        """Lets opening of files and writes to standard error fail."""
        open_file = builtins.open

        def failing_open(file: Any, *arguments: Any, **more: Any) -> Any:
            if str(file).endswith(".json"):
                self.fail("open")
            return open_file(file, *arguments, **more)

        def failing_write(descriptor: int, data: Any) -> int:
            if descriptor == STANDARD_ERROR:
                self.fail("log")
            return self._write(descriptor, data)

        builtins.open, os.write = failing_open, failing_write
        sys.stderr = _FailingStream(sys.stderr, self)


class _FailingStream:
    """Standard error as Python's own stream, which does not write by `os.write`."""

    def __init__(self, stream: Any, shim: Shim) -> None:
        self._stream, self._shim = stream, shim

    def write(self, text: str) -> int:
        self._shim.fail("log")
        return self._stream.write(text)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


def _os_error(name: str) -> OSError:
    code = getattr(errno, name)
    return OSError(code, os.strerror(code))


def end_with_parent() -> None:
    """Ends this process once the one that started it has gone, so that no run leaves agents behind."""
    parent = os.getppid()

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_CHECK_INTERVAL)
        os._exit(1)

    threading.Thread(target=watch, daemon=True).start()


def main() -> None:
    """Installs the faults and runs the module."""
    end_with_parent()
    plan, record, module = sys.argv[1:4]
    shim = Shim(ProcessPlan.read(Path(plan)), Path(record))
    if shim.plan.flaw:
        flaws = importlib.import_module("cartweir.soak.flaws")  # it loads the program
        flaws.install(shim.plan.flaw)
    shim.install_clock()
    shim.install_sockets()
    shim.install_files()
    sys.argv[1:4] = []
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
