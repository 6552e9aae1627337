"""The platform's settings object as the plain map of our names: the simulator's first message to an instance and a real
agent's configuration hold the same one. No decision, no value of our own but what an absence means."""

from __future__ import annotations

from typing import Any

from .. import interface as ours
from ..interface import Operation

EFFECTS = {"retryable": ours.IDEMPOTENT, "dedup": ours.FINGERPRINTED, "fragile": ours.SIDE_EFFECTING}
CONTROLS = {"first_voice": "any", "by_count": "share", "automatic": "timer"}
LOADS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "mean_ms",
    "rps": "rate",
    "err_rps": "error_rate",
}
SCOPES = {"all": "all", "zone": "zone", "cell": "cell"}
REPORTS = {"inline": "answers", "on_probe": "probe", "off": "none"}
# Our name of a setting -> where the wire keeps it, its kind, and what its absence means.
SETTINGS: dict[str, tuple[str, str, Any]] = {
    "agents": ("balancers", "some number", 1),
    "me": ("me", "number", 0),
    "zone": ("zone", "text", ""),
    "tick": ("tick", "time", 1000),
    "may_mark_retries": ("clients.marksRetry", "flag", False),
    "over_share_value": ("overShareWorth", "number", 1.0),
    "may_cancel": ("allowed.cancel", "flag", False),
    "may_probe": ("allowed.probing", "flag", False),
    "may_message": ("allowed.peers", "flag", False),
    "may_duplicate": ("allowed.mayDuplicate", "flag", False),
    "may_advise": ("allowed.retryAfter", "flag", False),
    "max_advice": ("allowed.maxRetryAfter", "time", 0),
    "dispatch_limit": ("allowed.tryLimit", "some number", 1),
    "max_open": ("allowed.maxOpen", "number", 0),
    "connect_timeout": ("allowed.connectTimeout", "some time", 250_000),
    "per_connection": ("allowed.streamsPerConn", "number", 1),
    "idle_time": ("allowed.keepalive", "time", 0),
    "cold_share": ("safety.coldFrom", "number", 1.0),
    "warm_time": ("safety.warmAfter", "time", 0),
    "fall_multiple": ("safety.fallMultiple", "number", 1.0),
    "fall_time": ("safety.fall", "some time", 1_000_000),
    "drain_grace": ("safety.drainGrace", "time", 0),
    "answer_grace": ("safety.graceToAnswer", "time", 0),
    "ask_within": ("safety.askWithin", "time", 0),
    "control": ("familyInfo.control", "control", "any"),
    "per_operation": ("familyInfo.per", "per", False),
    "in_place": ("familyInfo.style", "style", False),
    "window": ("familyInfo.span", "some time", 1_000_000),
    "free": ("familyInfo.spareTries", "number", 0.0),
    "caps": ("familyInfo.mostShares", "list", ()),
    "shares": ("familyInfo.steps", "list", ()),
    "guarded_stages": ("familyInfo.closedStages", "number", 0),
    "one_way": ("familyInfo.oneWay", "flag", False),
    "bake_time": ("familyInfo.leastStage", "time", 0),
    "step_time": ("familyInfo.autoAfter", "time", 0),
    "on_votes": ("familyInfo.votesToGo", "number", 0),
    "hold_votes": ("familyInfo.toPause", "number", 0),
    "back_votes": ("familyInfo.noesNeeded", "some number", 1),
    "vote_life": ("familyInfo.ballotTtl", "some time", 1_000_000),
    "vote_allowance": ("familyInfo.voteAllowance", "number", 1.0),
    "vote_timeout": ("familyInfo.callTimeout", "some time", 1_000_000),
    "repeat_time": ("familyInfo.repeatEvery", "time", 0),
    "flag_share": ("familyInfo.foundShare", "number", 0.0),
    "tally_time": ("familyInfo.metricsPeriod", "time", 0),
    "tally_share": ("familyInfo.sample", "number", 0.0),
    "delay_price": ("familyInfo.lagFee", "number", 0.0),
    "harm_price": ("familyInfo.blastPrice", "number", 0.0),
    "warm_keys": ("familyInfo.warmKeys", "flag", False),
    "zone_price": ("tariffs.crossZone", "number", 0.0),
    "waste_price": ("tariffs.waste", "number", 0.0),
    "connect_price": ("tariffs.handshake", "number", 0.0),
    "probe_price": ("tariffs.probe", "number", 0.0),
}


class SettingError(ValueError):
    """Place, reason, and what would be right."""


def _wrong(place: str, value: Any, due: str) -> SettingError:
    return SettingError(f"{place}: {str(value)[:60]!r}; {due} is due")


def _number(value: Any, place: str, due: str = "a number of at least 0") -> Any:
    if type(value) not in (int, float) or not 0 <= value < 1e15:
        raise _wrong(place, value, due)
    return value


def _time(milliseconds: Any, place: str) -> int:
    return round(float(_number(milliseconds, place, "a time in milliseconds")) * 1000)


def _one_of(value: Any, words: dict[str, Any], place: str) -> Any:
    if not isinstance(value, str) or value not in words:
        raise _wrong(place, value, f"one of {', '.join(words)}")
    return words[value]


def _object(value: Any, place: str) -> dict[str, Any]:
    if value is not None and not isinstance(value, dict):
        raise _wrong(place, value, "an object")
    return value or {}


def _rows(params: dict[str, Any], name: str) -> list[tuple[str, dict[str, Any]]]:
    """The rows of a list of named objects, with their places."""
    rows = params.get(name)
    if rows is not None and not isinstance(rows, (list, tuple)):
        raise _wrong(name, rows, "a list of objects")
    found, names = [], set()
    for number, row in enumerate(rows or ()):
        place = f"{name}[{number}]"
        word = row.get("name") if isinstance(row, dict) else None
        if not isinstance(word, str) or not word or word in names:
            raise _wrong(f"{place}.name", word, "a name that no other has")
        names.add(word)
        found.append((place, row))
    return found


def _setting(params: dict[str, Any], path: str, kind: str, absent: Any) -> Any:
    value, place = params, ""
    for step in path.split("."):
        value = _object(value, place or "settings").get(step)
        place = f"{place}.{step}" if place else step
    if value is None:
        return absent
    match kind:
        case "time":
            return _time(value, path)
        case "some time":  # of which 0 could only mean that none is given
            return _time(value, path) or absent
        case "number":
            return _number(value, path)
        case "some number":
            return _number(value, path) or absent
        case "flag":
            if type(value) not in (bool, int):
                raise _wrong(path, value, "true or false")
            return bool(value)
        case "list":
            if not isinstance(value, (list, tuple)):
                raise _wrong(path, value, "a list of shares")
            return tuple(float(_number(item, f"{path}[{place}]")) for place, item in enumerate(value))
        case "control":
            return _one_of(value, CONTROLS, path)
        case "per":
            return _one_of(value, {"all": False, "each_class": True}, path)
        case "style":
            return _one_of(value, {"parallel": False, "replace": True}, path)
    if not isinstance(value, str):
        raise _wrong(path, value, "a word")
    return value


def _operation(row: dict[str, Any], place: str) -> Operation:
    def of(name: str, absent: Any) -> Any:
        value = row.get(name)
        return absent if value is None else value

    limit = _time(of("hardLimit", 0), f"{place}.hardLimit")
    return Operation(
        name=row["name"],
        effect=_one_of(of("effect", "fragile"), EFFECTS, f"{place}.effect"),
        group=_one_of(of("dedupScope", "cell"), SCOPES, f"{place}.dedupScope"),
        window=_time(of("window", 0), f"{place}.window"),
        slo_time=_time(of("aim", 0), f"{place}.aim") or limit,
        time_limit=limit,
        billed_value=float(_number(of("worth", 1), f"{place}.worth")),
        late_value=float(_number(of("lateValue", 0), f"{place}.lateValue")),
        stream=bool(of("stream", False)),
    )


def parse_settings(params: dict[str, Any]) -> dict[str, Any]:
    """The settings as a plain map of our names to values. Raises SettingError."""
    settings = {name: _setting(params, *where) for name, where in SETTINGS.items()}
    settings["operations"] = tuple(_operation(row, place) for place, row in _rows(params, "classes"))
    settings["quotas"] = {
        row["name"]: float(_number(row.get("quotaRps") or 0, f"{place}.quotaRps"))
        for place, row in _rows(params, "parties")
    }
    zones = params.get("failureDomains") or ()
    if not isinstance(zones, (list, tuple)):
        raise _wrong("failureDomains", zones, "a list of zones")
    settings["zones"] = tuple(zones)
    settings["must_ask"] = _one_of(
        params.get("registryMode") or "pushed", {"pushed": False, "on_request": True}, "registryMode"
    )
    report = _object(params.get("report"), "report")
    settings["load_reports"] = REPORTS.get(report.get("how", "off"), "none")
    settings["value_by_work"] = params.get("worthBy") == "work"
    return settings
