"""Workloads of the controllers and the registry: log, ballots, news to agents, lists to agents."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
import logging
import random
import shutil
import tempfile
from pathlib import Path
from typing import Any

import msgpack

from ..controller import message_codec
from ..controller.daemon import Controller
from ..controller.directory import create_founding_directory, open_store
from ..controller.settings import ControllerDocument
from ..controller.store import encode_frame
from ..fleet.admission import AdmissionControl
from ..fleet.duties import RELEASE, FleetState
from ..fleet.raft.log import MemberInfo, Snapshot
from ..fleet.raft.member import Member, MemberId, Role, Timing
from ..fleet.raft.records import PersistentState
from ..fleet.rollout import Choice, RolloutPlan
from ..proto import agent_pb2 as pb
from ..standin.registry import Registry
from ..wire import grpc
from .meter import Meter, metering
from .registry_watch import entry_of
from .streams import CountedRequest
from .surroundings import SECOND
from .workload import Counts, InMemory, MeasurementError, Quantity

NEWS, ASK = "/cartweir.v1.Conveyor/News", "/cartweir.v1.Controller/Ask"
WATCH = "/cartweir.v1.Registry/Watch"
FRAME_HEADER = 9  # of HTTP/2, before each DATA frame
STEP = 10_000  # microseconds, by which simulated clocks go on
PATIENCE = 20  # seconds until a controller that never becomes ready counts as broken


class SilentLog:
    """A log that is not written."""

    def info(self, event: str, **facts: Any) -> None:
        """Nothing."""

    debug = warning = error = info


class NewsToAgents:
    """A controller that leads alone, with its log on disk, and agents that listen to it."""

    def __init__(self, agents: int) -> None:
        """Leading, with all agents listening."""
        self.counts = Counts()
        self.folder = Path(tempfile.mkdtemp(prefix="cartweir-scale-"))
        self.builds = itertools.count(2)
        self.meter: Meter | None = None
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self._begin(agents))

    async def _begin(self, agents: int) -> None:
        document = ControllerDocument.model_validate(
            {
                "controller": {
                    "name": "a",
                    "cluster": "scale",
                    "listen": "127.0.0.1:0",
                    "directory": str(self.folder / "a"),
                    "heartbeat": "40ms",
                    "election": "150ms",
                    "admit": "1000000",
                },
                "release": {"shares": "0.1, 0.5, 1", "caps": "0.2, 0.6, 1"},
                "waves": {"repeat": "1000s"},
                "members": {"a": "127.0.0.1:1"},
            }
        )
        create_founding_directory(document)
        self.store = open_store(document)
        self.controller = Controller(document, self.store, SilentLog())
        self._decided = self.controller.host.on_committed
        self.controller.host.on_committed = self._measured
        self.controller.start()
        try:
            async with asyncio.timeout(PATIENCE):
                while (
                    not self.controller.host.has_leader
                    or not self.controller.host.fleet.duties[RELEASE].epoch
                ):
                    await asyncio.sleep(0.01)
        except TimeoutError:
            raise MeasurementError(f"controller-news: no leader within {PATIENCE} s") from None
        listen = self.controller.handlers[NEWS]
        for agent in range(agents):
            await listen(CountedRequest(self.counts, NEWS, pb.Hello(agent=agent).SerializeToString()))

    def _measured(self) -> None:
        """What the host calls behind each turn; turns in which nobody is told anything are not kept."""
        before = self.counts.totals[Quantity.MESSAGES]
        if self.meter is None:
            self._decided()
            return
        self.meter.begin()
        self._decided()
        self.meter.end(keep=self.counts.totals[Quantity.MESSAGES] != before)

    def operate(self, meter: Meter) -> None:
        """A build is offered; that is decided, and told to all who listen."""
        asked = json.dumps({"ask": "offer", "build": next(self.builds), "machines": 100})
        request = CountedRequest(Counts(), ASK, pb.Text(json=asked).SerializeToString())
        self.meter = meter
        answer = self.loop.run_until_complete(self.controller.handlers[ASK](request))
        self.meter = None
        if not json.loads(pb.Text.FromString(answer).json)["taken"]:
            raise MeasurementError(
                "controller-news: no decision within its time: a less busy machine is needed"
            )

    def close(self) -> None:
        """Stop the controller and remove its log."""
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.run_until_complete(self._stop())
        self.loop.run_until_complete(self.loop.shutdown_default_executor())
        self.loop.close()
        shutil.rmtree(self.folder)

    async def _stop(self) -> None:
        self.controller.shutdown()
        self.store.close()


class ListsToAgents:
    """The stand-in registry with agents that watch: one changed entry goes to each of them."""

    def __init__(self, agents: int) -> None:
        """All agents watch."""
        self.counts, self.versions = Counts(), itertools.count(1)
        self.loop = asyncio.new_event_loop()
        self.registry = self.loop.run_until_complete(self._begin(agents))

    async def _begin(self, agents: int) -> Registry:
        registry = Registry()
        for agent in range(agents):
            hello = pb.Hello(agent=agent).SerializeToString()
            await registry.handlers[WATCH](CountedRequest(self.counts, WATCH, hello))
        return registry

    def operate(self, meter: Meter) -> None:
        """A server has restarted."""
        entry = entry_of(0, run=next(self.versions))
        with metering(meter):
            self.registry.put(entry)

    def close(self) -> None:
        """Nothing was opened."""
        self.loop.close()


class Cluster(InMemory):
    """Members of the log in one process; words arrive at once, and are encoded as between processes."""

    def __init__(self, members: int) -> None:
        """With a leader."""
        super().__init__()
        names = [f"controller-{number}" for number in range(members)]
        rows = {name: MemberInfo(name, f"{name}:7100", True) for name in names}
        timing = Timing()
        self.now = 0
        self.members = {
            name: Member(
                MemberId(name, name),
                PersistentState(snapshot=Snapshot(0, 0, rows, b"")),
                timing,
                random.Random(name),
                0,
            )
            for name in names
        }
        while self.leader is None:
            self.pass_time(STEP)

    @property
    def leader(self) -> Member | None:
        """The one that leads now."""
        return next((member for member in self.members.values() if member.role == Role.LEADER), None)

    def pass_time(self, microseconds: int) -> None:
        """All clocks go on together."""
        self.now += microseconds
        for member in self.members.values():
            member.tick(self.now)
        self.deliver()

    def deliver(self) -> None:
        """Until nobody has anything left to say; each message and its bytes are counted."""
        moved = True
        while moved:
            moved = False
            for name, member in self.members.items():
                ready = member.take_ready()
                if ready.records:
                    self.counts.add(Quantity.DISK_WRITES)
                    self.counts.add(Quantity.DISK_BYTES, len(encode_frame(0, ready.records)))
                    member.persisted()
                for to, message in ready.envelopes:
                    packed = message_codec.pack(message)
                    envelope = pb.Words(cluster="scale", sender=name, mark=name, words=[packed])
                    self.counts.add_message(FRAME_HEADER + len(grpc.frame(envelope.SerializeToString())))
                    self.members[to].receive(self.now, name, name, message_codec.unpack(packed))
                moved = moved or bool(ready.records or ready.envelopes)


def ballot(agent: int) -> dict[str, Any]:
    """A vote to go on, as agents cast it."""
    return {"what": "vote", "agent": agent, "serial": agent + 1, "build": 2, "stage": 0, "choice": Choice.ON}


class LogEntry(Cluster):
    """One ballot goes through the log until it is decided; followers learn that with the next heartbeat."""

    def operate(self, meter: Meter) -> None:
        """The entry, on its way to all, and their answers."""
        leader = self.leader
        command = {
            "do": "act",
            "duty": RELEASE,
            "by": "controller-0",
            "epoch": 1,
            "what": ballot(7),
            "at": self.now,
            "wall": 1_700_000_000_000_000,
        }
        with metering(meter):
            leader.propose(msgpack.packb(command))
            self.deliver()


class Heartbeats(Cluster):
    """A second in which nothing is decided."""

    def operate(self, meter: Meter) -> None:
        """In steps of 10 ms."""
        with metering(meter):
            for _ in range(SECOND // STEP):
                self.pass_time(STEP)


class Ballots(InMemory):
    """The duty `release` after so many agents have voted in its stage: one more ballot is counted."""

    def __init__(self, agents: int) -> None:
        """More votes are needed than there are agents, so that the stage stays; ballots come 10 ms apart."""
        super().__init__()
        plan = RolloutPlan(control="share", on_votes=2 * agents, vote_allowance=1e9, vote_life=3_600 * SECOND)
        self.fleet, self.indexes, self.agents = FleetState(plan, {}), itertools.count(1), agents
        self._apply({"do": "grant", "duty": RELEASE, "to": "a", "after": 0, "why": "had none"})
        self._act({"what": "offer", "build": 2, "machines": 100})
        self._act({"what": "running", "build": 2, "stage": 0})
        for agent in range(agents):
            self._act(ballot(agent))

    def _apply(self, command: dict[str, Any]) -> None:
        index = next(self.indexes)
        self.fleet.apply(index, {**command, "at": index * 10_000})

    def _act(self, what: dict[str, Any]) -> None:
        self._apply(
            {"do": "act", "duty": RELEASE, "by": "a", "epoch": self.fleet.duties[RELEASE].epoch, "what": what}
        )

    def operate(self, meter: Meter) -> None:
        """An agent votes anew; the bytes are those of a snapshot, which holds each agent's vote."""
        vote = {**ballot(self.agents // 2), "serial": next(self.indexes) + 1_000_000}
        with metering(meter):
            self._act(vote)
        self.counts.add(Quantity.SNAPSHOT, len(msgpack.packb(self.fleet.dump())))


class LookAtVotes(Ballots):
    """An owner's look at whether its release goes on, 20 times a second, after all agents have voted."""

    def operate(self, meter: Meter) -> None:
        """A look that finds nothing due."""
        rollout = self.fleet.rollout
        with metering(meter):
            rollout.needs_update(self.fleet.now, self.fleet.steps_done)


class ComingBack(InMemory):
    """All agents begin to listen at one controller at once; refused ones come back when they are told."""

    RATE = 200.0  # `[controller] admit`
    ADVICE = 5 * SECOND  # `[controller] come_back`

    def __init__(self, agents: int) -> None:
        """Nobody has come yet."""
        super().__init__()
        self.agents = agents
        self.last = 0

    def operate(self, meter: Meter) -> None:
        """Each asking is a message."""
        admission = AdmissionControl.for_rate(self.RATE, self.ADVICE)
        due, self.last = [(0, agent) for agent in range(self.agents)], 0
        with metering(meter):
            while due:
                now, agent = heapq.heappop(due)
                decision = admission.decide(now)
                self.counts.add(Quantity.MESSAGES)
                if decision.wait is None:
                    heapq.heappush(due, (now + decision.retry_after, agent))
                else:
                    self.last = max(self.last, now + decision.wait)
        self.counts.add(Quantity.WAIT, self.last // 1000)
