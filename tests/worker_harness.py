"""One agent of several parts within this process: real deciding part, desks, links and fronts on real sockets, whose
pipes a test can hold up, so that each order of events is caused and not waited for."""

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
from cartweir.cores.decider import Decider
from cartweir.cores.dispatcher import Dispatcher
from cartweir.cores.pipe import Pipe, pair
from cartweir.cores.process import LIVES
from cartweir.cores.shared_state import SharedState, new_files
from cartweir.hosting.clock import Clock
from cartweir.proto import agent_pb2 as pb
from cartweir.settings.ini import read_agent
from cartweir.standin.registry import Registry
from cartweir.wire.calls import Service


class Conveyor(Service):
    """Says what a test tells it to."""

    def __init__(self) -> None:
        super().__init__()
        self.stage: pb.Stage | None = None
        self.listeners: list[Any] = []
        self.handlers["/cartweir.v1.Conveyor/News"] = self._news

    async def _news(self, request: Any) -> None:
        self.listeners.append(request)
        if self.stage is not None:
            request.send(pb.Word(stage=self.stage).SerializeToString())

    def tell(self, build: int, number: int, phase: int, cap: float) -> None:
        self.stage = pb.Stage(build=build, number=number, phase=phase, cap=cap)
        for request in self.listeners:
            if not request.cancelled:
                request.send(pb.Word(stage=self.stage).SerializeToString())


class Worker:
    """A carrying part without its process."""

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
            number,
            document.agent.cores,
            decision_settings,
            self.clock,
            self.appliance_pools,
            log_event,
            itertools.count(number * LIVES),
            number,
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
        self._beat()

    def _beat(self) -> None:
        self.dispatcher.beat()
        self.timer = IOLoop.current().call_later(0.05, self._beat)

    # ---- held up ----
    def deaf(self) -> None:
        """What the deciding part says lies unread: as if this part had been stopped."""
        pipe = self.dispatcher.decider
        pipe._loop.remove_handler(pipe._sock)
        pipe._loop.remove_handler = lambda sock, real=pipe._loop.remove_handler: (
            real(sock) if sock is not pipe._sock else None
        )

    def hears(self) -> None:
        pipe = self.dispatcher.decider
        del pipe._loop.remove_handler
        pipe._loop.add_handler(pipe._sock, pipe._event, IOLoop.READ)

    def end(self) -> None:
        """As killed: its sockets close and nothing is said."""
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
    def __init__(self, folder: Path, cores: int, more: dict[str, str]) -> None:
        self.log, self.registry, self.conveyor = Log(), Registry(), Conveyor()
        self.appliances: list[Appliance] = []
        self.clients: list[Client] = []
        agent = f"cores = {cores}\n" + more.pop("agent", "")
        file = settings(
            folder,
            self.registry.listen_on("127.0.0.1:0"),
            self.conveyor.listen_on("127.0.0.1:0"),
            agent=agent,
            **more,
        )
        self.document = read_agent(file)
        self.files = new_files()
        self.lives = 0
        self.decider: Decider | None = None
        self.parts = [Worker(number, self.document, self.log) for number in range(1, cores + 1)]
        for one, other in itertools.combinations(self.parts, 2):
            ends = pair()
            for part, peer, sock in ((one, other, ends[0]), (other, one, ends[1])):
                pipe = Pipe(sock, partial(part.dispatcher.forwarding.heard, peer.number), lambda: None)
                pipe._lost = partial(part.dispatcher.forwarding.lost, pipe)
                part.dispatcher.forwarding.pipes[peer.number] = pipe

    def decide(self) -> None:
        """A deciding part starts."""
        self.lives += 1
        self.decider = Decider(self.document, self.log, self.files, self.lives)
        for part in self.parts:
            ours, theirs = pair()
            self.decider.meet(part.number, ours)
            part.dispatcher.meet(Pipe(theirs, part.dispatcher.hear, partial(part.dispatcher.parted, self.lives)), self.lives)
        self.decider.start_up()

    def decider_ends(self) -> None:
        """As killed: what it had not written is lost, and it acts no more."""
        old, self.decider = self.decider, None
        for member in list(old.members.values()):
            member.pipe._batch.clear()
            member.pipe._lost = lambda: None
            member.pipe.close()
        old.members.clear()
        old.alarms.callback = lambda: None
        old._beat = lambda: None
        for channel in (old.registry.channel, *old.conveyor.channels):
            channel.close()
        old.engine_host.apply_list = lambda *_: []
        old.engine_host.apply_stage = lambda *_: None

    @property
    def book(self) -> SharedState:
        return SharedState(self.files)

    async def add(self, act: Callable[..., Any], build: int = 1, run: int = 1) -> Appliance:
        appliance = Appliance(act)
        appliance.name = f"a{len(self.appliances)}"
        self.appliances.append(appliance)
        appliance.entry = pb.Entry(
            appliance=appliance.name, address=await appliance.listen(), build=build, run=run
        )
        self.registry.put(appliance.entry)
        return appliance

    def set(self, appliance: Appliance, state: int) -> None:
        entry = pb.Entry()
        entry.CopyFrom(appliance.entry)
        entry.state = state
        self.registry.put(entry)

    async def client(self, part: int) -> Client:
        client = await Client.connect(self.parts[part - 1].address)
        self.clients.append(client)
        return client

    async def knows(self, what: Callable[[Dispatcher], bool]) -> None:
        """Until each part that hears has been told."""
        await until(lambda: all(what(part.dispatcher) for part in self.parts))


async def until(what: Callable[[], Any]) -> None:
    while not what():
        await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def parts(
    folder: Path, *acts: Any, cores: int = 2, stage: tuple | None = None, **more: str
) -> AsyncIterator[MulticoreAgent]:
    """acts: of one appliance each, or (act, build). stage: build, number, phase, cap."""
    it = MulticoreAgent(folder, cores, dict(more))
    for act in acts:
        await it.add(*(act if isinstance(act, tuple) else (act,)))
    if stage is not None:
        it.conveyor.tell(*stage)
    it.decide()
    await it.knows(
        lambda dispatcher: (
            len(dispatcher.appliances) == len(acts)
            and not dispatcher.silence.alone
            and (stage is None or dispatcher.stage is not None)
        )
    )
    try:
        yield it
    finally:
        for part in it.parts:
            part.end()
        if it.decider is not None:
            it.decider_ends()
        it.registry.shutdown()
        it.conveyor.shutdown()
        for appliance in it.appliances:
            appliance.close()
        for client in it.clients:
            client.close()
