"""Wire names, units and ids to ours and back: one EngineHost for each instance, no state but an instance's own."""

from __future__ import annotations

import traceback
from typing import Any, TextIO

from .. import interface as ours
from ..engine import Engine
from ..hosting.appliance_list import ApplianceList, ListEntry
from ..hosting.platform_settings import LOADS, parse_settings
from ..interface import Appliance, Dispatch, Invocation, Outcome, Stage, Tally
from .wire import WireError, encode, messages, milliseconds, one_line

OUTCOMES = {
    200: ours.SUCCEEDED,
    502: ours.ERROR,
    429: ours.FULL,
    408: ours.TIMEOUT,
    521: ours.UNCONNECTED,
    520: ours.RESET,
    444: ours.CANCELLED,
    409: ours.OBSOLETE,
}
ANSWERS = {200: "ok", 409: "moot", 429: "full", 502: "error", 408: "timeout"}
PHASES = (ours.ON_TRIAL, ours.GOING_BACK, ours.RELEASED, ours.WITHDRAWN)
VERDICTS = {ours.NO_VOTE: 0, ours.ON: 1, ours.HOLD: 2, ours.BACK: 3}
STATES = {"ready": ours.READY, "draining": ours.DRAINING, "gone": ours.GONE}
LISTS = {"diff": "changes", "snapshot": "whole", "disk": "cached", "error": "failed"}


def _load(row: dict[str, Any]) -> dict[str, float] | None:
    return {LOADS[name]: value for name, value in row.get("usage", {}).items() if name in LOADS} or None


def _entry(row: dict[str, Any]) -> ListEntry:
    started = row.get("upSince", 0)
    return ListEntry(
        row["appliance"],
        row.get("runs", 0),
        started,
        started,
        STATES.get(row.get("phase", "ready"), ours.DRAINING),
        row.get("dc"),
        row.get("pod"),
        row.get("shape"),
        row.get("size"),
    )


class EngineHost:
    """One instance's door: its ids, and its actions as lines."""

    def __init__(self, name: str, now: int, seed: int, params: dict[str, Any], out: list[str]) -> None:
        self.name, self.out = name, out
        self.appliance_list = ApplianceList()
        self.invocations: dict[int, Invocation] = {}
        settings = parse_settings(params)
        self.operations = {operation.name: operation for operation in settings["operations"]}
        self.engine = Engine(now, seed, settings, self)

    # ---- out ----
    def _say(self, message: str, **members: Any) -> None:
        self.out.append(encode(message, agent=self.name, **members))

    def dispatch(self, dispatch: Dispatch) -> None:
        self._say(
            "SEND",
            requestId=dispatch.invocation.id,
            appliance=dispatch.appliance.id,
            tryFor=milliseconds(dispatch.timeout) if dispatch.timeout else None,
        )

    def cancel(self, dispatch: Dispatch) -> None:
        self._say("STOP_ATTEMPT", requestId=dispatch.invocation.id, shot=dispatch.number)

    def throttle(self, invocation: Invocation, retry_after: int) -> None:
        self._say(
            "PUSH_BACK", requestId=invocation.id, stayAway=milliseconds(retry_after) if retry_after else None
        )

    def terminate(self, invocation: Invocation) -> None:
        self._say("END_FAILED", requestId=invocation.id)

    def set_timer(self, due: int) -> None:
        self._say("SLEEP", dueAt=milliseconds(due), ref=0)

    def log(self, text: str) -> None:
        self._say("LOG", reasonText=one_line(text))

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self._say("RULING", ring=stage, build=build, how=VERDICTS[verdict])

    def subscribe(self) -> None:
        self._say("SUBSCRIBE", enable=True)

    def fetch_list(self) -> None:
        self._say("RELOAD")

    def probe(self, appliance: Appliance) -> None:
        self._say("CHECK", appliance=appliance.id)

    def message(self, to: int | None, figures: list[int]) -> None:
        self._say("NOTIFY", addressee="*" if to is None else to, body=" ".join(map(str, figures)).encode())

    # ---- in ----
    def registry(self, how: str, rows: list[ListEntry]) -> None:
        changed = self.appliance_list.apply(how in ("whole", "cached"), rows)
        self.engine.agent.on_list(how, changed)

    def take(self, now: int, row: dict[str, Any], number: int) -> None:
        operation = self.operations.get(row["service"])
        if operation is None:
            raise WireError(f"line {number}: INGRESS: service {row['service'][:40]!r} is not in the settings")
        invocation = Invocation(
            row["requestId"],
            operation,
            now,
            now + row["left"],
            row.get("billing", ""),
            row.get("item"),
            row.get("estimate", 0),
            row.get("retry", False),
            row.get("update", False),
        )
        self.invocations[invocation.id] = invocation
        self.engine.accept(invocation)
        self._forget(invocation)

    def _forget(self, invocation: Invocation) -> None:
        if invocation.concluded and all(dispatch.result for dispatch in invocation.dispatches):
            self.invocations.pop(invocation.id, None)

    def completed(self, row: dict[str, Any]) -> None:
        invocation = self.invocations.get(row["requestId"])
        shot = row.get("shot", 0)
        if (
            invocation is None
            or not 0 <= shot < len(invocation.dispatches)
            or invocation.dispatches[shot].result
        ):
            return
        self.engine.dispatch_ended(
            Outcome(
                invocation.dispatches[shot],
                OUTCOMES.get(row["verdict"], ours.ERROR),
                row.get("rtt", 0),
                row.get("complete", False),
                _load(row),
            )
        )
        self._forget(invocation)

    def expired(self, row: dict[str, Any]) -> None:
        invocation = self.invocations.get(row["requestId"])
        if invocation is not None and not invocation.concluded:
            self.engine.client_left(invocation)
            self._forget(invocation)

    def handle(self, number: int, message: str, row: dict[str, Any], rows: list[ListEntry]) -> None:
        agent, appliance = self.engine.agent, self.appliance_list.appliances.get(row.get("appliance", ""))
        match message:
            case "INGRESS":
                self.take(self.engine.now, row, number)
            case "COMPLETED":
                self.completed(row)
            case "EXPIRED":
                self.expired(row)
            case "TIMEOUT_FIRED":
                self.engine.run_timers()
            case "REGISTRY":
                if row["how"] not in LISTS:
                    raise WireError(f"line {number}: REGISTRY: how is malformed ({row['how'][:40]!r})")
                if row["how"] == "error":
                    agent.on_list("failed", [])
                else:
                    self.registry(LISTS[row["how"]], rows)
            case "RELEASE_STATE":
                phase = row.get("whereAt", 0)
                if not 0 <= phase < len(PHASES):
                    raise WireError(f"line {number}: RELEASE_STATE: whereAt is malformed ({phase})")
                answer = ANSWERS.get(row.get("verdict", 200), "error") if row.get("how", 0) == 1 else None
                agent.on_stage(
                    Stage(
                        row["build"],
                        row.get("ring", 0),
                        PHASES[phase],
                        row.get("cap", 0.0),
                        row.get("lateness", 0),
                        answer,
                    )
                )
            case "SCORECARD":
                if row["service"] in self.operations:
                    agent.on_tally(
                        Tally(
                            row["build"],
                            self.operations[row["service"]],
                            row["many"],
                            row["failed"],
                            row.get("rtt", 0),
                            row.get("lateness", 0),
                        )
                    )
            case "COMPLAINT":
                if appliance is not None and row["service"] in self.operations:
                    agent.on_flag(self.operations[row["service"]], appliance, row.get("lateness", 0))
            case "HEARD":
                fields = row.get("body", b"").split()
                agent.on_message(row["who"], [int(field) for field in fields if field.isdigit()])
            case "SAMPLED":
                if appliance is not None:
                    self.engine.probe_ended(appliance, row["verdict"] == 200, row.get("rtt", 0), _load(row))
            case "UNDER_WAY":
                invocation = self.invocations.get(row["requestId"])
                if invocation is not None:
                    invocation.streaming = True


def serve(source: TextIO, sink: TextIO) -> None:
    """Read batches and reply to each until the input ends."""
    seats: dict[str, EngineHost] = {}
    sheets: dict[int, list[ListEntry]] = {}
    out: list[str] = []
    touched: dict[str, EngineHost] = {}
    now: int | None = None
    sheet: list[ListEntry] = []
    missing = 0
    for number, message, row in messages(source):
        if missing and message != "ENTRY":
            raise WireError(f"line {number}: {message} where {missing} more ENTRY lines are due")
        if message == "TURN":
            if now is not None:
                raise WireError(f"line {number}: TURN inside a batch")
            now = row["clock"]
            continue
        if now is None:
            raise WireError(f"line {number}: {message} outside a batch")
        if message == "OVER_TO_YOU":
            for name, engine_host in touched.items():
                _guarded(name, engine_host.engine.resume_woken, out)
            touched.clear()
            out.append("ACK\n")
            sink.write("\n".join(out))
            sink.flush()
            out.clear()
            now = None
        elif message == "POOL":
            sheet, missing = [], row["rows"]
            sheets[row["sheet"]] = sheet
        elif message == "ENTRY":
            if not missing:
                raise WireError(f"line {number}: ENTRY outside a POOL")
            missing -= 1
            sheet.append(_entry(row))
        elif message == "SPAWN":
            name = row["agent"]
            try:
                seats[name] = touched[name] = EngineHost(name, now, row["rngSeed"], row["params"], out)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise WireError(f"line {number}: SPAWN: params are malformed ({error!r})") from None
        else:
            name = row["agent"]
            engine_host = seats.get(name)
            if engine_host is None:
                raise WireError(f"line {number}: {message} for {name[:40]!r}, which is not running")
            if message == "DESTROY":
                del seats[name]
                touched.pop(name, None)
                continue
            rows: list[ListEntry] = []
            if message == "REGISTRY" and row["how"] != "error":
                if row.get("sheet") not in sheets:
                    raise WireError(f"line {number}: REGISTRY: sheet {row.get('sheet')} was never sent")
                rows = sheets[row["sheet"]]
            engine_host.engine.advance_to(now)
            touched[name] = engine_host
            _guarded(name, lambda: engine_host.handle(number, message, row, rows), out)
    if now is not None:
        raise WireError("input ended inside a batch")


def _guarded(name: str, act: Any, out: list[str]) -> None:
    """An exception in the decisions ends the day with a word on where it was raised."""
    try:
        act()
    except WireError:
        raise
    except Exception as error:  # noqa: BLE001 - whatever it is, the platform is to be told
        where = traceback.extract_tb(error.__traceback__)[-1]
        text = f"{type(error).__name__} at {where.name}:{where.lineno}: {error}"
        out.append(encode("GIVE_IN", agent=name, reasonText=one_line(text)[:300]))
