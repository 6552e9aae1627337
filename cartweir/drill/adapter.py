"""Wire names, units and ids to ours and back: one Seat for each instance, no state but an instance's own."""
from __future__ import annotations

import traceback
from typing import Any, TextIO

from .. import interface as ours
from ..engine import Engine
from ..interface import Appliance, Dispatch, Invocation, Operation, Outcome, Stage, Tally
from ..roster import Roster, Row
from .wire import WireError, encode, messages, microseconds, milliseconds, one_line

EFFECTS = {"retryable": ours.IDEMPOTENT, "dedup": ours.FINGERPRINTED, "fragile": ours.SIDE_EFFECTING}
OUTCOMES = {200: ours.SUCCEEDED, 502: ours.ERROR, 429: ours.FULL, 408: ours.TIMEOUT, 521: ours.UNCONNECTED,
            520: ours.RESET, 444: ours.CANCELLED, 409: ours.MOOT}
ANSWERS = {200: "ok", 409: "moot", 429: "full", 502: "error", 408: "timeout"}
PHASES = (ours.ON_TRIAL, ours.GOING_BACK, ours.RELEASED, ours.WITHDRAWN)
VERDICTS = {ours.NO_VOTE: 0, ours.ON: 1, ours.HOLD: 2, ours.BACK: 3}
STATES = {"ready": ours.READY, "draining": ours.DRAINING, "gone": ours.GONE}
LISTS = {"diff": "changes", "snapshot": "whole", "disk": "cached", "error": "failed"}
CONTROLS = {"first_voice": "any", "by_count": "share", "automatic": "timer"}
LOADS = {"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "mean_ms", "rps": "rate",
         "err_rps": "error_rate"}
REPORTS = {"inline": "answers", "on_probe": "probe", "off": "none"}
# Our name of a setting -> where the wire keeps it, its kind, and what its absence means.
SETTINGS: dict[str, tuple[str, str, Any]] = {
    "agents": ("balancers", "number", 1), "me": ("me", "number", 0), "zone": ("zone", "text", ""),
    "tick": ("tick", "time", 1000), "may_mark_retries": ("clients.marksRetry", "flag", False),
    "over_share_value": ("overShareWorth", "number", 1.0),
    "may_cancel": ("allowed.cancel", "flag", False), "may_probe": ("allowed.probing", "flag", False),
    "may_message": ("allowed.peers", "flag", False), "may_duplicate": ("allowed.mayDuplicate", "flag", False),
    "may_advise": ("allowed.retryAfter", "flag", False), "max_advice": ("allowed.maxRetryAfter", "time", 0),
    "dispatch_limit": ("allowed.tryLimit", "number", 1), "max_open": ("allowed.maxOpen", "number", 0),
    "connect_timeout": ("allowed.connectTimeout", "time", 250_000),
    "per_connection": ("allowed.streamsPerConn", "number", 1), "idle_time": ("allowed.keepalive", "time", 0),
    "cold_share": ("safety.coldFrom", "number", 1.0), "warm_time": ("safety.warmAfter", "time", 0),
    "fall_multiple": ("safety.fallMultiple", "number", 1.0), "fall_time": ("safety.fall", "time", 1_000_000),
    "drain_grace": ("safety.drainGrace", "time", 0), "answer_grace": ("safety.graceToAnswer", "time", 0),
    "ask_within": ("safety.askWithin", "time", 0), "control": ("familyInfo.control", "control", "any"),
    "per_operation": ("familyInfo.per", "per", False), "in_place": ("familyInfo.style", "style", False),
    "window": ("familyInfo.span", "time", 1_000_000), "free": ("familyInfo.spareTries", "number", 0.0),
    "caps": ("familyInfo.mostShares", "list", ()), "shares": ("familyInfo.steps", "list", ()),
    "guarded_stages": ("familyInfo.closedStages", "number", 0), "one_way": ("familyInfo.oneWay", "flag", False),
    "bake_time": ("familyInfo.leastStage", "time", 0), "step_time": ("familyInfo.autoAfter", "time", 0),
    "on_votes": ("familyInfo.votesToGo", "number", 0), "hold_votes": ("familyInfo.toPause", "number", 0),
    "back_votes": ("familyInfo.noesNeeded", "number", 1), "vote_life": ("familyInfo.ballotTtl", "time", 1_000_000),
    "vote_allowance": ("familyInfo.voteAllowance", "number", 1.0),
    "vote_timeout": ("familyInfo.callTimeout", "time", 1_000_000),
    "repeat_time": ("familyInfo.repeatEvery", "time", 0), "flag_share": ("familyInfo.foundShare", "number", 0.0),
    "tally_time": ("familyInfo.metricsPeriod", "time", 0), "tally_share": ("familyInfo.sample", "number", 0.0),
    "delay_price": ("familyInfo.lagFee", "number", 0.0), "harm_price": ("familyInfo.blastPrice", "number", 0.0),
    "warm_keys": ("familyInfo.warmKeys", "flag", False), "zone_price": ("tariffs.crossZone", "number", 0.0),
    "waste_price": ("tariffs.waste", "number", 0.0), "connect_price": ("tariffs.handshake", "number", 0.0),
}


def _setting(params: dict[str, Any], path: str, kind: str, absent: Any) -> Any:
    value: Any = params
    for step in path.split("."):
        value = value.get(step) if isinstance(value, dict) else None
    if value is None:
        return absent
    match kind:
        case "time":
            return microseconds(value)
        case "number":
            return value if isinstance(value, int) else float(value)
        case "flag":
            return bool(value)
        case "list":
            return tuple(float(item) for item in value)
        case "control":
            return CONTROLS[value]
        case "per":
            return value == "each_class"
        case "style":
            return value == "replace"
    return str(value)


def known_from(params: dict[str, Any]) -> dict[str, Any]:
    """The settings as a plain map of our names to values."""
    known = {name: _setting(params, *where) for name, where in SETTINGS.items()}
    known["operations"] = tuple(
        Operation(name=str(row["name"]), effect=EFFECTS[row.get("effect", "fragile")],
                  group=row.get("dedupScope", "cell"), window=microseconds(row.get("window", 0)),
                  slo_time=microseconds(row.get("aim", row.get("hardLimit", 0))),
                  time_limit=microseconds(row.get("hardLimit", 0)), billed_value=float(row.get("worth", 1)),
                  late_value=float(row.get("lateValue", 0)), stream=bool(row.get("stream", False)))
        for row in params.get("classes") or ())
    known["quotas"] = {str(row["name"]): float(row.get("quotaRps", 0)) for row in params.get("parties") or ()}
    known["zones"] = tuple(params.get("failureDomains") or ())
    known["must_ask"] = params.get("registryMode") == "on_request"
    report = params.get("report") or {}
    known["load_reports"] = REPORTS.get(report.get("how", "off"), "none")
    known["value_by_work"] = params.get("worthBy") == "work"
    return known


def _load(row: dict[str, Any]) -> dict[str, float] | None:
    return {LOADS[name]: value for name, value in row.get("usage", {}).items() if name in LOADS} or None


def _entry(row: dict[str, Any]) -> Row:
    started = row.get("upSince", 0)
    return Row(row["appliance"], row.get("runs", 0), started, started,
               STATES.get(row.get("phase", "ready"), ours.DRAINING), row.get("dc"), row.get("pod"), row.get("shape"),
               row.get("size"))


class Seat:
    """One instance's door: its ids, and its actions as lines."""

    def __init__(self, name: str, now: int, seed: int, params: dict[str, Any], out: list[str]) -> None:
        self.name, self.out = name, out
        self.roster = Roster()
        self.invocations: dict[int, Invocation] = {}
        known = known_from(params)
        self.operations = {operation.name: operation for operation in known["operations"]}
        self.engine = Engine(now, seed, known, self)

    # ---- out ----
    def _say(self, message: str, **members: Any) -> None:
        self.out.append(encode(message, agent=self.name, **members))

    def dispatch(self, dispatch: Dispatch) -> None:
        self._say("SEND", requestId=dispatch.invocation.ident, appliance=dispatch.appliance.ident,
                  tryFor=milliseconds(dispatch.patience) if dispatch.patience else None)

    def cancel(self, dispatch: Dispatch) -> None:
        self._say("STOP_ATTEMPT", requestId=dispatch.invocation.ident, shot=dispatch.number)

    def throttle(self, inv: Invocation, retry_after: int) -> None:
        self._say("PUSH_BACK", requestId=inv.ident, stayAway=milliseconds(retry_after) if retry_after else None)

    def terminate(self, inv: Invocation) -> None:
        self._say("END_FAILED", requestId=inv.ident)

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
        self._say("CHECK", appliance=appliance.ident)

    def message(self, to: int | None, figures: list[int]) -> None:
        self._say("NOTIFY", addressee="*" if to is None else to, body=" ".join(map(str, figures)).encode())

    # ---- in ----
    def registry(self, how: str, rows: list[Row]) -> None:
        changed = self.roster.apply(how in ("whole", "cached"), rows)
        self.engine.agent.on_list(how, changed)

    def take(self, now: int, row: dict[str, Any], number: int) -> None:
        operation = self.operations.get(row["service"])
        if operation is None:
            raise WireError(f"line {number}: INGRESS: service {row['service'][:40]!r} is not in the settings")
        inv = Invocation(row["requestId"], operation, now, now + row["left"], row.get("billing", ""),
                         row.get("item"), row.get("estimate", 0), row.get("retry", False), row.get("update", False))
        self.invocations[inv.ident] = inv
        self.engine.take(inv)
        self._forget(inv)

    def _forget(self, inv: Invocation) -> None:
        if inv.concluded and all(dispatch.ended for dispatch in inv.dispatches):
            self.invocations.pop(inv.ident, None)

    def completed(self, row: dict[str, Any]) -> None:
        inv = self.invocations.get(row["requestId"])
        shot = row.get("shot", 0)
        if inv is None or not 0 <= shot < len(inv.dispatches) or inv.dispatches[shot].ended:
            return
        self.engine.outcome(Outcome(inv.dispatches[shot], OUTCOMES.get(row["verdict"], ours.ERROR),
                                    row.get("rtt", 0), row.get("complete", False), _load(row)))
        self._forget(inv)

    def expired(self, row: dict[str, Any]) -> None:
        inv = self.invocations.get(row["requestId"])
        if inv is not None and not inv.concluded:
            self.engine.expired(inv)
            self._forget(inv)

    def handle(self, number: int, message: str, row: dict[str, Any], rows: list[Row]) -> None:
        agent, appliance = self.engine.agent, self.roster.appliances.get(row.get("appliance", ""))
        match message:
            case "INGRESS":
                self.take(self.engine.now, row, number)
            case "COMPLETED":
                self.completed(row)
            case "EXPIRED":
                self.expired(row)
            case "TIMEOUT_FIRED":
                self.engine.alarm()
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
                agent.on_stage(Stage(row["build"], row.get("ring", 0), PHASES[phase], row.get("cap", 0.0),
                                     row.get("lateness", 0), answer))
            case "SCORECARD":
                if row["service"] in self.operations:
                    agent.on_tally(Tally(row["build"], self.operations[row["service"]], row["many"], row["failed"],
                                         row.get("rtt", 0), row.get("lateness", 0)))
            case "COMPLAINT":
                if appliance is not None and row["service"] in self.operations:
                    agent.on_flag(self.operations[row["service"]], appliance, row.get("lateness", 0))
            case "HEARD":
                fields = row.get("body", b"").split()
                agent.on_message(row["who"], [int(field) for field in fields if field.isdigit()])
            case "SAMPLED":
                if appliance is not None:
                    self.engine.probed(appliance, row["verdict"] == 200, row.get("rtt", 0), _load(row))
            case "UNDER_WAY":
                inv = self.invocations.get(row["requestId"])
                if inv is not None:
                    inv.streaming = True


def serve(source: TextIO, sink: TextIO) -> None:
    """Read batches and reply to each until the input ends."""
    seats: dict[str, Seat] = {}
    sheets: dict[int, list[Row]] = {}
    out: list[str] = []
    touched: dict[str, Seat] = {}
    now: int | None = None
    sheet: list[Row] = []
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
            for name, seat in touched.items():
                _guarded(name, seat.engine.settle, out)
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
                seats[name] = touched[name] = Seat(name, now, row["rngSeed"], row["params"], out)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise WireError(f"line {number}: SPAWN: params are malformed ({error!r})") from None
        else:
            name = row["agent"]
            seat = seats.get(name)
            if seat is None:
                raise WireError(f"line {number}: {message} for {name[:40]!r}, which is not running")
            if message == "DESTROY":
                del seats[name]
                touched.pop(name, None)
                continue
            rows: list[Row] = []
            if message == "REGISTRY" and row["how"] != "error":
                if row.get("sheet") not in sheets:
                    raise WireError(f"line {number}: REGISTRY: sheet {row.get('sheet')} was never sent")
                rows = sheets[row["sheet"]]
            seat.engine.enter(now)
            touched[name] = seat
            _guarded(name, lambda: seat.handle(number, message, row, rows), out)
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
