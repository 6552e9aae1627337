"""What an agent is told: the list of appliances, stages and reports of the conveyor, messages of its peers; and
what it says to them: votes and messages. Each connection is kept up with waits that double and are spread out."""

from __future__ import annotations

import asyncio
import json
import os
import random
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from pathlib import Path

from google.protobuf.message import DecodeError

from .. import interface as ours
from ..fleet.fencing import Fence, FencingToken
from ..fleet.list_filter import NO_LIST, ListFilter, ListVersion
from ..hosting.appliance_list import ListEntry
from ..hosting.backoff import Backoff
from ..hosting.engine_host import EngineHost
from ..hosting.tcp import spawn
from ..interface import Stage, Tally
from ..proto import agent_pb2 as pb
from ..wire.calls import CallError, Channel
from ..wire.grpc import MalformedError, Status
from .appliance_pools import AppliancePools
from .grpc_mapping import ANSWERS, CHOICES, PHASES, STATES

EventLogger = Callable[..., None]
PEER_MESSAGE_PATH = b"/cartweir.v1.Peer/Tell"


def write_atomically(path: Path, text: str) -> None:
    """The file holds the old text or the new one, never a part, and the new one from when this returns, also if the machine goes down:
    for that its folder is synced as well. Raises OSError."""
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


class RegistryClient:
    """The list. push: a watch is always wanted; ask: whenever the decisions ask."""

    def __init__(
        self,
        engine_host: EngineHost,
        appliance_pools: AppliancePools,
        channel: Channel,
        hello: pb.Hello,
        push: bool,
        timeout: int,
        backoff: Backoff,
        now: Callable[[], int],
        log_event: EventLogger,
        list_file: str | None,
        lists: ListFilter,
    ) -> None:
        self.engine_host, self.appliance_pools, self.channel, self.hello, self.lists = (
            engine_host,
            appliance_pools,
            channel,
            hello,
            lists,
        )
        self.push, self.timeout, self.backoff, self.now, self.log_event = (
            push,
            timeout,
            backoff,
            now,
            log_event,
        )
        self.file = Path(list_file) if list_file else None
        self._watch: asyncio.Task | None = None
        self._entries: dict[str, pb.Entry] = {}
        self._started: dict[tuple[str, int], int] = {}  # by appliance and run: when, on our clock
        self._lost = self._late = False
        self._to_keep: str | None = None
        self._keeping: asyncio.Task | None = None

    # ---- from disk ----
    def start(self) -> None:
        """The list held last is what the decisions begin with; a file that cannot be read counts as none."""
        entries: list[pb.Entry] = []
        if self.file is not None:
            try:
                kept = json.loads(self.file.read_text(encoding="utf-8"))
                entries = [pb.Entry.FromString(bytes.fromhex(text)) for text in kept["entries"]]
                self.lists.seen = ListVersion(int(kept.get("incarnation", 0)), int(kept["version"]))
                self.log_event("list_from_disk", appliances=len(entries), version=int(kept["version"]))
            except FileNotFoundError:
                pass
            except (OSError, ValueError, KeyError, TypeError, DecodeError) as error:
                self.log_event("list_file_bad", level="warning", file=str(self.file), reason=str(error)[:200])
        self._apply("cached", entries)
        if self.push:
            self.subscribe()

    def _keep(self, version: int) -> None:
        """Written by a thread, as the disk may take its time; the newest list waits for the one under way."""
        if self.file is None:
            return
        text = json.dumps(
            {
                "incarnation": self.lists.seen.incarnation,
                "version": version,
                "entries": [entry.SerializeToString().hex() for entry in self._entries.values()],
            }
        )
        self._to_keep = text
        if self._keeping is None or self._keeping.done():
            self._keeping = spawn(self._keep_all())

    async def _keep_all(self) -> None:
        while self._to_keep is not None:
            text, self._to_keep = self._to_keep, None
            try:
                await asyncio.get_running_loop().run_in_executor(None, write_atomically, self.file, text)
            except OSError as error:
                self.log_event("list_file_bad", level="warning", file=str(self.file), reason=error.strerror)

    # ---- the watch ----
    def subscribe(self) -> None:
        if self._watch is None or self._watch.done():
            self._watch = spawn(self._watching())

    def _hello(self) -> bytes:
        """With the list held, so that a registry that knows it need not tell the whole one."""
        held = self.lists.seen if self._entries else NO_LIST
        return pb.Hello(
            agent=self.hello.agent, zone=self.hello.zone, incarnation=held.incarnation, version=held.number
        ).SerializeToString()

    async def _watching(self) -> None:
        while True:
            told, advice = False, 0
            try:
                source = self.channel.stream("/cartweir.v1.Registry/Watch", self._hello())
                first = await asyncio.wait_for(anext(source), self.timeout / 1e6)
                self._listing(first)
                told = True
                self.backoff.reset()
                async for message in source:
                    self._listing(message)
                why = "the watch was ended"
            except StopAsyncIteration:
                why = "the watch was ended"
            except (asyncio.TimeoutError, TimeoutError):
                why = f"no list within {self.timeout / 1000:.0f} ms"
            except (CallError, DecodeError) as error:
                why, advice = str(error), getattr(error, "retry_delay", 0)
            if told or not self._lost:
                self._lost = True
                self.log_event("registry_lost", level="warning", why=why)
            if not self.push:
                self.engine_host.apply_list("failed")
                return
            if (
                asyncio.current_task().cancelling()
            ):  # wait_for may swallow the word to end, and the process stayed
                return
            await asyncio.sleep(max(self.backoff.next_delay(), advice / 1e6))

    def fetch(self) -> None:
        spawn(self._fetching())

    async def _fetching(self) -> None:
        try:
            answer = await self.channel.unary("/cartweir.v1.Registry/Fetch", self._hello(), self.timeout)
            self._listing(answer.message)
        except (CallError, DecodeError) as error:
            self.log_event("fetch_failed", level="warning", why=str(error))
            self.engine_host.apply_list("failed")

    # ---- what it says ----
    def _listing(self, message: bytes) -> None:
        listing = pb.Listing.FromString(message)
        version, names = (
            ListVersion(listing.incarnation, listing.version),
            [entry.appliance for entry in listing.entries],
        )
        entries = list(listing.entries)
        if listing.whole:
            in_use = [n for n, e in self._entries.items() if e.state == pb.READY]
            decision = self.lists.on_full_list(self.now(), version, names, in_use)
            entries += [self._entries[appliance_id] for appliance_id in decision.retained]
        else:
            decision = self.lists.on_changes(version, names)
        if not decision.follow:
            if not self._late:
                self._late = True
                self.log_event(
                    "list_late",
                    level="warning",
                    life=version.incarnation,
                    version=version.number,
                    seen=tuple(self.lists.seen),
                )
            raise CallError(Status.FAILED_PRECONDITION, "an older list than one that was seen")
        self._late = False
        if decision.retained:
            self.log_event("list_held", level="warning", named=len(names), kept=len(decision.retained))
            self._look_again()
        if self._lost:
            self._lost = False
            self.log_event("registry_back", version=listing.version)
        self._apply("whole" if listing.whole else "changes", entries)
        self._keep(listing.version)
        count = sum(entry.state == pb.READY for entry in self._entries.values())
        self.log_event("list", version=listing.version, named=len(listing.entries), ready=count)

    def _look_again(self) -> None:
        if wait := self.lists.next_expiry(self.now()):
            asyncio.get_running_loop().call_later(wait / 1e6, self._let_go)

    def _let_go(self) -> None:
        """What no list has named for long enough is gone."""
        gone = [
            self._entries[appliance_id]
            for appliance_id in self.lists.take_expired(self.now())
            if appliance_id in self._entries
        ]
        for entry in gone:
            entry.state = pb.GONE
        if gone:
            self.log_event("list_let_go", appliances=len(gone))
            self._apply("changes", gone)
            self._keep(self.lists.seen.number)
        self._look_again()

    def _apply(self, how: str, entries: Iterable[pb.Entry]) -> None:
        now, rows = self.now(), []
        if how != "changes":
            self._entries.clear()
        for entry in entries:
            mark = (entry.appliance, entry.run)
            if mark not in self._started:
                self._started[mark] = max(1, now - entry.age) if entry.age else 0
            self._entries[entry.appliance] = entry
            self.appliance_pools.addresses[entry.appliance] = entry.address
            rows.append(
                ListEntry(
                    entry.appliance,
                    entry.build,
                    entry.run,
                    self._started[mark],
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
        self.appliance_pools.retire_gone(self.engine_host.apply_list(how, rows))


class PersistentFence:
    """Which decision of the controllers was followed last. Kept before it is followed, so that an agent that starts again
    follows none older; a file that can't be read counts as none, and is said so."""

    def __init__(self, path: str | None, log_event: EventLogger) -> None:
        self.path, self.log_event = Path(path) if path else None, log_event
        self.on_follow: Callable[[FencingToken, int], None] = lambda stamp, build: None
        self.fence = Fence(self._read())
        self._kept = self.fence.seen

    def _read(self) -> FencingToken:
        try:
            if self.path is not None:
                kept = json.loads(self.path.read_text(encoding="utf-8"))
                return FencingToken(int(kept["epoch"]), int(kept["index"]))
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError) as error:
            self.log_event("stage_file_bad", level="warning", file=str(self.path), reason=str(error)[:200])
        return FencingToken()

    async def try_follow(self, stamp: FencingToken, build: int = 0) -> bool:
        """Whether it may be followed now. One that was overtaken while it was being kept may not."""
        if not self.fence.accept(stamp):
            return False
        if self.path is not None and stamp > self._kept:
            text = json.dumps({"epoch": stamp.epoch, "index": stamp.index})
            try:
                await asyncio.get_running_loop().run_in_executor(None, write_atomically, self.path, text)
            except OSError as error:
                self.log_event("stage_file_bad", level="warning", file=str(self.path), reason=error.strerror)
            self._kept = max(self._kept, stamp)
        if may := stamp == self.fence.seen:
            self.on_follow(stamp, build)
        return may


class ConveyorClient:
    """Stages, reports and tallies in; votes out. Any of the channels tells and counts for all: where one falls silent or
    knows no leader, the next is asked."""

    def __init__(
        self,
        engine_host: EngineHost,
        channels: Sequence[Channel],
        hello: pb.Hello,
        vote_timeout: int,
        silence: int,
        backoff: Backoff,
        log_event: EventLogger,
        now: Callable[[], int],
        stage_fence: PersistentFence,
        chance: random.Random,
    ) -> None:
        self.engine_host, self.channels, self.hello, self.backoff, self.log_event, self.now = (
            engine_host,
            channels,
            hello,
            backoff,
            log_event,
            now,
        )
        self.vote_timeout, self.silence, self.stage_fence, self.chance = (
            vote_timeout,
            silence,
            stage_fence,
            chance,
        )
        self._at = chance.randrange(len(channels))  # spreads agents over the controllers
        self._counts = self._at  # who answered a ballot last
        self._lost = False
        self._followed: FencingToken | None = None

    def start(self) -> None:
        self._listener = spawn(self._listening())

    def stop(self) -> None:
        self._listener.cancel()

    async def _listening(self) -> None:
        while True:
            told, advice = False, 0
            try:
                async for message in self._words():
                    if not told:
                        told = True
                        self.backoff.reset()
                        if self._lost:
                            self._lost = False
                            self.log_event("conveyor_back")
                    await self._word_came(pb.Word.FromString(message))
                why = "the news was ended"
            except (CallError, DecodeError) as error:
                why, advice = str(error), getattr(error, "retry_delay", 0)
            if told or not self._lost:
                self._lost = True
                self.log_event("conveyor_lost", level="warning", why=why)
            if (
                asyncio.current_task().cancelling()
            ):  # wait_for may swallow the word to end, and the process stayed
                return
            self._at = self._counts = (self._at + 1) % len(self.channels)
            await asyncio.sleep(
                max(self.backoff.next_delay(), advice / 1e6)
            )  # told by whom the crowd is known to

    async def _words(self) -> AsyncIterator[bytes]:
        """Of the channel whose turn it is. One of several is left where it has been silent for so long that it should
        have told the stage again: guards against a controller that is stopped or cut off with its connections open."""
        channel = self.channels[self._at]
        source = channel.stream("/cartweir.v1.Conveyor/News", self.hello.SerializeToString())
        while True:
            try:
                yield await asyncio.wait_for(
                    anext(source), self.silence / 1e6 if len(self.channels) > 1 else None
                )
            except StopAsyncIteration:
                return
            except (asyncio.TimeoutError, TimeoutError):
                channel.close()
                raise CallError(Status.DEADLINE_EXCEEDED, f"{channel.address} is silent") from None

    async def _word_came(self, word: pb.Word) -> None:
        match word.WhichOneof("what"):
            case "stage":
                await self._stage(word.stage, None)
            case "flag":
                self.engine_host.apply_flag(word.flag.operation, word.flag.appliance, word.flag.age)
            case "tally":
                operation = self.engine_host.operations.get(word.tally.operation)
                if operation is not None:
                    tally = word.tally
                    self.engine_host.apply_tally(
                        Tally(tally.build, operation, tally.count, tally.failures, tally.mean_time, tally.age)
                    )

    async def _stage(self, told: pb.Stage, answer: str | None) -> None:
        stages, came = len(self.engine_host.settings["caps"]), self.now()
        if told.number >= stages or told.phase >= len(PHASES) or not 0 <= told.cap <= 1:
            self.log_event(
                "stage_unknown",
                level="error",
                build=told.build,
                stage=told.number,
                phase=told.phase,
                cap=told.cap,
                due=f"stage 0 to {stages - 1} of [release], a phase from 0 to 3, a cap from 0 to 1",
            )
            return
        stamp = FencingToken(told.epoch, told.index)
        if not await self.stage_fence.try_follow(stamp, told.build):
            self.log_event(
                "stage_late",
                level="warning",
                build=told.build,
                stage=told.number,
                epoch=stamp.epoch,
                index=stamp.index,
                seen=tuple(self.stage_fence.fence.seen),
            )
            return
        if stamp != self._followed:
            self._followed = stamp
            self.log_event(
                "followed",
                build=told.build,
                stage=told.number,
                phase=PHASES[told.phase],
                epoch=stamp.epoch,
                index=stamp.index,
            )
        age = told.age + self.now() - came
        self.engine_host.apply_stage(
            Stage(told.build, told.number, PHASES[told.phase], told.cap, age, answer)
        )

    def vote(self, build: int, stage: int, verdict: str) -> None:
        spawn(self._voting(build, stage, verdict))

    async def _voting(self, build: int, stage: int, verdict: str) -> None:
        """One ballot under one number, told to one after another until it is answered: it counts once. First to whom
        answered the last one: guards against a controller that takes ballots and can't pass them on, each time anew."""
        ballot = pb.Ballot(
            agent=self.hello.agent,
            build=build,
            stage=stage,
            choice=CHOICES[verdict],
            serial=self.chance.getrandbits(62) + 1,
        )
        end, tries, told, first = self.now() + self.vote_timeout, 0, None, self._counts
        while True:
            at = (first + tries) % len(self.channels)
            channel = self.channels[at]
            # an even part of what is left: one that hears and is not heard would take all of it, each time
            left = (end - self.now()) // (len(self.channels) - tries)
            try:
                answer = await channel.unary(
                    "/cartweir.v1.Conveyor/Vote", ballot.SerializeToString(), max(left, 1_000)
                )
                told = pb.Verdict.FromString(answer.message)
                how, self._counts = ANSWERS[told.answer], at
                break
            except CallError as error:
                # where it is known that nobody heard it, it does not count; else it may
                how = "timeout" if error.status == Status.DEADLINE_EXCEEDED else "error"
            except DecodeError:
                how = "error"
                break
            tries += 1
            if tries >= len(self.channels) or end - self.now() <= 0:
                break
        self.log_event("vote", build=build, stage=stage, verdict=verdict, answer=how)
        if how == "ok":
            await self._stage(told.stage, "ok")
        else:
            self.engine_host.apply_stage(Stage(build, stage, ours.ON_TRIAL, 0.0, 0, how))


class PeerMessenger:
    """Messages between agents; one that gets no answer is lost."""

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
        text = pb.Figures(sender=self.me, figures=figures).SerializeToString()
        for number, channel in self.channels.items():
            if to in (None, number):
                spawn(self._telling(number, channel, text))

    async def _telling(self, number: int, channel: Channel, text: bytes) -> None:
        try:
            await channel.unary(PEER_MESSAGE_PATH.decode(), text, self.timeout)
        except CallError as error:
            self.log_event("message_lost", level="debug", to=number, why=str(error))

    def heard(self, message: bytes) -> None:
        """Raises MalformedError."""
        try:
            told = pb.Figures.FromString(message)
        except DecodeError:
            raise MalformedError("no cartweir.v1.Figures") from None
        self.engine_host.receive_message(told.sender, list(told.figures))
