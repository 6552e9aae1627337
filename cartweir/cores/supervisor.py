"""Starts, watches and restarts the processes of one agent.

The supervisor has no event loop, no threads and no routing decisions, so that forking from it is safe and
    fast: a
child process starts with everything already loaded.
"""

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
from .pipe import create_socket_pair
from .process import DECIDER, MAX_CONTROL_MESSAGE, ProcessConfig, run_process
from .restarts import RestartPolicy
from .shared_state import new_files

CHECK_INTERVAL = 50_000  # microseconds between checks of the children
LOCK_TIMEOUT = 2.0  # seconds that the processes of a killed agent may take to end and to release its files
ACCEPT_BACKLOG = 1024  # connections
WAKEUP_READ_SIZE = 4096  # bytes
_PR_SET_PDEATHSIG = 1


class Child:
    """One child process, across its restarts.

    Attributes:
        number: Its number: `DECIDER`, or a worker's.
        restarts: When it is restarted or ended by force.
        generation: How often it has been started.
        pid: Its process; 0 while it does not run.
        control: The supervisor's end of the socket between them.
        start_at: When it is to be started.
        ready: Whether its present generation has started up.
    """

    def __init__(self, number: int, restarts: RestartPolicy) -> None:
        self.number, self.restarts = number, restarts
        self.generation = 0
        self.pid = 0
        self.control: socket.socket | None = None
        self.start_at = 0
        self.ready = False


class Supervisor:
    """The parent of all processes of one agent.

    Args:
        document: The agent's settings.
        tap: File that records the traffic on the sockets.
        run_child: What a forked child runs; returns its exit code.

    Raises:
        OSError: If the address cannot be listened on.
        InUse: If another agent uses the file of bound keys.
    """

    def __init__(
        self,
        document: AgentDocument,
        tap: Path | None = None,
        run_child: Callable[[ProcessConfig], int] = run_process,
    ) -> None:
        self.document, self.tap, self.run_child = document, tap, run_child
        agent = document.agent
        self.log = make_logger(document.log.format, document.log.level)
        host, port = split_address(agent.listen)
        self.listening = bind_sockets(port, host, backlog=ACCEPT_BACKLOG)[0]
        self.address = f"{host}:{self.listening.getsockname()[1]}"
        self.files = new_files()
        self.facts_lock = lock_journal(agent.facts_file, LOCK_TIMEOUT) if agent.facts_file else None
        chance = random.Random(agent.seed)
        self.children = {
            number: Child(number, RestartPolicy(agent.hang_time, chance)) for number in range(agent.cores + 1)
        }
        self.selector = selectors.DefaultSelector()
        self.signals = 0  # SIGTERM and SIGINT received
        self._started = False
        self._next_check = monotonic()

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        """Logs an event."""
        getattr(self.log, level)(event, **facts)

    # ---- the main loop ----
    def run(self) -> int:
        """Runs until a signal has ended all children; returns the exit code."""
        wakeup, woken = socket.socketpair()
        for sock in (wakeup, woken):
            sock.setblocking(False)
        signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        signal.signal(signal.SIGCHLD, lambda *_: None)
        self.selector.register(woken, selectors.EVENT_READ, None)
        gc.collect()
        gc.freeze()
        handled = 0
        while True:
            now = monotonic()
            self._start_children(now)
            if self.signals > handled:
                handled = self.signals
                self._stop_workers(handled)
            if handled and not any(child.pid for child in self.children.values()):
                self.log_event("stopped")
                return 0
            self._next_check = now + CHECK_INTERVAL
            for key, _ in self.selector.select(CHECK_INTERVAL / 1e6):
                if key.data is None:
                    woken.recv(WAKEUP_READ_SIZE)
                else:
                    self._read_control(key.data)
            self._reap()
            if handled:
                self._stop_decider()
            self._kill_hung(monotonic())

    def _on_signal(self, number: int, frame: Any) -> None:
        self.signals += 1

    def _kill_hung(self, now: int) -> None:
        lag = max(0, now - self._next_check)
        for child in self.children.values():
            if child.pid and child.restarts.is_hung(now, lag):
                self.log_event(
                    "part_hung",
                    level="error",
                    part=child.number,
                    silent=(now - child.restarts.last_heartbeat) // 1000,
                )
                child.restarts.last_heartbeat = now
                self._kill(child)

    def _kill(self, child: Child) -> None:
        if child.pid:
            os.kill(child.pid, signal.SIGKILL)

    # ---- start ----
    def _start_children(self, now: int) -> None:
        workers_run = any(child.pid for child in self.children.values() if child.number != DECIDER)
        for child in self.children.values():
            wanted = not self.signals or (child.number == DECIDER and workers_run)
            if not child.pid and wanted and now >= child.start_at:
                self._start(child, now)

    def _start(self, child: Child, now: int) -> None:
        child.generation += 1
        child.ready = False
        own_end, child_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        others = [other for other in self.children.values() if other.pid and other is not child]
        config = ProcessConfig(
            child.number,
            child.generation,
            self.document,
            child_end,
            self.listening,
            self.files,
            self.tap,
            self.facts_lock,
        )
        sys.stderr.flush()
        parent = os.getpid()
        pid = os.fork()
        if pid == 0:
            self._run_forked(config, own_end, parent)
        child_end.close()
        own_end.setblocking(False)
        child.pid, child.control = pid, own_end
        child.restarts.record_start(now)
        self.selector.register(own_end, selectors.EVENT_READ, child)
        if child.generation > 1:
            self.log_event("part_started", part=child.number, life=child.generation, pid=pid)
        for other in others:
            self._connect(child, other)

    def _run_forked(self, config: ProcessConfig, supervisor_end: socket.socket, parent: int) -> None:
        """Runs the child in the forked process; never returns."""
        code = 1
        try:
            ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
            if os.getppid() != parent:
                return
            signal.set_wakeup_fd(-1)
            for number in (signal.SIGTERM, signal.SIGCHLD):
                signal.signal(number, signal.SIG_DFL)
            # a terminal sends SIGINT to all processes; the supervisor handles it
            signal.signal(signal.SIGINT, signal.SIG_IGN)
            supervisor_end.close()
            self.selector.close()
            for child in self.children.values():
                if child.control is not None:
                    child.control.close()
            code = self.run_child(config)
        except BaseException as error:  # no exception may unwind into the supervisor's main loop
            where = traceback.extract_tb(error.__traceback__)[-1] if error.__traceback__ else None
            self.log_event(
                "internal_error",
                level="error",
                part=config.number,
                error=repr(error),
                where=f"{where.name}:{where.lineno}" if where else None,
            )
        finally:
            sys.stderr.flush()
            os._exit(code)

    def _connect(self, one: Child, other: Child) -> None:
        """Gives two children the ends of a new pipe between them."""
        ends = create_socket_pair()
        for child, peer, sock in ((one, other, ends[0]), (other, one, ends[1])):
            message = json.dumps({"connect": peer.number, "generation": peer.generation}).encode()
            try:
                socket.send_fds(child.control, [message], [sock.fileno()])
            except OSError:  # the child has just ended, or reads nothing at all
                self._kill(child)
        for sock in ends:
            sock.close()

    # ---- while they run ----
    def _read_control(self, child: Child) -> None:
        while child.control is not None:
            try:
                data = child.control.recv(MAX_CONTROL_MESSAGE)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            if not data:
                self.selector.unregister(child.control)
                child.control.close()
                child.control = None
                return
            child.restarts.last_heartbeat = monotonic()
            if b"ready" in data:
                child.ready = True
                if not self._started and all(each.ready for each in self.children.values()):
                    self._started = True
                    agent = self.document.agent
                    self.log_event(
                        "started",
                        listen=self.address,
                        me=agent.me,
                        agents=agent.agents,
                        cores=agent.cores,
                        parts={each.number: each.pid for each in self.children.values()},
                    )

    # ---- end ----
    def _reap(self) -> None:
        for child in self.children.values():
            if not child.pid:
                continue
            pid, status = os.waitpid(child.pid, os.WNOHANG)
            if pid:
                self._on_child_ended(child, status)

    def _on_child_ended(self, child: Child, status: int) -> None:
        now, code = monotonic(), os.waitstatus_to_exitcode(status)
        child.pid = 0
        if child.control is not None:
            self.selector.unregister(child.control)
            child.control.close()
            child.control = None
        child.start_at = child.restarts.next_start(now)
        self.log_event(
            "part_ended",
            level="info" if code == 0 else "error",
            part=child.number,
            life=child.generation,
            code=code,
            again=(child.start_at - now) // 1000,
        )

    def _stop_workers(self, signals: int) -> None:
        """Lets the workers drain, or, at a second signal, answer all open calls at once.

        The decider ends after them.
        """
        if signals == 1:
            self.listening.close()
            self.log_event("draining")
        for child in self.children.values():
            if child.number != DECIDER and child.control is not None:
                try:
                    child.control.send(json.dumps({"drain": True}).encode())
                except OSError:
                    self._kill(child)

    def _stop_decider(self) -> None:
        child = self.children[DECIDER]
        if child.control is not None and not any(
            each.pid for each in self.children.values() if each.number != DECIDER
        ):
            try:
                child.control.send(json.dumps({"end": True}).encode())
            except OSError:
                self._kill(child)
