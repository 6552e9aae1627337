"""An agent on several cores within one process: a real decider and real workers on real sockets.

A test can hold up the pipes between them, so that it causes each order of events instead of waiting for it.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable
from functools import partial
from pathlib import Path
from typing import Any

from peers import Appliance, Client, Log, settings
from tornado.ioloop import IOLoop

from cartweir.agent.appliance_pools import AppliancePools
from cartweir.agent.daemon import appliance_options, build_operations, front_limits, operations_by_path
from cartweir.agent.front import Front
from cartweir.cores.decider import Decider, DeciderFiles
from cartweir.cores.dispatcher import Dispatcher, DispatcherConfig
from cartweir.cores.pipe import Pipe, create_socket_pair
from cartweir.cores.process import IDS_PER_GENERATION
from cartweir.cores.shared_state import SharedState, new_files
from cartweir.hosting.clock import Clock
from cartweir.proto import agent_pb2 as pb
from cartweir.settings.ini import read_agent
from cartweir.standin.registry import Registry
from cartweir.wire.calls import Service


class Conveyor(Service):
    """Sends the stages that a test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.stage: pb.Stage | None = None
        self.listeners: list[Any] = []
        self.handlers["/cartweir.v1.Conveyor/News"] = self._news

    async def _news(self, request: Any) -> None:
        self.listeners.append(request)
        if self.stage is not None:
            request.send(pb.Word(stage=self.stage).SerializeToString())

    def set_stage(self, build: int, number: int, phase: int, cap: float) -> None:
        self.stage = pb.Stage(build=build, number=number, phase=phase, cap=cap)
        for request in self.listeners:
            if not request.cancelled:
                request.send(pb.Word(stage=self.stage).SerializeToString())


class Worker:
    """A worker without its process."""

    def __init__(self, number: int, document: Any, log: Log) -> None:
        def log_event(event: str, level: str = "info", **facts: Any) -> None:
            getattr(log, level)(event, part=number, **facts)

        self.number = number
        self.clock = Clock(document.agent.heartbeat)
        self.appliance_pools = AppliancePools(
            appliance_options(document, document.agent.cores), self.clock.now, log_event
        )
        decision_settings = {**document.decision_settings(), "operations": build_operations(document)}
        self.dispatcher = self.appliance_pools.engine_host = Dispatcher(
            DispatcherConfig(number, document.agent.cores, decision_settings, seed=number),
            self.clock,
            self.appliance_pools,
            log_event,
            itertools.count(number * IDS_PER_GENERATION),
        )
        self.front = Front(
            self.dispatcher,
            operations_by_path(document, self.dispatcher.operations),
            front_limits(document),
            self.clock,
            log_event,
            {},
        )
        self.address = self.front.listen("127.0.0.1:0")
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        self.dispatcher.send_heartbeat()
        self.timer = IOLoop.current().call_later(0.05, self._send_heartbeat)

    def stop_reading_decider(self) -> None:
        """Leaves the decider's messages unread, as if this worker had been stopped."""
        pipe = self.dispatcher.decider
        pipe._loop.remove_handler(pipe._sock)
        pipe._loop.remove_handler = lambda sock, real=pipe._loop.remove_handler: (
            real(sock) if sock is not pipe._sock else None
        )

    def resume_reading_decider(self) -> None:
        pipe = self.dispatcher.decider
        del pipe._loop.remove_handler
        pipe._loop.add_handler(pipe._sock, pipe._on_event, IOLoop.READ)

    def kill(self) -> None:
        """Closes all sockets without a last message, as if the process had been killed."""
        self.timer and IOLoop.current().remove_timeout(self.timer)
        for pipe in (self.dispatcher.decider, *self.dispatcher.forwarding.pipes.values()):
            if pipe is not None and not pipe.closed:
                pipe._batch.clear()
                pipe.close()
        for link in list(self.front.connections):
            link._stream.close()
        self.front.drain()
        self.appliance_pools.close()


class MulticoreAgent:
    """A decider, its workers, and what they talk to."""

    def __init__(self, folder: Path, cores: int, sections: dict[str, str]) -> None:
        self.log, self.registry, self.conveyor = Log(), Registry(), Conveyor()
        self.appliances: list[Appliance] = []
        self.clients: list[Client] = []
        agent = f"cores = {cores}\n" + sections.pop("agent", "")
        file = settings(
            folder,
            self.registry.listen_on("127.0.0.1:0"),
            self.conveyor.listen_on("127.0.0.1:0"),
            agent=agent,
            **sections,
        )
        self.document = read_agent(file)
        self.files = new_files()
        self.generation = 0
        self.decider: Decider | None = None
        self.workers = [Worker(number, self.document, self.log) for number in range(1, cores + 1)]
        for one, other in itertools.combinations(self.workers, 2):
            ends = create_socket_pair()
            for worker, peer, sock in ((one, other, ends[0]), (other, one, ends[1])):
                forwarding = worker.dispatcher.forwarding
                pipe = Pipe(sock, partial(forwarding.on_message, peer.number), lambda: None)
                pipe._on_closed = partial(forwarding.on_worker_lost, pipe)
                forwarding.pipes[peer.number] = pipe

    def start_decider(self) -> None:
        self.generation += 1
        self.decider = Decider(self.document, self.log, self.generation, DeciderFiles(self.files))
        for worker in self.workers:
            decider_end, worker_end = create_socket_pair()
            self.decider.connect_worker(worker.number, decider_end)
            dispatcher = worker.dispatcher
            on_closed = partial(dispatcher.disconnect_decider, self.generation)
            dispatcher.connect_decider(Pipe(worker_end, dispatcher.on_message, on_closed), self.generation)
        self.decider.start_up()

    def kill_decider(self) -> None:
        """Loses what the decider had not written, and stops all it does."""
        killed, self.decider = self.decider, None
        for worker in list(killed.workers.values()):
            worker.pipe._batch.clear()
            worker.pipe._on_closed = lambda: None
            worker.pipe.close()
        killed.workers.clear()
        killed.alarms.callback = lambda: None
        killed._heartbeat = lambda: None
        for channel in (killed.registry.channel, *killed.conveyor.channels):
            channel.close()
        killed.engine_host.apply_list = lambda *_: []
        killed.engine_host.apply_stage = lambda *_: None

    def recorded_exposures(self) -> list[tuple[int, int]]:
        """Reads the exposures as the next decider would."""
        return SharedState(self.files).exposures()

    async def add_appliance(self, act: Callable[..., Any], build: int = 1, run: int = 1) -> Appliance:
        appliance = Appliance(act)
        appliance.name = f"a{len(self.appliances)}"
        self.appliances.append(appliance)
        appliance.entry = pb.Entry(
            appliance=appliance.name, address=await appliance.listen(), build=build, run=run
        )
        self.registry.put(appliance.entry)
        return appliance

    def set_state(self, appliance: Appliance, state: int) -> None:
        entry = pb.Entry()
        entry.CopyFrom(appliance.entry)
        entry.state = state
        self.registry.put(entry)

    async def connect_client(self, worker: int) -> Client:
        client = await Client.connect(self.workers[worker - 1].address)
        self.clients.append(client)
        return client

    async def until_all_workers(self, condition: Callable[[Dispatcher], bool]) -> None:
        await until(lambda: all(condition(worker.dispatcher) for worker in self.workers))


async def until(condition: Callable[[], Any]) -> None:
    while not condition():
        await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def run_agent(
    folder: Path, *acts: Any, cores: int = 2, stage: tuple | None = None, **sections: str
) -> AsyncIterator[MulticoreAgent]:
    """Runs an agent until its workers know their surroundings, and closes everything behind it.

    acts: of one appliance each, or (act, build). stage: build, number, phase, cap. sections: lines for
        sections of
    the settings.
    """
    agent = MulticoreAgent(folder, cores, dict(sections))
    for act in acts:
        await agent.add_appliance(*(act if isinstance(act, tuple) else (act,)))
    if stage is not None:
        agent.conveyor.set_stage(*stage)
    agent.start_decider()
    await agent.until_all_workers(
        lambda dispatcher: (
            len(dispatcher.appliances) == len(acts)
            and not dispatcher.monitor.standalone
            and (stage is None or dispatcher.stage is not None)
        )
    )
    try:
        yield agent
    finally:
        for worker in agent.workers:
            worker.kill()
        if agent.decider is not None:
            agent.kill_decider()
        agent.registry.shutdown()
        agent.conveyor.shutdown()
        for appliance in agent.appliances:
            appliance.close()
        for client in agent.clients:
            client.close()
