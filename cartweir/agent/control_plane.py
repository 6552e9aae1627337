"""Clients of the control plane: the registry, the conveyor and the other agents.

They receive the list of appliances, stages, reports and other agents' messages, and send votes and messages.
Each connection is reopened with exponential backoff and jitter.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from google.protobuf.message import DecodeError

from .. import interface as ours
from ..fleet.fencing import Fence, FencingToken
from ..fleet.list_filter import NO_LIST, ListFilter, ListVersion
from ..hosting.appliance_list import ListEntry
from ..hosting.backoff import Backoff
from ..hosting.engine_host import EngineHost
from ..hosting.event_log import EventLogger
from ..hosting.tcp import spawn
from ..interface import Stage, Tally
from ..proto import agent_pb2 as pb
from ..wire.calls import CallError, Channel
from ..wire.grpc import MalformedError, Status
from .appliance_pools import AppliancePools
from .grpc_mapping import CHOICES, PHASES, STATES, VOTE_ANSWERS

PEER_MESSAGE_PATH = b"/cartweir.v1.Peer/Tell"

MAX_REASON_LENGTH = 200  # characters of an exception's text in the log
MIN_VOTE_TIMEOUT_US = 1_000
BALLOT_SERIAL_BITS = 62


def write_atomically(path: Path, text: str) -> None:
    """Replaces the text of a file.

    The file holds the old text or the new one, never a part of it. Once this returns it holds the new one,
    even if the machine goes down, for which its folder is synced as well.

    Raises:
        OSError: The file cannot be written.
    """
    part = path.with_name(path.name + ".part")
    with open(part, "w", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


@dataclass(eq=False)
class RegistryClient:
    """Receives the list of appliances from the registry, and keeps it in a file.

    Attributes:
        engine_host: Gets each update.
        appliance_pools: Gets the appliances' addresses.
        channel: The connection to the registry.
        hello: Who this agent is.
        push: Whether the list is always watched; otherwise whenever the decisions ask for it.
        timeout: How long the registry may take to answer, in microseconds.
        backoff: The delays between watches.
        now: The agent's clock, in microseconds.
        log_event: Logs an event.
        list_file: The file that keeps the list; None for none.
        list_filter: Decides which updates are followed and which appliances are retained.
    """

    engine_host: EngineHost
    appliance_pools: AppliancePools
    channel: Channel
    hello: pb.Hello
    push: bool
    timeout: int
    backoff: Backoff
    now: Callable[[], int]
    log_event: EventLogger
    list_file: str | None
    list_filter: ListFilter

    def __post_init__(self) -> None:
        self.file = Path(self.list_file) if self.list_file else None
        self._watch: asyncio.Task | None = None
        self._entries: dict[str, pb.Entry] = {}
        # when each start of an appliance was, on the agent's clock, by appliance and run
        self._started: dict[tuple[str, int], int] = {}
        self._lost = self._late = False
        self._unwritten: str | None = None  # the newest list, if it has not been written to the file
        self._writing: asyncio.Task | None = None

    # ---- the file ----
    def start(self) -> None:
        """Gives the decisions the list of the file, and starts the watch if the list is always watched.

        A file that cannot be read counts as none.
        """
        entries: list[pb.Entry] = []
        if self.file is not None:
            try:
                stored = json.loads(self.file.read_text(encoding="utf-8"))
                entries = [pb.Entry.FromString(bytes.fromhex(text)) for text in stored["entries"]]
                self.list_filter.seen = ListVersion(int(stored.get("incarnation", 0)), int(stored["version"]))
                self.log_event("list_from_disk", appliances=len(entries), version=int(stored["version"]))
            except FileNotFoundError:
                pass
            except (OSError, ValueError, KeyError, TypeError, DecodeError) as error:
                self.log_event(
                    "list_file_bad",
                    level="warning",
                    file=str(self.file),
                    reason=str(error)[:MAX_REASON_LENGTH],
                )
        self._apply("cached", entries)
        if self.push:
            self.subscribe()

    def _store(self, version: int) -> None:
        """Writes the list to the file, by a thread because the disk may be slow.

        While one list is being written, the newest one waits.
        """
        if self.file is None:
            return
        text = json.dumps(
            {
                "incarnation": self.list_filter.seen.incarnation,
                "version": version,
                "entries": [entry.SerializeToString().hex() for entry in self._entries.values()],
            }
        )
        self._unwritten = text
        if self._writing is None or self._writing.done():
            self._writing = spawn(self._write_list_file())

    async def _write_list_file(self) -> None:
        while self._unwritten is not None:
            text, self._unwritten = self._unwritten, None
            try:
                await asyncio.get_running_loop().run_in_executor(None, write_atomically, self.file, text)
            except OSError as error:
                self.log_event("list_file_bad", level="warning", file=str(self.file), reason=error.strerror)

    # ---- the watch ----
    def subscribe(self) -> None:
        """Watches the list, unless it is being watched already."""
        if self._watch is None or self._watch.done():
            self._watch = spawn(self._watch_list())

    def _hello(self) -> bytes:
        """Returns the greeting with the version of the list in hand, so that only changes need to be sent."""
        held = self.list_filter.seen if self._entries else NO_LIST
        return pb.Hello(
            agent=self.hello.agent, zone=self.hello.zone, incarnation=held.incarnation, version=held.number
        ).SerializeToString()

    async def _watch_list(self) -> None:
        while True:
            received, advice = False, 0
            try:
                source = self.channel.stream("/cartweir.v1.Registry/Watch", self._hello())
                async with asyncio.timeout(self.timeout / 1e6):
                    first = await anext(source)
                self._on_listing(first)
                received = True
                self.backoff.reset()
                async for message in source:
                    self._on_listing(message)
                why = "the watch was ended"
            except StopAsyncIteration:
                why = "the watch was ended"
            except TimeoutError:
                why = f"no list within {self.timeout / 1000:.0f} ms"
            except (CallError, DecodeError) as error:
                why, advice = str(error), getattr(error, "retry_delay", 0)
            if received or not self._lost:
                self._lost = True
                self.log_event("registry_lost", level="warning", why=why)
            if not self.push:
                self.engine_host.apply_list("failed")
                return
            await asyncio.sleep(max(self.backoff.next_delay(), advice / 1e6))

    def fetch(self) -> None:
        """Asks for the list once."""
        spawn(self._fetch_list())

    async def _fetch_list(self) -> None:
        try:
            answer = await self.channel.unary("/cartweir.v1.Registry/Fetch", self._hello(), self.timeout)
            self._on_listing(answer.message)
        except (CallError, DecodeError) as error:
            self.log_event("fetch_failed", level="warning", why=str(error))
            self.engine_host.apply_list("failed")

    # ---- updates ----
    def _on_listing(self, message: bytes) -> None:
        listing = pb.Listing.FromString(message)
        version = ListVersion(listing.incarnation, listing.version)
        names = [entry.appliance for entry in listing.entries]
        entries = list(listing.entries)
        if listing.whole:
            in_use = [name for name, entry in self._entries.items() if entry.state == pb.READY]
            decision = self.list_filter.on_full_list(self.now(), version, names, in_use)
            entries += [self._entries[appliance_id] for appliance_id in decision.retained]
        else:
            decision = self.list_filter.on_changes(version, names)
        if not decision.follow:
            if not self._late:
                self._late = True
                self.log_event(
                    "list_late",
                    level="warning",
                    life=version.incarnation,
                    version=version.number,
                    seen=tuple(self.list_filter.seen),
                )
            raise CallError(Status.FAILED_PRECONDITION, "an older list than one that was seen")
        self._late = False
        if decision.retained:
            self.log_event("list_held", level="warning", named=len(names), kept=len(decision.retained))
            self._schedule_expiry()
        if self._lost:
            self._lost = False
            self.log_event("registry_back", version=listing.version)
        self._apply("whole" if listing.whole else "changes", entries)
        self._store(listing.version)
        count = sum(entry.state == pb.READY for entry in self._entries.values())
        self.log_event("list", version=listing.version, named=len(listing.entries), ready=count)

    def _schedule_expiry(self) -> None:
        if wait := self.list_filter.next_expiry(self.now()):
            asyncio.get_running_loop().call_later(wait / 1e6, self._drop_expired)

    def _drop_expired(self) -> None:
        """Drops the appliances that no list has named for long enough."""
        gone = [
            self._entries[appliance_id]
            for appliance_id in self.list_filter.take_expired(self.now())
            if appliance_id in self._entries
        ]
        for entry in gone:
            entry.state = pb.GONE
        if gone:
            self.log_event("list_let_go", appliances=len(gone))
            self._apply("changes", gone)
            self._store(self.list_filter.seen.number)
        self._schedule_expiry()

    def _apply(self, kind: str, entries: Iterable[pb.Entry]) -> None:
        now, updates = self.now(), []
        if kind != "changes":
            self._entries.clear()
        for entry in entries:
            start = (entry.appliance, entry.run)
            if start not in self._started:
                self._started[start] = max(1, now - entry.age) if entry.age else 0
            self._entries[entry.appliance] = entry
            self.appliance_pools.addresses[entry.appliance] = entry.address
            updates.append(
                ListEntry(
                    entry.appliance,
                    entry.build,
                    entry.run,
                    self._started[start],
                    STATES[min(entry.state, pb.GONE)],
                    entry.zone,
                    entry.cell,
                    entry.kind,
                    entry.weight or 1.0,
                )
            )
            if entry.state == pb.GONE:
                del self._entries[entry.appliance]
        self._started = {
            (name, run): since
            for (name, run), since in self._started.items()
            if name in self._entries and self._entries[name].run == run
        }
        self.appliance_pools.retire_gone(self.engine_host.apply_list(kind, updates))


class PersistentFence:
    """Refuses decisions of the controllers that are older than one that this agent has followed.

    The token of a decision is written to a file before the decision is followed, so that an agent that starts
    again follows none that is older. A file that cannot be read is logged, and counts as none.

    Attributes:
        path: The file; None for none.
        log_event: Logs an event.
        on_follow: Called with the token and the build of each decision that is followed.
        fence: The fence in memory.
    """

    def __init__(self, path: str | None, log_event: EventLogger) -> None:
        self.path = Path(path) if path else None
        self.log_event = log_event
        self.on_follow: Callable[[FencingToken, int], None] = lambda token, build: None
        self.fence = Fence(self._read())
        self._stored = self.fence.seen

    def _read(self) -> FencingToken:
        try:
            if self.path is not None:
                stored = json.loads(self.path.read_text(encoding="utf-8"))
                return FencingToken(int(stored["epoch"]), int(stored["index"]))
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError) as error:
            self.log_event(
                "stage_file_bad", level="warning", file=str(self.path), reason=str(error)[:MAX_REASON_LENGTH]
            )
        return FencingToken()

    async def try_follow(self, token: FencingToken, build: int = 0) -> bool:
        """Whether a decision may be followed now.

        One that was overtaken by another while its token was being written may not.

        Args:
            token: The decision's token.
            build: The build that it is on.
        """
        if not self.fence.accept(token):
            return False
        if self.path is not None and token > self._stored:
            text = json.dumps({"epoch": token.epoch, "index": token.index})
            try:
                await asyncio.get_running_loop().run_in_executor(None, write_atomically, self.path, text)
            except OSError as error:
                # the next message about this stage tries again: the controllers repeat it
                self.log_event("stage_file_bad", level="warning", file=str(self.path), reason=error.strerror)
            else:
                self._stored = max(self._stored, token)
        if may_follow := token == self.fence.seen:
            self.on_follow(token, build)
        return may_follow


@dataclass(eq=False)
class ConveyorClient:
    """Receives stages, reports and tallies from the conveyor, and casts votes.

    Any of the channels sends and counts for all of them. If one falls silent or knows no leader, the next is
    asked.

    Attributes:
        engine_host: Gets what arrives.
        channels: The connections to the conveyor's members.
        hello: Who this agent is.
        vote_timeout: How long a vote may take, in microseconds.
        silence: How long a channel may be silent before the next one is used, in microseconds.
        backoff: The delays between subscriptions.
        log_event: Logs an event.
        now: The agent's clock, in microseconds.
        stage_fence: Refuses outdated decisions.
        rng: Draws the first channel and the ballots' serial numbers.
    """

    engine_host: EngineHost
    channels: Sequence[Channel]
    hello: pb.Hello
    vote_timeout: int
    silence: int
    backoff: Backoff
    log_event: EventLogger
    now: Callable[[], int]
    stage_fence: PersistentFence
    rng: random.Random

    def __post_init__(self) -> None:
        self._current = self.rng.randrange(len(self.channels))  # spreads the agents over the members
        self._answered_last = self._current  # the channel that answered the latest ballot
        self._lost = False
        self._followed: FencingToken | None = None

    def start(self) -> None:
        """Subscribes to the conveyor."""
        self._listener = spawn(self._subscribe())

    def stop(self) -> None:
        """Ends the subscription."""
        self._listener.cancel()

    async def _subscribe(self) -> None:
        while True:
            received, advice = False, 0
            try:
                async for message in self._messages():
                    if not received:
                        received = True
                        self.backoff.reset()
                        if self._lost:
                            self._lost = False
                            self.log_event("conveyor_back")
                    await self._on_word(pb.Word.FromString(message))
                why = "the news was ended"
            except (CallError, DecodeError) as error:
                why, advice = str(error), getattr(error, "retry_delay", 0)
            if received or not self._lost:
                self._lost = True
                self.log_event("conveyor_lost", level="warning", why=why)
            self._current = self._answered_last = (self._current + 1) % len(self.channels)
            # a member that knows how many agents return tells them when to
            await asyncio.sleep(max(self.backoff.next_delay(), advice / 1e6))

    async def _messages(self) -> AsyncIterator[bytes]:
        """Yields the messages of the current channel.

        If there are several, a channel is given up once it has been silent for longer than the interval at
        which the stage is repeated: the controller may be stopped or cut off while its connections stay open.
        """
        channel = self.channels[self._current]
        source = channel.stream("/cartweir.v1.Conveyor/News", self.hello.SerializeToString())
        while True:
            try:
                async with asyncio.timeout(self.silence / 1e6 if len(self.channels) > 1 else None):
                    message = await anext(source)
            except StopAsyncIteration:
                return
            except TimeoutError:
                channel.close()
                raise CallError(Status.DEADLINE_EXCEEDED, f"{channel.address} is silent") from None
            yield message

    async def _on_word(self, word: pb.Word) -> None:
        match word.WhichOneof("what"):
            case "stage":
                await self._on_stage(word.stage, None)
            case "flag":
                self.engine_host.apply_flag(word.flag.operation, word.flag.appliance, word.flag.age)
            case "tally":
                operation = self.engine_host.operations.get(word.tally.operation)
                if operation is not None:
                    tally = word.tally
                    self.engine_host.apply_tally(
                        Tally(tally.build, operation, tally.count, tally.failures, tally.mean_time, tally.age)
                    )

    async def _on_stage(self, stage: pb.Stage, vote_answer: str | None) -> None:
        stages, arrived = len(self.engine_host.settings["caps"]), self.now()
        if stage.number >= stages or stage.phase >= len(PHASES) or not 0 <= stage.cap <= 1:
            self.log_event(
                "stage_unknown",
                level="error",
                build=stage.build,
                stage=stage.number,
                phase=stage.phase,
                cap=stage.cap,
                due=f"stage 0 to {stages - 1} of [release], a phase from 0 to 3, a cap from 0 to 1",
            )
            return
        token = FencingToken(stage.epoch, stage.index)
        if not await self.stage_fence.try_follow(token, stage.build):
            self.log_event(
                "stage_late",
                level="warning",
                build=stage.build,
                stage=stage.number,
                epoch=token.epoch,
                index=token.index,
                seen=tuple(self.stage_fence.fence.seen),
            )
            return
        if token != self._followed:
            self._followed = token
            self.log_event(
                "followed",
                build=stage.build,
                stage=stage.number,
                phase=PHASES[stage.phase],
                epoch=token.epoch,
                index=token.index,
            )
        age = stage.age + self.now() - arrived
        self.engine_host.apply_stage(
            Stage(stage.build, stage.number, PHASES[stage.phase], stage.cap, age, vote_answer)
        )

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Casts a vote; `EngineHost.apply_stage` gets the answer."""
        spawn(self._cast(build, stage, verdict))

    async def _cast(self, build: int, stage: int, verdict: str) -> None:
        """Sends a ballot to one channel after another until it is answered.

        It has one serial number, so that it counts once. The first channel is the one that answered the
        latest ballot: otherwise each vote would begin at a controller that accepts ballots and cannot pass
        them on.
        """
        ballot = pb.Ballot(
            agent=self.hello.agent,
            build=build,
            stage=stage,
            choice=CHOICES[verdict],
            serial=self.rng.getrandbits(BALLOT_SERIAL_BITS) + 1,
        )
        end, tries, reply, first = self.now() + self.vote_timeout, 0, None, self._answered_last
        while True:
            index = (first + tries) % len(self.channels)
            channel = self.channels[index]
            # an even part of the time left, because a channel whose answers are lost would take all of it
            left = (end - self.now()) // (len(self.channels) - tries)
            try:
                answer = await channel.unary(
                    "/cartweir.v1.Conveyor/Vote", ballot.SerializeToString(), max(left, MIN_VOTE_TIMEOUT_US)
                )
                reply = pb.Verdict.FromString(answer.message)
                result, self._answered_last = VOTE_ANSWERS[reply.answer], index
                break
            except CallError as error:
                # after an error no member has received the ballot; after a timeout it may count
                result = "timeout" if error.status == Status.DEADLINE_EXCEEDED else "error"
            except DecodeError:
                result = "error"
                break
            tries += 1
            if tries >= len(self.channels) or end - self.now() <= 0:
                break
        self.log_event("vote", build=build, stage=stage, verdict=verdict, answer=result)
        if result == "ok":
            await self._on_stage(reply.stage, "ok")
        else:
            self.engine_host.apply_stage(Stage(build, stage, ours.ON_TRIAL, 0.0, 0, result))


class PeerMessenger:
    """Exchanges messages with the other agents; a message that is not answered is lost.

    Attributes:
        engine_host: Gets what arrives.
        me: This agent's number.
        channels: The connections to the others by their numbers.
        timeout: How long a message may take, in microseconds.
        log_event: Logs an event.
    """

    def __init__(
        self,
        engine_host: EngineHost,
        me: int,
        channels: dict[int, Channel],
        timeout: int,
        log_event: EventLogger,
    ) -> None:
        self.engine_host, self.me, self.channels, self.timeout, self.log_event = (
            engine_host,
            me,
            channels,
            timeout,
            log_event,
        )

    def message(self, to: int | None, figures: list[int]) -> None:
        """Sends figures to another agent, or to all of them if `to` is None."""
        text = pb.Figures(sender=self.me, figures=figures).SerializeToString()
        for number, channel in self.channels.items():
            if to in (None, number):
                spawn(self._send(number, channel, text))

    async def _send(self, number: int, channel: Channel, text: bytes) -> None:
        try:
            await channel.unary(PEER_MESSAGE_PATH.decode(), text, self.timeout)
        except CallError as error:
            self.log_event("message_lost", level="debug", to=number, why=str(error))

    def handle_message(self, message: bytes) -> None:
        """Handles a message of another agent.

        Raises:
            MalformedError: It is no message of an agent.
        """
        try:
            received = pb.Figures.FromString(message)
        except DecodeError:
            raise MalformedError("no cartweir.v1.Figures") from None
        self.engine_host.receive_message(received.sender, list(received.figures))
