"""Runs agents for the simulator: translates its names, units and identifiers to ours and back.

It keeps no state but each agent's own and the lists of appliances that were sent.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, TextIO

from .. import interface as ours
from ..engine import Engine
from ..hosting.appliance_list import ApplianceList, ListEntry
from ..hosting.platform_settings import LOADS, parse_settings
from ..interface import Appliance, Dispatch, Invocation, Outcome, Stage, Tally
from .wire import SHOWN_CHARACTERS, Message, WireError, encode, messages, milliseconds, one_line

OK_STATUS = 200
OUTCOMES = {
    OK_STATUS: ours.SUCCEEDED,
    502: ours.ERROR,
    429: ours.FULL,
    408: ours.TIMEOUT,
    521: ours.UNCONNECTED,
    520: ours.RESET,
    444: ours.CANCELLED,
    409: ours.OBSOLETE,
}
ANSWERS = {OK_STATUS: "ok", 409: "moot", 429: "full", 502: "error", 408: "timeout"}
PHASES = (ours.ON_TRIAL, ours.GOING_BACK, ours.RELEASED, ours.WITHDRAWN)
VERDICTS = {ours.NO_VOTE: 0, ours.ON: 1, ours.HOLD: 2, ours.BACK: 3}
STATES = {"ready": ours.READY, "draining": ours.DRAINING, "gone": ours.GONE}
LISTS = {"diff": ours.DELTA, "snapshot": ours.SNAPSHOT, "disk": ours.CACHED, "error": ours.FAILED}
ANSWERS_A_VOTE = 1  # value of the member `how` of RELEASE_STATE

REASON_LENGTH = 300  # characters of the reason why an agent gave up


def _load(members: dict[str, Any]) -> dict[str, float] | None:
    return {LOADS[name]: value for name, value in members.get("usage", {}).items() if name in LOADS} or None


def _entry(members: dict[str, Any]) -> ListEntry:
    started = members.get("upSince", 0)
    return ListEntry(
        members["appliance"],
        members.get("runs", 0),
        started,
        started,
        STATES.get(members.get("phase", "ready"), ours.DRAINING),
        members.get("dc"),
        members.get("pod"),
        members.get("shape"),
        members.get("size"),
    )


class SimulatedAgent:
    """One agent: an engine, the identifiers of the simulator, and the engine's actions as lines.

    Attributes:
        name: the simulator's name of the agent.
        out: lines of the reply.
        appliance_list: the appliances by the names that the simulator gives them.
        invocations: those that may still get messages, by identifier.
        operations: by name.
        engine: hosts the decisions.
    """

    def __init__(self, name: str, now: int, seed: int, params: dict[str, Any], out: list[str]) -> None:
        self.name, self.out = name, out
        self.appliance_list = ApplianceList()
        self.invocations: dict[int, Invocation] = {}
        settings = parse_settings(params)
        self.operations = {operation.name: operation for operation in settings["operations"]}
        self.engine = Engine(now, seed, settings, self)

    # ---- actions of the decisions ----
    def _write(self, action: str, **members: Any) -> None:
        self.out.append(encode(action, agent=self.name, **members))

    def dispatch(self, dispatch: Dispatch) -> None:
        """Writes SEND."""
        self._write(
            "SEND",
            requestId=dispatch.invocation.id,
            appliance=dispatch.appliance.id,
            tryFor=milliseconds(dispatch.timeout) if dispatch.timeout else None,
        )

    def cancel(self, dispatch: Dispatch) -> None:
        """Writes STOP_ATTEMPT."""
        self._write("STOP_ATTEMPT", requestId=dispatch.invocation.id, shot=dispatch.number)

    def throttle(self, invocation: Invocation, retry_after: int) -> None:
        """Writes PUSH_BACK."""
        self._write(
            "PUSH_BACK",
            requestId=invocation.id,
            stayAway=milliseconds(retry_after) if retry_after else None,
        )

    def terminate(self, invocation: Invocation) -> None:
        """Writes END_FAILED."""
        self._write("END_FAILED", requestId=invocation.id)

    def set_timer(self, due: int) -> None:
        """Writes SLEEP."""
        self._write("SLEEP", dueAt=milliseconds(due), ref=0)

    def log(self, text: str) -> None:
        """Writes LOG."""
        self._write("LOG", reasonText=one_line(text))

    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Writes RULING."""
        self._write("RULING", ring=stage, build=build, how=VERDICTS[verdict])

    def subscribe(self) -> None:
        """Writes SUBSCRIBE."""
        self._write("SUBSCRIBE", enable=True)

    def fetch_list(self) -> None:
        """Writes RELOAD."""
        self._write("RELOAD")

    def probe(self, appliance: Appliance) -> None:
        """Writes CHECK."""
        self._write("CHECK", appliance=appliance.id)

    def message(self, to: int | None, figures: list[int]) -> None:
        """Writes NOTIFY."""
        body = " ".join(map(str, figures)).encode()
        self._write("NOTIFY", addressee="*" if to is None else to, body=body)

    # ---- messages of the simulator ----
    def handle(self, message: Message, entries: list[ListEntry]) -> None:
        """Passes a message on to the decisions.

        Args:
            message: what has happened.
            entries: the list that a REGISTRY message names.

        Raises:
            WireError: a value is out of its range.
        """
        if message.name == "REGISTRY":
            self._registry(message, entries)
        else:
            HANDLERS[message.name](self, message)

    def _registry(self, message: Message, entries: list[ListEntry]) -> None:
        how = message.members["how"]
        if how not in LISTS:
            raise WireError(f"line {message.line}: REGISTRY: how is malformed ({how[:SHOWN_CHARACTERS]!r})")
        status = LISTS[how]
        if status == ours.FAILED:
            self.engine.agent.on_list(status, [])
        else:
            changed = self.appliance_list.apply(status in (ours.SNAPSHOT, ours.CACHED), entries)
            self.engine.agent.on_list(status, changed)

    def _ingress(self, message: Message) -> None:
        members, now = message.members, self.engine.now
        operation = self.operations.get(members["service"])
        if operation is None:
            name = members["service"][:SHOWN_CHARACTERS]
            raise WireError(f"line {message.line}: INGRESS: service {name!r} is not in the settings")
        invocation = Invocation(
            members["requestId"],
            operation,
            now,
            now + members["left"],
            members.get("billing", ""),
            members.get("item"),
            members.get("estimate", 0),
            members.get("retry", False),
            members.get("update", False),
        )
        self.invocations[invocation.id] = invocation
        self.engine.accept(invocation)
        self._forget_if_done(invocation)

    def _forget_if_done(self, invocation: Invocation) -> None:
        if invocation.concluded and all(dispatch.result for dispatch in invocation.dispatches):
            self.invocations.pop(invocation.id, None)

    def _completed(self, message: Message) -> None:
        members = message.members
        invocation = self.invocations.get(members["requestId"])
        number = members.get("shot", 0)
        if (
            invocation is None
            or not 0 <= number < len(invocation.dispatches)
            or invocation.dispatches[number].result
        ):
            return
        self.engine.dispatch_ended(
            Outcome(
                invocation.dispatches[number],
                OUTCOMES.get(members["verdict"], ours.ERROR),
                members.get("rtt", 0),
                members.get("complete", False),
                _load(members),
            )
        )
        self._forget_if_done(invocation)

    def _expired(self, message: Message) -> None:
        invocation = self.invocations.get(message.members["requestId"])
        if invocation is not None and not invocation.concluded:
            self.engine.client_left(invocation)
            self._forget_if_done(invocation)

    def _timeout_fired(self, message: Message) -> None:
        self.engine.run_timers()

    def _release_state(self, message: Message) -> None:
        members = message.members
        phase = members.get("whereAt", 0)
        if not 0 <= phase < len(PHASES):
            raise WireError(f"line {message.line}: RELEASE_STATE: whereAt is malformed ({phase})")
        answer = None
        if members.get("how", 0) == ANSWERS_A_VOTE:
            answer = ANSWERS.get(members.get("verdict", OK_STATUS), "error")
        self.engine.agent.on_stage(
            Stage(
                members["build"],
                members.get("ring", 0),
                PHASES[phase],
                members.get("cap", 0.0),
                members.get("lateness", 0),
                answer,
            )
        )

    def _scorecard(self, message: Message) -> None:
        members = message.members
        if members["service"] in self.operations:
            self.engine.agent.on_tally(
                Tally(
                    members["build"],
                    self.operations[members["service"]],
                    members["many"],
                    members["failed"],
                    members.get("rtt", 0),
                    members.get("lateness", 0),
                )
            )

    def _complaint(self, message: Message) -> None:
        members, appliance = message.members, self._appliance(message)
        if appliance is not None and members["service"] in self.operations:
            operation = self.operations[members["service"]]
            self.engine.agent.on_flag(operation, appliance, members.get("lateness", 0))

    def _heard(self, message: Message) -> None:
        fields = message.members.get("body", b"").split()
        figures = [int(field) for field in fields if field.isdigit()]
        self.engine.agent.on_message(message.members["who"], figures)

    def _sampled(self, message: Message) -> None:
        members, appliance = message.members, self._appliance(message)
        if appliance is not None:
            answered = members["verdict"] == OK_STATUS
            self.engine.probe_ended(appliance, answered, members.get("rtt", 0), _load(members))

    def _under_way(self, message: Message) -> None:
        invocation = self.invocations.get(message.members["requestId"])
        if invocation is not None:
            invocation.streaming = True

    def _appliance(self, message: Message) -> Appliance | None:
        return self.appliance_list.appliances.get(message.members["appliance"])


HANDLERS: dict[str, Callable[[SimulatedAgent, Message], None]] = {
    "INGRESS": SimulatedAgent._ingress,
    "COMPLETED": SimulatedAgent._completed,
    "EXPIRED": SimulatedAgent._expired,
    "TIMEOUT_FIRED": SimulatedAgent._timeout_fired,
    "RELEASE_STATE": SimulatedAgent._release_state,
    "SCORECARD": SimulatedAgent._scorecard,
    "COMPLAINT": SimulatedAgent._complaint,
    "HEARD": SimulatedAgent._heard,
    "SAMPLED": SimulatedAgent._sampled,
    "UNDER_WAY": SimulatedAgent._under_way,
}


class Server:
    """Handles batches of messages and replies to each.

    Attributes:
        sink: where the replies go.
        agents: the running agents by name.
        touched: agents that got a message in the present batch.
        lists: lists of appliances by number.
        now: time of the present batch; None between batches.
    """

    def __init__(self, sink: TextIO) -> None:
        self.sink = sink
        self.agents: dict[str, SimulatedAgent] = {}
        self.touched: dict[str, SimulatedAgent] = {}
        self.lists: dict[int, list[ListEntry]] = {}
        self.now: int | None = None
        self._out: list[str] = []
        self._list: list[ListEntry] = []
        self._missing = 0  # entries of the list that are still to come

    def handle(self, message: Message) -> None:
        """Handles a message; the last one of a batch writes the reply.

        Raises:
            WireError: the message is malformed, or not allowed here.
        """
        line, name, members = message
        if self._missing and name != "ENTRY":
            raise WireError(f"line {line}: {name} where {self._missing} more ENTRY lines are expected")
        if name == "TURN":
            if self.now is not None:
                raise WireError(f"line {line}: TURN inside a batch")
            self.now = members["clock"]
            return
        if self.now is None:
            raise WireError(f"line {line}: {name} outside a batch")
        match name:
            case "OVER_TO_YOU":
                self._reply()
            case "POOL":
                self._list, self._missing = [], members["rows"]
                self.lists[members["sheet"]] = self._list
            case "ENTRY":
                if not self._missing:
                    raise WireError(f"line {line}: ENTRY outside a POOL")
                self._missing -= 1
                self._list.append(_entry(members))
            case "SPAWN":
                self._spawn(message)
            case _:
                self._pass_on(message)

    def _reply(self) -> None:
        for name, agent in self.touched.items():
            _guarded(name, agent.engine.resume_woken, self._out)
        self.touched.clear()
        self._out.append("ACK\n")
        self.sink.write("\n".join(self._out))
        self.sink.flush()
        self._out.clear()
        self.now = None

    def _spawn(self, message: Message) -> None:
        members = message.members
        name = members["agent"]
        try:
            agent = SimulatedAgent(name, self.now, members["rngSeed"], members["params"], self._out)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise WireError(f"line {message.line}: SPAWN: params are malformed ({error!r})") from None
        self.agents[name] = self.touched[name] = agent

    def _pass_on(self, message: Message) -> None:
        """Passes a message on to its agent."""
        members = message.members
        name = members["agent"]
        agent = self.agents.get(name)
        if agent is None:
            raise WireError(
                f"line {message.line}: {message.name} for {name[:SHOWN_CHARACTERS]!r}, which is not running"
            )
        if message.name == "DESTROY":
            del self.agents[name]
            self.touched.pop(name, None)
            return
        entries: list[ListEntry] = []
        if message.name == "REGISTRY" and members["how"] != "error":
            if members.get("sheet") not in self.lists:
                raise WireError(f"line {message.line}: REGISTRY: sheet {members.get('sheet')} was never sent")
            entries = self.lists[members["sheet"]]
        agent.engine.advance_to(self.now)
        self.touched[name] = agent
        _guarded(name, lambda: agent.handle(message, entries), self._out)


def serve(source: TextIO, sink: TextIO) -> None:
    """Reads batches and replies to each until the input ends.

    Raises:
        WireError: the input does not follow the protocol.
    """
    server = Server(sink)
    for message in messages(source):
        server.handle(message)
    if server.now is not None:
        raise WireError("input ended inside a batch")


def _guarded(name: str, act: Callable[[], None], out: list[str]) -> None:
    """Calls `act`; an exception in the decisions ends the agent, and GIVE_IN says where it was raised."""
    try:
        act()
    except WireError:
        raise
    except Exception as error:  # whatever it is, the simulator must learn of it
        where = traceback.extract_tb(error.__traceback__)[-1]
        text = f"{type(error).__name__} at {where.name}:{where.lineno}: {error}"
        out.append(encode("GIVE_IN", agent=name, reasonText=one_line(text)[:REASON_LENGTH]))
