"""One part as a process: what the supervisor and it say to each other, its loop, its life."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import os
import signal
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import IO, Any

from tornado.ioloop import IOLoop

from ..agent.appliance_pools import AppliancePools
from ..agent.control_plane import PEER_MESSAGE_PATH
from ..agent.daemon import (
    appliance_options,
    build_operations,
    front_limits,
    log_unhandled_exception,
    make_logger,
    operations_by_path,
    write_event,
)
from ..agent.front import Front
from ..hosting.clock import Clock, arrival_selector, new_event_loop
from ..hosting.graceful_shutdown import GracefulShutdown
from ..settings.schema import AgentDocument
from ..wire.tap import FileTap
from .decider import Decider
from .dispatcher import Dispatcher
from .division import accept_after
from .pipe import Pipe

DECIDER = 0  # its number; carrying parts count from 1
LIVES = 1 << 18  # of links and of invocations: numbers that one life of one part may use


@dataclass(frozen=True, slots=True)
class Role:
    """What a part is started with. control: its end of the supervisor's socket; files: of the book; facts: the lock of the agent's
    own file."""

    number: int
    life: int
    document: AgentDocument
    control: socket.socket
    listening: socket.socket
    files: tuple[int, int, int]
    tap: Path | None
    facts: IO[str] | None = None

    def open_tap(self) -> FileTap | None:
        first = (self.number << 26) + (self.life % 256) * LIVES
        return FileTap(self.tap, first) if self.tap else None


class Control:
    """The part's end: a beat at each heartbeat, from the loop itself, so that a loop that stands still is not heard.
    `told` is called with each message and its file descriptors."""

    def __init__(self, sock: socket.socket, heartbeat: int, told: Callable[[dict, list[int]], None]) -> None:
        self.sock, self.heartbeat, self.told = sock, heartbeat, told
        self.loop = IOLoop.current()
        self.beats: list[Callable[[], None]] = []
        sock.setblocking(False)
        self.loop.add_handler(sock, self._event, IOLoop.READ)
        self._beat()

    def _beat(self) -> None:
        for beat in self.beats:
            beat()
        self.say(beat=True)
        self.loop.call_later(self.heartbeat / 1e6, self._beat)

    def say(self, **facts: Any) -> None:
        try:
            self.sock.send(json.dumps(facts).encode())
        except BlockingIOError:
            pass  # the supervisor stands still; it reckons with that
        except OSError:
            os._exit(1)  # it is gone, and so is the agent

    def _event(self, sock: socket.socket, events: int) -> None:
        try:
            data, files, _, _ = socket.recv_fds(sock, 4096, 4)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            os._exit(1)
        self.told(json.loads(data), files)


class WorkerProcess:
    """A carrying part."""

    def __init__(self, role: Role, log: Any) -> None:
        document, agent = role.document, role.document.agent
        self.role, self.log, self.parts = role, log, agent.cores
        self.clock = Clock(agent.heartbeat, arrival_selector(asyncio.get_running_loop()))
        tap = role.open_tap()
        self.appliance_pools = AppliancePools(
            appliance_options(document, agent.cores), self.clock.now, self.log_event, tap
        )
        operations = build_operations(document)
        settings = {**document.decision_settings(), "operations": operations}
        # numbers of invocations that no other part and no other life uses
        idents = itertools.count((role.life * agent.cores + role.number - 1) * LIVES + 1)
        seed = (agent.seed or int.from_bytes(os.urandom(4), "big")) * 1000 + role.number
        self.dispatcher = self.appliance_pools.engine_host = Dispatcher(
            role.number, agent.cores, settings, self.clock, self.appliance_pools, self.log_event, idents, seed
        )
        bounds = front_limits(document)
        bounds.connections = math.ceil(bounds.connections / agent.cores)
        self.front = Front(
            self.dispatcher,
            operations_by_path(document, self.dispatcher.operations),
            bounds,
            self.clock,
            self.log_event,
            {PEER_MESSAGE_PATH: self.dispatcher.tell} if document.allowed.may_message else {},
            tap,
        )
        self.ended = asyncio.Event()
        self.shutdown = GracefulShutdown(
            self.clock.now,
            agent.tick,
            agent.drain_time,
            self.front,
            lambda: self.dispatcher.held,
            self.dispatcher.give_up_all,
            self._end,
            self.log_event,
        )
        self.control = Control(role.control, agent.heartbeat, self._told)
        self.control.beats += [self.dispatcher.beat, self._stalls]

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        write_event(self.log, event, level, **facts)

    def _stalls(self) -> None:
        stalled = self.clock.measure_stall()
        if stalled:
            self.log_event("stalled", level="warning", milliseconds=stalled // 1000)

    def _told(self, message: dict, files: list[int]) -> None:
        if "meet" in message:
            self._meet(message["meet"], message["life"], socket.socket(fileno=files[0]))
        elif "drain" in message:
            self.on_signal()

    def _meet(self, number: int, life: int, sock: socket.socket) -> None:
        if number == DECIDER:
            if self.dispatcher.decider is not None:
                self.dispatcher.decider.close()
                self.dispatcher.parted(self.dispatcher.life)
            self.dispatcher.meet(Pipe(sock, self.dispatcher.hear, partial(self.dispatcher.parted, life)), life)
            return
        forwarding = self.dispatcher.forwarding
        if (old := forwarding.pipes.get(number)) is not None:
            old.close()
        pipe = Pipe(sock, partial(forwarding.heard, number), lambda: forwarding.lost(pipe))
        forwarding.pipes[number] = pipe

    def start_up(self) -> None:
        self.front.accept_from([self.role.listening], accept_after)
        self.control.say(ready=True)

    def on_signal(self) -> None:
        self.dispatcher.leaving = True
        self.dispatcher.beat()
        self.shutdown.on_signal()

    def _end(self) -> None:
        self.front.close()
        self.appliance_pools.close()
        self.log_event("part_stopped")
        self.ended.set()


class DeciderProcess:
    """The deciding part."""

    def __init__(self, role: Role, log: Any) -> None:
        self.decider = Decider(role.document, log, role.files, role.life, role.open_tap(), role.facts)
        self.ended = asyncio.Event()
        self.control = Control(role.control, role.document.agent.heartbeat, self._told)
        self.log_event = self.decider.log_event

    def _told(self, message: dict, files: list[int]) -> None:
        if "meet" in message:
            self.decider.meet(message["meet"], socket.socket(fileno=files[0]))
        elif "end" in message:
            self.ended.set()

    def start_up(self) -> None:
        self.decider.start_up()
        self.control.say(ready=True)

    def on_signal(self) -> None:
        """Another one takes its place."""
        self.ended.set()


async def _live(role: Role) -> None:
    document = role.document
    log = make_logger(document.log.format, document.log.level, part=role.number)
    part = (DeciderProcess if role.number == DECIDER else WorkerProcess)(role, log)
    running = asyncio.get_running_loop()
    running.set_exception_handler(lambda _, context: log_unhandled_exception(part.log_event, context))
    running.add_signal_handler(signal.SIGTERM, part.on_signal)
    part.start_up()
    await part.ended.wait()
    await asyncio.sleep(0)


def live(role: Role) -> int:
    """A part's whole life, in the process that was forked for it. Returns its exit code."""
    if role.number != DECIDER:
        # each accepts from the same queue by a descriptor of its own
        role = replace(role, listening=role.listening.dup())
        role.listening.setblocking(False)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_live(role))
    return 0
