"""Stand-in appliances: each a gRPC server with cores, a queue, a cold start and a build of stated quality; it can
pause, fall silent, err, answer wrongly, lose answers and fall over."""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from dataclasses import dataclass, field, fields
from typing import Any

from tornado.iostream import IOStream

from ..agent.grpc_mapping import AGENT_HEADER, LOAD, WORK
from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..proto import health_pb2, orca_pb2
from ..wire import grpc
from ..wire.calls import CallError, Request, Service
from ..wire.connection import Tap
from ..wire.grpc import Status
from .registry import Registry

MARK, OPERATION = b"x-mark", b"x-operation"  # a client's mark against repeats, and the name of the operation


@dataclass
class Quality:
    """Of a build. Shares from 0 to 1; times in microseconds."""

    slow: float = 1.0  # times the work
    errors: float = 0.0  # share of all that fails
    wrong: float = 0.0  # share that is answered wrongly
    operation: str = ""  # errors only in this one; empty: in all
    busy: float = 0.0  # slow and errors only above this load
    late: int = 0  # and only so long after the start


@dataclass
class Make:
    """Of a machine."""

    cores: int = 2
    speed: float = 1.0
    queue: int = 30
    cold_share: float = 0.4
    warm_time: int = 5_000_000
    fall_multiple: float = 4.0
    fall_time: int = 1_000_000
    remember: int = 2_000_000  # repeats of a mark are dropped for so long
    boot_time: int = 800_000
    reports: bool = False  # load in answers and probes
    answer: int = 200  # bytes of an answer


@dataclass
class Faults:
    """What is wrong with one machine at present."""

    errors: float = 0.0
    lose: float = 0.0  # share whose work is done and whose answer never comes
    deaf: float = 0.0  # share of probes that get no answer
    slow: float = 1.0  # times the work, whatever the build


class Appliance(Service):
    def __init__(
        self,
        ident: str,
        build: int,
        quality: Quality,
        make: Make,
        chance: random.Random,
        zone: str = "",
        warm: bool = False,
        tap: Tap | None = None,
    ) -> None:
        super().__init__(tap=tap)
        self.ident, self.build, self.quality, self.make, self.chance, self.zone = (
            ident,
            build,
            quality,
            make,
            chance,
            zone,
        )
        self.started = 0 if warm else monotonic()
        self.run = chance.getrandbits(40)
        self.faults = Faults()
        self.down = False  # silent: nothing is read, nothing said
        self.fell = self.leaving = False
        self.done = 0  # pieces of work run to the end
        self._running = asyncio.Event()
        self._running.set()
        self._cores = asyncio.Semaphore(make.cores)
        self._kept: list[tuple[IOStream, tuple]] = []
        self.holding = 0
        self._marks: dict[bytes, int] = {}
        self._sent: deque[tuple[int, int]] = deque()  # when and how much work came while cold
        self.log_event: Any = lambda event, **facts: None
        self.fleet: Any = None  # where it stands
        self.on_wrong: Any = None  # called with agent, operation and self when an answer was wrong
        self.handlers["/grpc.health.v1.Health/Check"] = self._check
        self.default_handler = self._serve

    # ---- capacity ----
    def warmth(self) -> float:
        age = monotonic() - self.started
        if not self.started or age >= self.make.warm_time:
            return 1.0
        return self.make.cold_share + (1 - self.make.cold_share) * age / self.make.warm_time

    def _weigh(self, work: int) -> None:
        """The fourth rule's budget: one that is sent too much while cold falls over."""
        now, warmth, make = monotonic(), self.warmth(), self.make
        if warmth >= 1.0:
            return
        self._sent.append((now, work))
        while self._sent[0][0] < now - make.fall_time:
            self._sent.popleft()
        if (
            sum(w for _, w in self._sent)
            > make.fall_multiple * warmth * make.cores * make.speed * make.fall_time
        ):
            self.fell = True
            self.log_event("fell", ident=self.ident)
            self.silence()

    # ---- calls ----
    async def _serve(self, request: Request) -> bytes | None:
        headers, now = request.headers, monotonic()
        work = grpc.find(headers, WORK)
        work = grpc.decode_timeout(work) if work else 1000
        self._weigh(work)
        if self.holding >= self.make.cores + self.make.queue:
            raise CallError(Status.RESOURCE_EXHAUSTED, "queue is full")
        mark, operation = grpc.find(headers, MARK), (grpc.find(headers, OPERATION) or b"").decode()
        repeat = mark is not None and now - self._marks.get(mark, -math.inf) < self.make.remember
        load, quality = self.holding / self.make.cores, self.quality
        bad = load >= quality.busy and (not quality.late or now - self.started > quality.late)
        self.holding += 1
        try:
            async with self._cores:
                if request.cancelled:
                    return None
                if not repeat:
                    slow = self.faults.slow * (quality.slow if bad else 1.0)
                    await asyncio.sleep(work * slow / self.make.speed / self.warmth() / 1e6)
                    self.done += 1
            if mark is not None and not repeat:
                self._marks[mark] = now
        finally:
            self.holding -= 1
        await self._running.wait()
        if self.chance.random() < self.faults.lose:
            return None
        part = quality.errors if bad and quality.operation in ("", operation) else 0.0
        if not repeat and self.chance.random() < max(part, self.faults.errors):
            raise CallError(Status.INTERNAL, "the build fails")
        wrong = self.chance.random() < quality.wrong
        if wrong and self.on_wrong is not None:
            self.on_wrong(int(grpc.find(headers, AGENT_HEADER) or b"0"), operation, self)
        self._report(request)
        return (b"wrong" if wrong else b"right").ljust(self.make.answer, b".")

    async def _check(self, request: Request) -> bytes | None:
        await self._running.wait()
        if self.chance.random() < self.faults.deaf:
            return None
        self._report(request)
        return health_pb2.HealthCheckResponse(status=1).SerializeToString()

    def _report(self, request: Request) -> None:
        if self.make.reports:
            report = orca_pb2.OrcaLoadReport(
                cpu_utilization=min(1.0, self.holding / self.make.cores),
                named_metrics={"inflight": self.holding},
            )
            request.trailers.append((LOAD, grpc.encode_binary(report.SerializeToString())))

    # ---- faults ----
    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        if self._running.is_set():
            super().handle_stream(stream, address)
        else:
            self._kept.append((stream, address))  # accepted by the kernel, and that is all

    def pause(self, time: int) -> None:
        """Stands still: reads nothing and says nothing."""
        self._running.clear()
        for link in self.connections:
            link.pause()
        asyncio.get_running_loop().call_later(time / 1e6, self.resume)

    def resume(self) -> None:
        if not self.down:
            self._running.set()
            for link in self.connections:
                link.resume()
            kept, self._kept = self._kept, []
            for stream, address in kept:
                super().handle_stream(stream, address)

    def steer(self, what: str, value: float) -> None:
        """pause or silence (value: microseconds; 0: for good), restart, or one of Faults. Raises ValueError."""
        if what == "pause":
            self.pause(int(value))
        elif what == "silence":
            self.silence()
            if value:
                asyncio.get_running_loop().call_later(value / 1e6, self.fleet.restart, self)
        elif what == "restart":
            self.fleet.restart(self)
        elif what in (names := [f.name for f in fields(Faults)]):
            setattr(self.faults, what, float(value))
        else:
            raise ValueError(f"no fault {what!r}: one of pause, silence, restart, {', '.join(names)} is due")
        self.log_event("fault", who=self.ident, what=what, value=value)

    def silence(self) -> None:
        """No reset, no answer, until stopped."""
        self.down = True
        self._running.clear()
        for link in self.connections:
            link.pause()


@dataclass
class Fleet:
    """Machines on loopback ports of one process, entered in a registry."""

    registry: Registry
    make: Make
    chance: random.Random
    tap: Tap | None = None
    zones: tuple[str, ...] = ("",)
    qualities: dict[int, Quality] = field(default_factory=dict)
    machines: dict[str, Appliance] = field(default_factory=dict)
    on_wrong: Any = None
    log_event: Any = print  # called with facts about machines that no socket shows
    count: int = 0

    def launch(self, build: int, warm: bool = False, ident: str | None = None) -> Appliance:
        """Runs at once, and is listed after its boot time; warm: it has been there for long."""
        self.count += 1
        ident = ident or f"m{self.count}"
        machine = Appliance(
            ident,
            build,
            self.qualities.get(build, Quality()),
            self.make,
            self.chance,
            self.zones[self.count % len(self.zones)],
            warm,
            self.tap,
        )
        machine.on_wrong, machine.log_event, machine.fleet = self.on_wrong, self.log_event, self
        machine.address = machine.listen_on("127.0.0.1:0")
        self.machines[ident] = machine
        if not warm:
            machine.started = monotonic()
        make = self.make
        self.log_event(
            "machine",
            ident=ident,
            address=machine.address,
            build=build,
            started=machine.started,
            cores=make.cores,
            speed=make.speed,
            cold_share=make.cold_share,
            warm_time=make.warm_time,
            fall_multiple=make.fall_multiple,
            fall_time=make.fall_time,
        )
        self.enter(machine, pb.READY)
        return machine

    def enter(self, machine: Appliance, state: int) -> None:
        self.registry.put(
            pb.Entry(
                appliance=machine.ident,
                address=machine.address,
                build=machine.build,
                run=machine.run,
                state=state,
                zone=machine.zone,
                kind="standin",
                weight=1.0,
            ),
            machine.started,
        )

    def drain(self, machine: Appliance) -> None:
        self.enter(machine, pb.DRAINING)

    def stop(self, machine: Appliance) -> None:
        if self.machines.pop(machine.ident, None) is not None:
            self.enter(machine, pb.GONE)
            self.log_event("stopped", ident=machine.ident)
            machine.silence()
            machine.shutdown()

    def restart(self, machine: Appliance) -> Appliance:
        """The same place and ident, as a new process that comes cold."""
        self.machines.pop(machine.ident, None)
        machine.shutdown()
        return self.launch(machine.build, ident=machine.ident)

    def steer(self, who: str, what: str, value: float) -> None:
        """A fault by name at one machine or at 'all'. Raises ValueError."""
        machines = (
            list(self.machines.values())
            if who == "all"
            else [self.machines[who]]
            if who in self.machines
            else []
        )
        if not machines:
            raise ValueError(f"no machine {who!r}: one of {', '.join(self.machines)} is due")
        for machine in machines:
            machine.steer(what, value)
