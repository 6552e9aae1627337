"""The controller process: takes part in the log, runs duties, serves members, agents and operators."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import msgpack
from google.protobuf.message import DecodeError

from ..agent.daemon import make_logger
from ..fleet.admission import AdmissionControl
from ..fleet.duties import LATE, RELEASE, STEPS_PREFIX, steps_duty
from ..fleet.duty_manager import Effect, MachinesWanted, StepToRun
from ..fleet.fencing import FencingToken
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
from .peers import COMMAND_PATH, MESSAGES_PATH
from .settings import ControllerDocument
from .store import Store

COMMAND_TIMEOUT = 2_000_000  # microseconds for a command to be decided; an agent then sends its vote again
EFFECT_RETRY_DELAY = 250_000  # microseconds between two calls for the same effect
DUTY_INTERVAL = 50_000  # microseconds between two checks of the duties
CONNECT_TIMEOUT = 1_000_000  # microseconds, to the receivers of effects

AnswerToCommand = tuple[bool, Any]  # whether the command was decided, and the answer


class Controller(Service):
    """One controller.

    Attributes:
        ended: done when the process has to end; its result is the reason, or None for a regular end.
    """

    def __init__(self, document: ControllerDocument, store: Store, log: Any) -> None:
        """`store` is open; `log` is a structlog logger."""
        super().__init__()
        self.document, self.log = document, log
        self.store = store
        self.host = Host(document, store, store.state, self.log_event, random.Random())
        self.host.on_committed, self.host.on_failure = self._on_committed, self._on_failure
        self.ended: asyncio.Future = asyncio.get_running_loop().create_future()
        self.admission = AdmissionControl.for_rate(document.controller.admit, document.controller.come_back)
        self._listeners: dict[Request, int] = {}  # the agent by its open request
        self._announced: FencingToken | None = None
        self._proposed: set[str] = set()
        self._running_effects: dict[str, FencingToken] = {}  # by duty
        self._channels: dict[str, Channel] = {}
        self._joining: dict[str, tuple[str, str]] = {}  # directory id and address, by the member's name
        self.handlers.update(
            {
                MESSAGES_PATH: self._receive_messages,
                COMMAND_PATH: self._propose_for_member,
                "/cartweir.v1.Conveyor/News": self._listen,
                "/cartweir.v1.Conveyor/Vote": self._vote,
                "/cartweir.v1.Conveyor/Report": self._report,
                "/cartweir.v1.Controller/Ask": self._ask,
            }
        )

    def log_event(self, event: str, level: str = "info", **facts: Any) -> None:
        """Writes one line to the log."""
        getattr(self.log, level)(event, **facts)

    def start(self) -> str:
        """Starts to listen and to work; returns the address.

        Raises:
            OSError: the address cannot be listened on.
        """
        address = self.listen_on(self.document.controller.listen)
        spawn(self.host.run())
        spawn(self._run_duties())
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

    def _on_failure(self, error: Exception) -> None:
        if not self.ended.done():
            self.ended.set_result(str(error))

    # Members

    async def _receive_messages(self, request: Request) -> bytes:
        try:
            received = pb.Words.FromString(request.message)
            messages = [message_codec.unpack(packed) for packed in received.words]
        except (DecodeError, message_codec.MalformedMessageError) as error:
            raise CallError(Status.INVALID_ARGUMENT, f"not a message between members: {error}") from None
        if received.cluster != self.document.controller.cluster:
            raise CallError(Status.FAILED_PRECONDITION, f"this is cluster {self.document.controller.cluster}")
        host = self.host
        if host.member.members and received.incarnation != host.fleet.incarnation:
            raise CallError(Status.FAILED_PRECONDITION, f"this is incarnation {host.fleet.incarnation}")
        host.receive(received.sender, received.mark, messages)
        return b""

    async def _propose_for_member(self, request: Request) -> bytes:
        try:
            command = msgpack.unpackb(pb.Packed.FromString(request.message).packed, strict_map_key=False)
        except (DecodeError, ValueError, msgpack.UnpackException) as error:
            raise CallError(Status.INVALID_ARGUMENT, f"not a command: {error}") from None
        answer = await self.host.propose(command, COMMAND_TIMEOUT)
        return pb.Packed(packed=msgpack.packb(list(answer))).SerializeToString()

    # Agents

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
            raise CallError(
                Status.UNAVAILABLE, "this controller is not in contact with a leader: try another controller"
            )
        # protects the duties when all agents of a fleet come back at once
        admission = self.admission.decide(monotonic())
        if admission.wait is None:
            raise retry_later("too many agents begin to listen", admission.retry_after)
        if admission.wait:
            await asyncio.sleep(admission.wait / 1e6)
        if request.cancelled:
            return
        request.send(pb.Word(stage=self._stage()).SerializeToString())
        self._listeners[request] = hello.agent

    def _on_committed(self) -> None:
        duty = self.host.fleet.duties[RELEASE]
        if duty.token != self._announced and duty.epoch:
            if self._announced is None or duty.index != self._announced.index:
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
            self._announced = duty.token
            self._announce_stage()

    def _announce_stage(self) -> None:
        self._listeners = {
            request: agent for request, agent in self._listeners.items() if not request.cancelled
        }
        message = pb.Word(stage=self._stage()).SerializeToString()
        for request in self._listeners:
            request.send(message)

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
        is_decided, answer = await self.command(RELEASE, what)
        if not is_decided:
            raise CallError(
                Status.UNAVAILABLE, "the vote is not known to have been counted: it may be sent again"
            )
        return pb.Verdict(answer=answer, stage=self._stage()).SerializeToString()

    async def command(self, duty: str, what: dict[str, Any]) -> AnswerToCommand:
        """Has a command of a duty decided, in the name of its present owner."""
        host = self.host
        return await host.command(
            lambda: {
                **host.duty_manager.command(duty, what),
                "at": host.duty_manager.log_time(monotonic()),
                "wall": time.time_ns() // 1000,
            },
            COMMAND_TIMEOUT,
        )

    async def _report(self, request: Request) -> bytes:
        """Passes the report of a wrong answer on to its agent, if that listens here."""
        flag = pb.Flag.FromString(request.message)
        for listener, agent in self._listeners.items():
            if agent == flag.agent and not listener.cancelled:
                listener.send(pb.Word(flag=flag).SerializeToString())
        return b""

    # Duties

    async def _run_duties(self) -> None:
        host, repeated_at = self.host, monotonic()
        while True:
            await asyncio.sleep(DUTY_INTERVAL / 1e6)
            now = monotonic()
            if not host.has_leader:
                for request in self._listeners:  # another controller may have newer decisions
                    if not request.cancelled:
                        request.finish(Status.UNAVAILABLE, "this controller has lost contact with the leader")
                self._listeners = {}
            elif now - repeated_at >= self.document.waves.repeat:
                repeated_at = now
                self._announce_stage()
            is_leader = host.member.role == Role.LEADER
            for command in host.duty_manager.due_commands(is_leader, host.responsive_members, now):
                self._propose(command)
            for effect in host.duty_manager.effects():
                self._carry_out(effect)
            if is_leader:
                self._admit_joining_members()

    def _propose(self, command: dict[str, Any]) -> None:
        """Proposes a command in the background, unless the same one is already being proposed."""
        key = json.dumps({name: value for name, value in command.items() if name not in ("at", "why")})
        if key in self._proposed:
            return
        self._proposed.add(key)
        command["wall"] = time.time_ns() // 1000

        async def run() -> None:
            try:
                is_decided, answer = (
                    await self.host.command(lambda: command, COMMAND_TIMEOUT // 2)
                    if command["do"] != "grant"
                    else (await self._grant(command))
                )
                if is_decided and command["do"] == "grant" and answer != LATE:
                    self.log_event(
                        "granted", duty=command["duty"], to=command["to"], epoch=answer, why=command["why"]
                    )
            finally:
                self._proposed.discard(key)

        spawn(run())

    async def _grant(self, command: dict[str, Any]) -> AnswerToCommand:
        """Proposes a grant once: a grant that is late has been overtaken by another one."""
        host = self.host
        if host.member.leader == host.name:
            return await host.propose(command, COMMAND_TIMEOUT // 2)
        peer = host.peer(host.member.leader) if host.member.leader else None
        if peer is None:
            return False, None
        is_answered, answer = await peer.forward(command, COMMAND_TIMEOUT // 2)
        return is_answered and bool(answer[0]), answer[1] if is_answered else None

    def _carry_out(self, effect: Effect) -> None:
        """Sends an effect to its receiver in the background, unless one of this duty is under way."""
        if effect.duty in self._running_effects:
            return
        address = (
            self.document.waves.machines
            if isinstance(effect.body, MachinesWanted)
            else (self.document.steps[effect.duty.removeprefix(STEPS_PREFIX)].target)
        )
        if address is None:
            return
        self._running_effects[effect.duty] = effect.token

        async def run() -> None:
            try:
                await (self._request_machines if isinstance(effect.body, MachinesWanted) else self._run_step)(
                    effect, effect.body, address
                )
            except CallError as error:
                self.host.duty_manager.on_effect_result(effect, False, monotonic())
                self.log_event("unreached", level="warning", duty=effect.duty, why=str(error))
            except DecodeError:
                self.host.duty_manager.on_effect_result(effect, False, monotonic())
            finally:  # an effect is repeated whatever its result, until another one replaces it
                asyncio.get_running_loop().call_later(
                    EFFECT_RETRY_DELAY / 1e6, self._running_effects.pop, effect.duty, None
                )

        spawn(run())

    def _channel(self, address: str) -> Channel:
        if address not in self._channels:
            self._channels[address] = Channel(address, CONNECT_TIMEOUT)
        return self._channels[address]

    async def _call(self, address: str, path: str, message: bytes) -> bytes:
        channel = self._channel(address)
        try:
            return (await channel.unary(path, message, COMMAND_TIMEOUT // 2)).message
        except CallError as error:
            if error.status == Status.DEADLINE_EXCEEDED:
                channel.close()  # the connection may be half-open
            raise

    async def _request_machines(self, effect: Effect, body: MachinesWanted, address: str) -> None:
        wanted = pb.Wanted(
            stamp=pb.Stamp(duty=effect.duty, epoch=effect.token.epoch, index=effect.token.index),
            machines=body.machines,
            build=body.build,
            stage=body.stage,
        )
        answer = pb.Standing.FromString(
            await self._call(address, "/cartweir.v1.Machines/Want", wanted.SerializeToString())
        )
        self.host.duty_manager.on_effect_result(effect, True, monotonic())
        if not answer.taken:
            self.log_event(
                "refused_as_late",
                level="warning",
                duty=effect.duty,
                epoch=effect.token.epoch,
                seen=answer.seen.epoch,
            )
        rollout = self.host.fleet.rollout
        if (
            answer.taken
            and answer.running
            and rollout.running_since is None
            and rollout.phase == pb.ON_TRIAL
            and ((rollout.build, rollout.stage) == (body.build, body.stage))
        ):
            await self.command(RELEASE, {"what": "running", "build": body.build, "stage": body.stage})

    async def _run_step(self, effect: Effect, body: StepToRun, address: str) -> None:
        step = pb.Step(
            stamp=pb.Stamp(duty=effect.duty, epoch=effect.token.epoch, index=effect.token.index),
            number=body.number,
            name=body.name,
            begun=body.begun_index,
        )
        answer = pb.Ran.FromString(
            await self._call(address, "/cartweir.v1.Steps/Run", step.SerializeToString())
        )
        self.host.duty_manager.on_effect_result(effect, True, monotonic())
        self.log_event(
            "step",
            duty=effect.duty,
            step=body.name,
            how=pb.Ran.How.Name(answer.how),
            epoch=effect.token.epoch,
        )
        if answer.how == pb.Ran.DONE:
            await self.command(effect.duty, {"what": "done", "step": body.number})
        elif answer.how == pb.Ran.FAILED:
            await self.command(effect.duty, {"what": "failed", "step": body.number, "why": answer.why})

    # Operators

    async def _ask(self, request: Request) -> bytes:
        try:
            question = json.loads(pb.Text.FromString(request.message).json)
            answer = await self._answer(question)
        except (DecodeError, ValueError, KeyError, TypeError) as error:
            raise CallError(Status.INVALID_ARGUMENT, f"{error}") from None
        except ChangeRefusedError as error:
            raise CallError(Status.FAILED_PRECONDITION, str(error)) from None
        return pb.Text(json=json.dumps(answer)).SerializeToString()

    async def _answer(self, question: dict[str, Any]) -> Any:
        """Returns the answer to an operator's question or order.

        Raises:
            ValueError: the question is wrong; the text says what is expected.
            ChangeRefusedError: the change is not possible now; the text says why.
        """
        match question["ask"]:
            case "status":
                return self.status()
            case "history":
                return [change._asdict() for change in self.host.fleet.history]
            case "offer":
                return await self._offer_build(question)
            case "retry":
                return await self._retry_step(question)
        return await self._answer_as_leader(question)

    async def _offer_build(self, question: dict[str, Any]) -> dict[str, Any]:
        what = {"what": "offer", "build": int(question["build"]), "machines": int(question["machines"])}
        is_decided, answer = await self.command(RELEASE, what)
        if is_decided and answer:
            raise ChangeRefusedError(
                f"build {question['build']}: expected a build newer than {self.host.fleet.rollout.build}, "
                "and at least one machine"
            )
        return {"taken": is_decided}

    async def _retry_step(self, question: dict[str, Any]) -> dict[str, Any]:
        host, duty = self.host, steps_duty(question["steps"])
        if duty not in host.fleet.duties:
            raise ValueError(f"there is no {duty}: expected one of {', '.join(host.fleet.duties)}")
        is_decided, answer = await self.command(
            duty, {"what": "begin", "step": host.fleet.duties[duty].state.current}
        )
        return {"taken": is_decided and answer == 0}

    async def _answer_as_leader(self, question: dict[str, Any]) -> dict[str, Any]:
        """Returns the answer if this member leads; otherwise, the leader's name and address."""
        member = self.host.member
        if member.role != Role.LEADER:
            return {"leader": member.leader, "address": self._address(member.leader)}
        match question["ask"]:
            case "hand-over":
                return self._hand_over(question)
            case "lead":
                self.host.schedule(
                    lambda: self._refusal_of(lambda: member.transfer_leadership(question["to"]))
                )
                return {"to": question["to"]}
            case "admit":
                self._joining[question["name"]] = (question["mark"], question["address"])
                return {"admitting": question["name"]}
            case "dismiss":
                return await self._dismiss(question)
        raise ValueError(f"{question['ask']!r}: unknown question")

    def _hand_over(self, question: dict[str, Any]) -> dict[str, Any]:
        host, duty, to = self.host, question["duty"], question.get("to")
        if duty not in host.fleet.duties:
            raise ValueError(f"there is no duty {duty}: expected one of {', '.join(host.fleet.duties)}")
        others = [name for name in host.responsive_members if name != host.fleet.duties[duty].owner]
        if to is not None and to not in others:
            raise ChangeRefusedError(
                f"{to}: expected a member that answers, other than the owner: {', '.join(others) or 'none'}"
            )
        if not others:
            raise ChangeRefusedError("no other member answers")
        host.duty_manager.requested[duty] = to or others[0]
        return {"to": host.duty_manager.requested[duty]}

    async def _dismiss(self, question: dict[str, Any]) -> dict[str, Any]:
        host, member = self.host, self.host.member
        done: asyncio.Future = asyncio.get_running_loop().create_future()
        host.schedule(
            lambda: done.set_result(self._refusal_of(lambda: member.remove_member(question["name"])))
        )
        if why := await done:
            raise ChangeRefusedError(why)
        return {"dismissed": question["name"]}

    def _refusal_of(self, change: Callable[[], None]) -> str:
        """Makes a change; returns why it was refused, or an empty text."""
        try:
            change()
        except ChangeRefusedError as error:
            self.log_event("refused", level="warning", why=str(error))
            return str(error)
        return ""

    def _admit_joining_members(self) -> None:
        """Makes each joining member a learner first, and lets it vote once it holds the log."""
        member = self.host.member
        for name, (directory_id, address) in list(self._joining.items()):
            row = member.members.get(name)
            if row and row.directory_id == directory_id and row.votes:
                self.log_event("admitted", member=name)
                del self._joining[name]
                continue
            votes = bool(row) and row.directory_id == directory_id

            info = MemberInfo(directory_id, address, votes)

            def add(name: str = name, info: MemberInfo = info) -> None:
                with contextlib.suppress(ChangeRefusedError):  # not possible yet: tried again later
                    member.add_member(name, info)

            self.host.schedule(add)

    def _address(self, name: str | None) -> str | None:
        row = self.host.member.members.get(name) if name else None
        return row.address if row else None

    def status(self) -> dict[str, Any]:
        """Returns the answer to the question `status`."""
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
                name: {"address": row.address, "votes": row.votes, "answers": name in host.responsive_members}
                for name, row in member.members.items()
            },
            "agents": {
                "listening": len(self._listeners),
                "let_in": self.admission.admitted,
                "told_to_come_back": self.admission.rejected,
            },
            "duties": {
                name: {"owner": duty.owner, "epoch": duty.epoch, "index": duty.index}
                for name, duty in host.fleet.duties.items()
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
                name.removeprefix(STEPS_PREFIX): {
                    "done": [step.name for step in duty.state.completed],
                    "next": duty.state.current_name,
                    "how": duty.state.state,
                    "why": duty.state.failure,
                }
                for name, duty in host.fleet.duties.items()
                if name != RELEASE
            },
        }


async def run(document: ControllerDocument, store: Store) -> str | None:
    """Runs a controller until a signal ends it, or until its directory cannot be used any more.

    Returns:
        None after a signal; otherwise, what is wrong with the directory.

    Raises:
        OSError: the address cannot be listened on.
    """
    controller = Controller(document, store, make_logger(document.log.format, document.log.level))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: controller.ended.done() or controller.ended.set_result(None))
    controller.start()
    why = await controller.ended
    controller.log_event("stopped", **({"why": why} if why else {}))
    controller.shutdown()
    return why
