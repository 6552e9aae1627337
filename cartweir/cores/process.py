"""One child process of an agent on several cores: its start, its event loop and its supervisor channel."""

from __future__ import annotations

import asyncio
import itertools
import json
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
from .decider import SEED_STRIDE, Decider, DeciderFiles
from .dispatcher import Dispatcher, DispatcherConfig
from .pipe import Pipe
from .standalone import accept_delay

DECIDER = 0  # number of the decider's process; workers count from 1

# Numbers of invocations, and of connections in the tap file, that one generation of one process may use. The
# audit takes the process and its generation from the number of a connection.
IDS_PER_GENERATION = 1 << 18
TAP_GENERATIONS = 256
TAP_PROCESS_SHIFT = 26

MAX_CONTROL_MESSAGE = 4096  # bytes
MAX_CONTROL_FILES = 4  # descriptors that come with one message
EXIT_WITHOUT_SUPERVISOR = 1  # exit code


@dataclass(frozen=True, slots=True)
class ProcessConfig:
    """What a child process is started with.

    Attributes:
        number: `DECIDER`, or the number of a worker.
        generation: How often this child has been started, from 1.
        document: The agent's settings.
        control: The child's end of the socket to the supervisor.
        listening: The socket that accepts clients.
        files: Descriptors of the shared state.
        tap: File that records the traffic on the sockets.
        facts_lock: Lock on the agent's file of bound keys, which outlives the agent; the shared state does
            not.
    """

    number: int
    generation: int
    document: AgentDocument
    control: socket.socket
    listening: socket.socket
    files: tuple[int, int, int]
    tap: Path | None
    facts_lock: IO[str] | None = None

    def open_tap(self) -> FileTap | None:
        """Opens the tap file, with connection numbers that no other process or generation uses."""
        first = (self.number << TAP_PROCESS_SHIFT) + (self.generation % TAP_GENERATIONS) * IDS_PER_GENERATION
        return FileTap(self.tap, first) if self.tap else None


class SupervisorChannel:
    """The child's end of the socket to the supervisor.

    Heartbeats are sent by the event loop itself, so that none is sent while the loop is blocked.

    Args:
        sock: The child's end.
        heartbeat: Interval of the heartbeats in microseconds.
        on_message: Called with each message and the descriptors that came with it.

    Attributes:
        heartbeat_tasks: Functions called before each heartbeat.
    """

    def __init__(
        self, sock: socket.socket, heartbeat: int, on_message: Callable[[dict, list[int]], None]
    ) -> None:
        self.sock, self.heartbeat, self.on_message = sock, heartbeat, on_message
        self.loop = IOLoop.current()
        self.heartbeat_tasks: list[Callable[[], None]] = []
        sock.setblocking(False)
        self.loop.add_handler(sock, self._on_event, IOLoop.READ)
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        for task in self.heartbeat_tasks:
            task()
        self.send(heartbeat=True)
        self.loop.call_later(self.heartbeat / 1e6, self._send_heartbeat)

    def send(self, **fields: Any) -> None:
        """Sends a message; ends the process if the supervisor has gone, with which the agent ends."""
        try:
            self.sock.send(json.dumps(fields).encode())
        except BlockingIOError:
            pass  # the supervisor itself runs late and allows for it
        except OSError:
            os._exit(EXIT_WITHOUT_SUPERVISOR)

    def _on_event(self, sock: socket.socket, events: int) -> None:
        try:
            data, files, _, _ = socket.recv_fds(sock, MAX_CONTROL_MESSAGE, MAX_CONTROL_FILES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            os._exit(EXIT_WITHOUT_SUPERVISOR)
        self.on_message(json.loads(data), files)


class WorkerProcess:
    """A worker: owns connections to clients and appliances, and carries calls between them.

    Attributes:
        ended: Set once the process may exit.
    """

    def __init__(self, config: ProcessConfig, log: Any) -> None:
        document, agent = config.document, config.document.agent
        self.config, self.log, self.workers = config, log, agent.cores
        self.clock = Clock(agent.heartbeat, arrival_selector(asyncio.get_running_loop()))
        tap = config.open_tap()
        self.appliance_pools = AppliancePools(
            appliance_options(document, agent.cores), self.clock.now, self.log_event, tap
        )
        operations = build_operations(document)
        settings = {**document.decision_settings(), "operations": operations}
        # numbers of invocations that no other worker and no other generation uses
        first_id = (config.generation * agent.cores + config.number - 1) * IDS_PER_GENERATION + 1
        seed = (agent.seed or int.from_bytes(os.urandom(4), "big")) * SEED_STRIDE + config.number
        self.dispatcher = self.appliance_pools.engine_host = Dispatcher(
            DispatcherConfig(config.number, agent.cores, settings, seed),
            self.clock,
            self.appliance_pools,
            self.log_event,
            itertools.count(first_id),
        )
        bounds = front_limits(document).part(agent.cores)
        self.front = Front(
            self.dispatcher,
            operations_by_path(document, self.dispatcher.operations),
            bounds,
            self.clock,
            self.log_event,
            {PEER_MESSAGE_PATH: self.dispatcher.forward_peer_message} if document.allowed.may_message else {},
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
        self.control = SupervisorChannel(config.control, agent.heartbeat, self._on_control_message)
        self.control.heartbeat_tasks += [self.dispatcher.send_heartbeat, self._check_stall]

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        """Logs an event."""
        write_event(self.log, event, level, **facts)

    def _check_stall(self) -> None:
        stalled = self.clock.measure_stall()
        if stalled:
            self.log_event("stalled", level="warning", milliseconds=stalled // 1000)

    def _on_control_message(self, message: dict, files: list[int]) -> None:
        if "connect" in message:
            self._connect(message["connect"], message["generation"], socket.socket(fileno=files[0]))
        elif "drain" in message:
            self.on_signal()

    def _connect(self, number: int, generation: int, sock: socket.socket) -> None:
        """Takes up a pipe to the decider or to another worker, in place of the one before."""
        if number == DECIDER:
            if self.dispatcher.decider is not None:
                self.dispatcher.decider.close()
                self.dispatcher.disconnect_decider(self.dispatcher.decider_generation)
            pipe = Pipe(
                sock, self.dispatcher.on_message, partial(self.dispatcher.disconnect_decider, generation)
            )
            self.dispatcher.connect_decider(pipe, generation)
            return
        forwarding = self.dispatcher.forwarding
        if (old := forwarding.pipes.get(number)) is not None:
            old.close()
        pipe = Pipe(sock, partial(forwarding.on_message, number), lambda: forwarding.on_worker_lost(pipe))
        forwarding.pipes[number] = pipe

    def start_up(self) -> None:
        """Accepts clients from now on."""
        self.front.accept_from([self.config.listening], accept_delay)
        self.control.send(ready=True)

    def on_signal(self) -> None:
        """Drains; at a second call, answers all open calls at once."""
        self.dispatcher.draining = True
        self.dispatcher.send_heartbeat()
        self.shutdown.on_signal()

    def _end(self) -> None:
        self.front.close()
        self.appliance_pools.close()
        self.log_event("part_stopped")
        self.ended.set()


class DeciderProcess:
    """The process that decides for all workers.

    Attributes:
        ended: Set once the process may exit.
    """

    def __init__(self, config: ProcessConfig, log: Any) -> None:
        files = DeciderFiles(config.files, config.open_tap(), config.facts_lock)
        self.decider = Decider(config.document, log, config.generation, files)
        self.ended = asyncio.Event()
        self.control = SupervisorChannel(
            config.control, config.document.agent.heartbeat, self._on_control_message
        )
        self.log_event = self.decider.log_event

    def _on_control_message(self, message: dict, files: list[int]) -> None:
        if "connect" in message:
            self.decider.connect_worker(message["connect"], socket.socket(fileno=files[0]))
        elif "end" in message:
            self.ended.set()

    def start_up(self) -> None:
        """Starts to decide."""
        self.decider.start_up()
        self.control.send(ready=True)

    def on_signal(self) -> None:
        """Ends at once; the supervisor starts another decider unless the agent ends."""
        self.ended.set()


async def _run(config: ProcessConfig) -> None:
    document = config.document
    log = make_logger(document.log.format, document.log.level, part=config.number)
    process = (DeciderProcess if config.number == DECIDER else WorkerProcess)(config, log)
    running = asyncio.get_running_loop()
    running.set_exception_handler(lambda _, context: log_unhandled_exception(process.log_event, context))
    running.add_signal_handler(signal.SIGTERM, process.on_signal)
    process.start_up()
    await process.ended.wait()
    await asyncio.sleep(0)


def run_process(config: ProcessConfig) -> int:
    """Runs a child from start to end in the process that was forked for it; returns its exit code."""
    if config.number != DECIDER:
        # each worker accepts from the same queue by a descriptor of its own
        config = replace(config, listening=config.listening.dup())
        config.listening.setblocking(False)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_run(config))
    return 0
