"""Starts, watches and restarts the parts of one agent. It has no loop of its own kind, no threads and no decisions on
routing, so that forking from it is safe and quick: a part starts with everything already loaded."""

from __future__ import annotations

import ctypes
import gc
import json
import os
import random
import selectors
import signal
import socket
import sys
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tornado.netutil import bind_sockets

from ..agent.daemon import make_logger
from ..agent.key_journal_file import lock_journal
from ..hosting.clock import monotonic
from ..hosting.tcp import split_address
from ..settings.schema import AgentDocument
from .division import RestartPolicy
from .pipe import pair
from .process import DECIDER, Role, live
from .shared_state import new_files

LOOK = 50_000  # microseconds between looks at the parts
ENDING = 2.0  # seconds that parts of an agent that was killed may take to end behind it
_PR_SET_PDEATHSIG = 1


class Child:
    """One part, through all its lives."""

    def __init__(self, number: int, tending: RestartPolicy) -> None:
        self.number, self.tending = number, tending
        self.life = 0
        self.pid = 0  # 0: does not run
        self.control: socket.socket | None = None
        self.due = 0  # when it is to be started
        self.ready = False


class Supervisor:
    """work: what a forked part does, given its Role. Raises OSError where it cannot listen, InUse where another keeps its facts there."""

    def __init__(
        self, document: AgentDocument, tap: Path | None = None, work: Callable[[Role], int] = live
    ) -> None:
        self.document, self.tap, self.work = document, tap, work
        agent = document.agent
        self.log = make_logger(document.log.format, document.log.level)
        host, port = split_address(agent.listen)
        self.listening = bind_sockets(port, host, backlog=1024)[0]
        self.address = f"{host}:{self.listening.getsockname()[1]}"
        self.files = new_files()
        self.facts = lock_journal(agent.facts_file, ENDING) if agent.facts_file else None
        chance = random.Random(agent.seed)
        self.children = {
            number: Child(number, RestartPolicy(agent.hang_time, chance)) for number in range(agent.cores + 1)
        }
        self.selector = selectors.DefaultSelector()
        self.signals = 0
        self._started = False
        self._expected_at = monotonic()

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        getattr(self.log, level)(event, **facts)

    # ---- the loop ----
    def run(self) -> int:
        """Until all parts have ended. Returns the exit code."""
        wake, woken = socket.socketpair()
        for sock in (wake, woken):
            sock.setblocking(False)
        signal.set_wakeup_fd(wake.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._signalled)
        signal.signal(signal.SIGCHLD, lambda *_: None)
        self.selector.register(woken, selectors.EVENT_READ, None)
        gc.collect()
        gc.freeze()
        said = 0
        while True:
            now = monotonic()
            self._start_due(now)
            if self.signals > said:
                said = self.signals
                self._end_all(said)
            if said and not any(child.pid for child in self.children.values()):
                self.log_event("stopped")
                return 0
            self._expected_at = now + LOOK
            for key, _ in self.selector.select(LOOK / 1e6):
                if key.data is None:
                    woken.recv(4096)
                else:
                    self._hear(key.data)
            self._reap()
            if said:
                self._end_decider()
            self._look(monotonic())

    def _signalled(self, number: int, frame: Any) -> None:
        self.signals += 1

    def _look(self, now: int) -> None:
        lag = max(0, now - self._expected_at)
        for child in self.children.values():
            if child.pid and child.tending.hung(now, lag):
                self.log_event(
                    "part_hung", level="error", part=child.number, silent=(now - child.tending.beat) // 1000
                )
                child.tending.beat = now
                self._kill(child)

    def _kill(self, child: Child) -> None:
        if child.pid:
            os.kill(child.pid, signal.SIGKILL)

    # ---- parts ----
    def _start_due(self, now: int) -> None:
        carriers = any(c.pid for c in self.children.values() if c.number != DECIDER)
        for child in self.children.values():
            wanted = not self.signals or (child.number == DECIDER and carriers)
            if not child.pid and wanted and now >= child.due:
                self._start(child, now)

    def _start(self, child: Child, now: int) -> None:
        child.life += 1
        child.ready = False
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        others = [c for c in self.children.values() if c.pid and c is not child]
        role = Role(
            child.number, child.life, self.document, theirs, self.listening, self.files, self.tap, self.facts
        )
        sys.stderr.flush()
        parent = os.getpid()
        pid = os.fork()
        if pid == 0:
            self._be(role, ours, parent)
        theirs.close()
        ours.setblocking(False)
        child.pid, child.control = pid, ours
        child.tending.started(now)
        self.selector.register(ours, selectors.EVENT_READ, child)
        if child.life > 1:
            self.log_event("part_started", part=child.number, life=child.life, pid=pid)
        for other in others:
            self._introduce(child, other)

    def _be(self, role: Role, ours: socket.socket, parent: int) -> None:
        """In the forked process, until its end."""
        code = 1
        try:
            ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
            if os.getppid() != parent:
                return
            signal.set_wakeup_fd(-1)
            for number in (signal.SIGTERM, signal.SIGCHLD):
                signal.signal(number, signal.SIG_DFL)
            signal.signal(
                signal.SIGINT, signal.SIG_IGN
            )  # a terminal's goes to all: the supervisor sees to it
            ours.close()
            self.selector.close()
            for child in self.children.values():
                if child.control is not None:
                    child.control.close()
            code = self.work(role)
        except BaseException as error:  # noqa: BLE001 - nothing of it may come back into the supervisor's code
            where = traceback.extract_tb(error.__traceback__)[-1] if error.__traceback__ else None
            self.log_event(
                "internal_error",
                level="error",
                part=role.number,
                error=repr(error),
                where=f"{where.name}:{where.lineno}" if where else None,
            )
        finally:
            sys.stderr.flush()
            os._exit(code)

    def _introduce(self, one: Child, other: Child) -> None:
        """A pipe between two parts."""
        ends = pair()
        for child, peer, sock in ((one, other, ends[0]), (other, one, ends[1])):
            message = json.dumps({"meet": peer.number, "life": peer.life}).encode()
            try:
                socket.send_fds(child.control, [message], [sock.fileno()])
            except OSError:  # it has just ended, or does not listen at all
                self._kill(child)
        for sock in ends:
            sock.close()

    def _hear(self, child: Child) -> None:
        while child.control is not None:
            try:
                data = child.control.recv(4096)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            if not data:
                self.selector.unregister(child.control)
                child.control.close()
                child.control = None
                return
            child.tending.beat = monotonic()
            if b"ready" in data:
                child.ready = True
                if not self._started and all(c.ready for c in self.children.values()):
                    self._started = True
                    agent = self.document.agent
                    self.log_event(
                        "started",
                        listen=self.address,
                        me=agent.me,
                        agents=agent.agents,
                        cores=agent.cores,
                        parts={c.number: c.pid for c in self.children.values()},
                    )

    def _reap(self) -> None:
        for child in self.children.values():
            if not child.pid:
                continue
            pid, status = os.waitpid(child.pid, os.WNOHANG)
            if pid:
                self._ended(child, status)

    def _ended(self, child: Child, status: int) -> None:
        now, code = monotonic(), os.waitstatus_to_exitcode(status)
        child.pid = 0
        if child.control is not None:
            self.selector.unregister(child.control)
            child.control.close()
            child.control = None
        child.due = child.tending.again(now)
        self.log_event(
            "part_ended",
            level="info" if code == 0 else "error",
            part=child.number,
            life=child.life,
            code=code,
            again=(child.due - now) // 1000,
        )

    def _end_all(self, signals: int) -> None:
        """Carrying parts drain, or answer what is owed at once; the deciding part ends when they have."""
        if signals == 1:
            self.listening.close()
            self.log_event("draining")
        for child in self.children.values():
            if child.number != DECIDER and child.control is not None:
                try:
                    child.control.send(json.dumps({"drain": True}).encode())
                except OSError:
                    self._kill(child)

    def _end_decider(self) -> None:
        child = self.children[DECIDER]
        if child.control is not None and not any(
            c.pid for c in self.children.values() if c.number != DECIDER
        ):
            try:
                child.control.send(json.dumps({"end": True}).encode())
            except OSError:
                self._kill(child)
