"""A controller: one member of the fleet's log, what its duties make it do, and whom it serves: members, agents, people."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from typing import Any

import msgpack
from google.protobuf.message import DecodeError

from ..agent.daemon import make_logger
from ..fleet.admission import AdmissionControl
from ..fleet.duties import LATE, RELEASE, STEPS_PREFIX, steps_duty
from ..fleet.duty_manager import Effect, MachinesWanted, StepToRun
from ..fleet.raft.log import MemberInfo
from ..fleet.raft.member import ChangeRefusedError, Role
from ..fleet.rollout import Choice
from ..hosting.clock import monotonic
from ..hosting.tcp import spawn
from ..proto import agent_pb2 as pb
from ..wire.calls import CallError, Channel, Request, Service, retry_later
from ..wire.grpc import Status
from . import message_codec
from .host import Host
from .peers import ACT, TELL
from .settings import ControllerDocument
from .store import Store

VOTE_TIME = 2_000_000  # microseconds in which a ballot is to be decided; its agent tells it again
AGAIN = 250_000  # between two tellings of an effect that stands
WORK = 50_000  # between two looks at what duties are due


class Controller(Service):
    def __init__(self, document: ControllerDocument, store: Store, log: Any) -> None:
        super().__init__()
        self.document, self.log = document, log
        self.store = store
        self.host = Host(document, store, store.kept, self.log_event, random.Random())
        self.host.on_committed, self.host.on_fault = self._decided, self._fault
        self.ended: asyncio.Future = asyncio.get_running_loop().create_future()
        self.admission = AdmissionControl.for_rate(document.controller.admit, document.controller.come_back)
        self._news: dict[Request, int] = {}
        self._told: Any = None
        self._asked: set[str] = set()
        self._carrying: dict[str, tuple] = {}  # by duty: the token whose effect is on its way
        self._channels: dict[str, Channel] = {}
        self._joining: dict[str, tuple[str, str]] = {}
        self.handlers.update(
            {
                TELL: self._tell,
                ACT: self._act,
                "/cartweir.v1.Conveyor/News": self._listen,
                "/cartweir.v1.Conveyor/Vote": self._vote,
                "/cartweir.v1.Conveyor/Report": self._report,
                "/cartweir.v1.Controller/Ask": self._ask,
            }
        )

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        getattr(self.log, level)(event, **facts)

    def start(self) -> str:
        """Returns the address. Raises OSError."""
        address = self.listen_on(self.document.controller.listen)
        spawn(self.host.run())
        spawn(self._work())
        member = self.host.member
        self.log_event(
            "started",
            listen=address,
            name=self.host.name,
            term=member.term,
            index=member.last_index,
            members=sorted(member.members),
        )
        return address

    def _fault(self, error: Exception) -> None:
        if not self.ended.done():
            self.ended.set_result(str(error))

    # ---- members ----
    async def _tell(self, request: Request) -> bytes:
        try:
            said = pb.Words.FromString(request.message)
            messages = [message_codec.unpack(word) for word in said.words]
        except (DecodeError, message_codec.MalformedMessageError) as error:
            raise CallError(Status.INVALID_ARGUMENT, f"no words of a member: {error}") from None
        if said.cluster != self.document.controller.cluster:
            raise CallError(Status.FAILED_PRECONDITION, f"this is cluster {self.document.controller.cluster}")
        host = self.host
        if host.member.members and said.incarnation != host.fleet.incarnation:
            raise CallError(Status.FAILED_PRECONDITION, f"this is incarnation {host.fleet.incarnation}")
        host.hear(said.sender, said.mark, messages)
        return b""

    async def _act(self, request: Request) -> bytes:
        try:
            command = msgpack.unpackb(pb.Packed.FromString(request.message).packed, strict_map_key=False)
        except (DecodeError, ValueError, msgpack.UnpackException) as error:
            raise CallError(Status.INVALID_ARGUMENT, f"no command: {error}") from None
        answered = await self.host.propose(command, VOTE_TIME)
        return pb.Packed(packed=msgpack.packb(list(answered))).SerializeToString()

    # ---- agents ----
    def _stage(self) -> pb.Stage:
        host, duty = self.host, self.host.fleet.duties[RELEASE]
        rollout, now = host.fleet.rollout, host.duty_manager.log_time(monotonic())
        return pb.Stage(
            build=rollout.build,
            number=rollout.stage,
            phase=rollout.phase,
            cap=rollout.cap,
            age=max(0, now - rollout.since),
            epoch=duty.epoch,
            index=duty.index,
        )

    async def _listen(self, request: Request) -> None:
        hello = pb.Hello.FromString(request.message)
        duty = self.host.fleet.duties[RELEASE]
        if not self.host.has_leader or not duty.epoch:
            raise CallError(Status.UNAVAILABLE, "no leader is heard here: another controller may know more")
        # guards the duties against a fleet that comes back all at once
        verdict = self.admission.decide(monotonic())
        if verdict.wait is None:
            raise retry_later("too many agents begin to listen", verdict.retry_after)
        if verdict.wait:
            await asyncio.sleep(verdict.wait / 1e6)
        if request.cancelled:
            return
        request.send(pb.Word(stage=self._stage()).SerializeToString())
        self._news[request] = hello.agent

    def _decided(self) -> None:
        duty = self.host.fleet.duties[RELEASE]
        if duty.token != self._told and duty.epoch:
            if self._told is None or duty.index != self._told.index:
                rollout = self.host.fleet.rollout
                self.log_event(
                    "stage",
                    build=rollout.build,
                    stage=rollout.stage,
                    phase=pb.Phase.Name(rollout.phase),
                    epoch=duty.epoch,
                    index=duty.index,
                    owner=duty.owner,
                )
            self._told = duty.token
            self._say_stage()

    def _say_stage(self) -> None:
        self._news = {request: agent for request, agent in self._news.items() if not request.cancelled}
        word = pb.Word(stage=self._stage()).SerializeToString()
        for request in self._news:
            request.send(word)

    async def _vote(self, request: Request) -> bytes:
        ballot = pb.Ballot.FromString(request.message)
        what = {
            "what": "vote",
            "agent": ballot.agent,
            "serial": ballot.serial,
            "build": ballot.build,
            "stage": ballot.stage,
            "choice": ballot.choice,
        }
        answered, answer = await self.command(RELEASE, what)
        if not answered:
            raise CallError(Status.UNAVAILABLE, "nobody is known to have counted it: it may be told again")
        return pb.Verdict(answer=answer, stage=self._stage()).SerializeToString()

    async def command(self, duty: str, what: dict[str, Any]) -> tuple[bool, Any]:
        host = self.host
        return await host.command(
            lambda: {
                **host.duty_manager.command(duty, what),
                "at": host.duty_manager.log_time(monotonic()),
                "wall": time.time_ns() // 1000,
            },
            VOTE_TIME,
        )

    async def _report(self, request: Request) -> bytes:
        """Of a wrong answer: to its agent, if it listens here."""
        flag = pb.Flag.FromString(request.message)
        for listener, agent in self._news.items():
            if agent == flag.agent and not listener.cancelled:
                listener.send(pb.Word(flag=flag).SerializeToString())
        return b""

    # ---- duties ----
    async def _work(self) -> None:
        host, repeated = self.host, monotonic()
        while True:
            await asyncio.sleep(WORK / 1e6)
            now = monotonic()
            if not host.has_leader:
                for request in self._news:  # they may learn more elsewhere
                    if not request.cancelled:
                        request.finish(Status.UNAVAILABLE, "no leader is heard here")
                self._news = {}
            elif now - repeated >= self.document.waves.repeat:
                repeated = now
                self._say_stage()
            leading = host.member.role == Role.LEADER
            for command in host.duty_manager.due_commands(leading, host.alive, now):
                self._propose(command)
            for effect in host.duty_manager.effects():
                self._carry_out(effect)
            if leading:
                self._admit()

    def _propose(self, command: dict[str, Any]) -> None:
        key = json.dumps({k: v for k, v in command.items() if k not in ("at", "why")})
        if key in self._asked:
            return
        self._asked.add(key)
        command["wall"] = time.time_ns() // 1000

        async def run() -> None:
            try:
                answered, answer = (
                    await self.host.command(lambda: command, VOTE_TIME // 2)
                    if command["do"] != "grant"
                    else (await self._grant(command))
                )
                if answered and command["do"] == "grant" and answer != LATE:
                    self.log_event(
                        "granted", duty=command["duty"], to=command["to"], epoch=answer, why=command["why"]
                    )
            finally:
                self._asked.discard(key)

        spawn(run())

    async def _grant(self, command: dict[str, Any]) -> tuple[bool, Any]:
        """Once: one that is late was overtaken by another."""
        host = self.host
        if host.member.leader == host.name:
            return await host.propose(command, VOTE_TIME // 2)
        peer = host.peer(host.member.leader) if host.member.leader else None
        if peer is None:
            return False, None
        answered, answer = await peer.act(command, VOTE_TIME // 2)
        return answered and bool(answer[0]), answer[1] if answered else None

    def _carry_out(self, effect: Effect) -> None:
        if effect.duty in self._carrying:
            return
        address = (
            self.document.waves.machines
            if isinstance(effect.body, MachinesWanted)
            else (self.document.steps[effect.duty.removeprefix(STEPS_PREFIX)].target)
        )
        if address is None:
            return
        self._carrying[effect.duty] = effect.token

        async def run() -> None:
            try:
                await (self._want if isinstance(effect.body, MachinesWanted) else self._step)(
                    effect, effect.body, address
                )
            except CallError as error:
                self.host.duty_manager.on_effect_result(effect, False, monotonic())
                self.log_event("unreached", level="warning", duty=effect.duty, why=str(error))
            except DecodeError:
                self.host.duty_manager.on_effect_result(effect, False, monotonic())
            finally:  # whatever became of it, it is tried again
                asyncio.get_running_loop().call_later(AGAIN / 1e6, self._carrying.pop, effect.duty, None)

        spawn(run())

    def _channel(self, address: str) -> Channel:
        if address not in self._channels:
            self._channels[address] = Channel(address, 1_000_000)
        return self._channels[address]

    async def _call(self, address: str, path: str, message: bytes) -> bytes:
        channel = self._channel(address)
        try:
            return (await channel.unary(path, message, VOTE_TIME // 2)).message
        except CallError as error:
            if error.status == Status.DEADLINE_EXCEEDED:
                channel.close()  # it may be open and dead
            raise

    async def _want(self, effect: Effect, body: MachinesWanted, address: str) -> None:
        wanted = pb.Wanted(
            stamp=pb.Stamp(duty=effect.duty, epoch=effect.token.epoch, index=effect.token.index),
            machines=body.machines,
            build=body.build,
            stage=body.stage,
        )
        said = pb.Standing.FromString(
            await self._call(address, "/cartweir.v1.Machines/Want", wanted.SerializeToString())
        )
        self.host.duty_manager.on_effect_result(effect, True, monotonic())
        if not said.taken:
            self.log_event(
                "refused_as_late",
                level="warning",
                duty=effect.duty,
                epoch=effect.token.epoch,
                seen=said.seen.epoch,
            )
        rollout = self.host.fleet.rollout
        if (
            said.taken
            and said.running
            and rollout.running_since is None
            and rollout.phase == pb.ON_TRIAL
            and ((rollout.build, rollout.stage) == (body.build, body.stage))
        ):
            await self.command(RELEASE, {"what": "running", "build": body.build, "stage": body.stage})

    async def _step(self, effect: Effect, body: StepToRun, address: str) -> None:
        step = pb.Step(
            stamp=pb.Stamp(duty=effect.duty, epoch=effect.token.epoch, index=effect.token.index),
            number=body.number,
            name=body.name,
            begun=body.begun_index,
        )
        said = pb.Ran.FromString(
            await self._call(address, "/cartweir.v1.Steps/Run", step.SerializeToString())
        )
        self.host.duty_manager.on_effect_result(effect, True, monotonic())
        self.log_event(
            "step", duty=effect.duty, step=body.name, how=pb.Ran.How.Name(said.how), epoch=effect.token.epoch
        )
        if said.how == pb.Ran.DONE:
            await self.command(effect.duty, {"what": "done", "step": body.number})
        elif said.how == pb.Ran.FAILED:
            await self.command(effect.duty, {"what": "failed", "step": body.number, "why": said.why})

    # ---- people ----
    async def _ask(self, request: Request) -> bytes:
        try:
            asked = json.loads(pb.Text.FromString(request.message).json)
            answer = await self._answer(asked)
        except (DecodeError, ValueError, KeyError, TypeError) as error:
            raise CallError(Status.INVALID_ARGUMENT, f"{error}") from None
        except ChangeRefusedError as error:
            raise CallError(Status.FAILED_PRECONDITION, str(error)) from None
        return pb.Text(json=json.dumps(answer)).SerializeToString()

    async def _answer(self, asked: dict[str, Any]) -> Any:
        """Raises ValueError with what would be right, ChangeRefusedError with what stands against it."""
        host, member = self.host, self.host.member
        match asked["ask"]:
            case "status":
                return self.status()
            case "history":
                return [change._asdict() for change in host.fleet.history]
            case "offer":
                what = {"what": "offer", "build": int(asked["build"]), "machines": int(asked["machines"])}
                answered, answer = await self.command(RELEASE, what)
                if answered and answer:
                    raise ChangeRefusedError(
                        f"build {asked['build']}: newer than {host.fleet.rollout.build} is due, and "
                        "at least one machine"
                    )
                return {"taken": answered}
            case "retry":
                duty = steps_duty(asked["steps"])
                if duty not in host.fleet.duties:
                    raise ValueError(f"no {duty}: one of {', '.join(host.fleet.duties)} is due")
                answered, answer = await self.command(
                    duty, {"what": "begin", "step": host.fleet.duties[duty].state.current}
                )
                return {"taken": answered and answer == 0}
        if member.role != Role.LEADER:
            return {"leader": member.leader, "address": self._address(member.leader)}
        match asked["ask"]:
            case "hand-over":
                duty, to = asked["duty"], asked.get("to")
                if duty not in host.fleet.duties:
                    raise ValueError(f"no duty {duty}: one of {', '.join(host.fleet.duties)} is due")
                others = [n for n in host.alive if n != host.fleet.duties[duty].owner]
                if to is not None and to not in others:
                    raise ChangeRefusedError(
                        f"{to}: a member that answers, other than the owner, is due: {', '.join(others) or 'none'}"
                    )
                if not others:
                    raise ChangeRefusedError("no other member answers")
                host.duty_manager.requested[duty] = to or others[0]
                return {"to": host.duty_manager.requested[duty]}
            case "lead":
                host.soon(lambda: self._try(lambda: member.transfer_leadership(asked["to"])))
                return {"to": asked["to"]}
            case "admit":
                self._joining[asked["name"]] = (asked["mark"], asked["address"])
                return {"admitting": asked["name"]}
            case "dismiss":
                done: asyncio.Future = asyncio.get_running_loop().create_future()
                host.soon(lambda: done.set_result(self._try(lambda: member.remove_member(asked["name"]))))
                if why := await done:
                    raise ChangeRefusedError(why)
                return {"dismissed": asked["name"]}
        raise ValueError(f"{asked['ask']!r} is not known here")

    def _try(self, do: Any) -> str:
        try:
            do()
        except ChangeRefusedError as error:
            self.log_event("refused", level="warning", why=str(error))
            return str(error)
        return ""

    def _admit(self) -> None:
        """First it listens; once it holds the log, it votes."""
        member = self.host.member
        for name, (mark, address) in list(self._joining.items()):
            row = member.members.get(name)
            if row and row.directory_id == mark and row.votes:
                self.log_event("admitted", member=name)
                del self._joining[name]
                continue
            votes = bool(row) and row.directory_id == mark

            def do(name: str = name, mark: str = mark, address: str = address, votes: bool = votes) -> None:
                try:
                    member.add_member(name, MemberInfo(mark, address, votes))
                except ChangeRefusedError:
                    pass  # not yet

            self.host.soon(do)

    def _address(self, name: str | None) -> str | None:
        row = self.host.member.members.get(name) if name else None
        return row.address if row else None

    def status(self) -> dict[str, Any]:
        host, member = self.host, self.host.member
        rollout, now = host.fleet.rollout, host.duty_manager.log_time(monotonic())
        return {
            "name": host.name,
            "role": member.role,
            "leader": member.leader,
            "term": member.term,
            "decided": member.commit_index,
            "last": member.last_index,
            "led": host.has_leader,
            "incarnation": host.fleet.incarnation,
            "members": {
                n: {"address": m.address, "votes": m.votes, "answers": n in host.alive}
                for n, m in member.members.items()
            },
            "agents": {
                "listening": len(self._news),
                "let_in": self.admission.admitted,
                "told_to_come_back": self.admission.rejected,
            },
            "duties": {
                n: {"owner": d.owner, "epoch": d.epoch, "index": d.index}
                for n, d in host.fleet.duties.items()
            },
            "release": {
                "build": rollout.build,
                "stage": rollout.stage,
                "phase": pb.Phase.Name(rollout.phase),
                "cap": rollout.cap,
                "votes": {
                    "on": rollout.count_votes(Choice.ON, now),
                    "back": rollout.count_votes(Choice.BACK, now),
                },
            },
            "steps": {
                n.removeprefix(STEPS_PREFIX): {
                    "done": [step.name for step in d.state.completed],
                    "next": d.state.current_name,
                    "how": d.state.state,
                    "why": d.state.failure,
                }
                for n, d in host.fleet.duties.items()
                if n != RELEASE
            },
        }


async def run(document: ControllerDocument, store: Store) -> str | None:
    """Until signalled, which gives None, or until the disk fails, which gives why. Raises OSError."""
    controller = Controller(document, store, make_logger(document.log.format, document.log.level))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: controller.ended.done() or controller.ended.set_result(None))
    controller.start()
    why = await controller.ended
    controller.log_event("stopped", **({"why": why} if why else {}))
    controller.shutdown()
    return why
