"""Parses the platform's settings object into the settings map of the decisions.

The simulator's first message to an instance and the configuration of a real agent hold the same object. This
module makes no decision and sets no value of its own, except what an absent setting means.
"""

from __future__ import annotations

from collections.abc import Callable
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
MAX_NUMBER = 1e15  # a larger value counts as a mistake
# Name of a setting -> its path in the platform's object, its kind, and its value if it is absent.
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
    """A setting that is wrong; the message has its path, its value and what is expected."""


def _wrong(path: str, value: Any, expected: str) -> SettingError:
    return SettingError(f"{path}: {str(value)[:60]!r}; expected {expected}")


def _number(value: Any, path: str, expected: str = "a number of at least 0") -> Any:
    if type(value) not in (int, float) or not 0 <= value < MAX_NUMBER:
        raise _wrong(path, value, expected)
    return value


def _time(milliseconds: Any, path: str) -> int:
    """Returns microseconds."""
    return round(float(_number(milliseconds, path, "a time in milliseconds")) * 1000)


def _one_of(value: Any, meanings: dict[str, Any], path: str) -> Any:
    if not isinstance(value, str) or value not in meanings:
        raise _wrong(path, value, f"one of {', '.join(meanings)}")
    return meanings[value]


def _flag(value: Any, path: str) -> bool:
    if type(value) not in (bool, int):
        raise _wrong(path, value, "true or false")
    return bool(value)


def _text(value: Any, path: str) -> str:
    if not isinstance(value, str):
        raise _wrong(path, value, "a string")
    return value


def _shares(value: Any, path: str) -> tuple[float, ...]:
    if not isinstance(value, (list, tuple)):
        raise _wrong(path, value, "a list of shares")
    return tuple(float(_number(item, f"{path}[{index}]")) for index, item in enumerate(value))


def _object(value: Any, path: str) -> dict[str, Any]:
    if value is not None and not isinstance(value, dict):
        raise _wrong(path, value, "an object")
    return value or {}


def _rows(params: dict[str, Any], name: str) -> list[tuple[str, dict[str, Any]]]:
    """Returns the objects of a list of named objects, each with its path."""
    rows = params.get(name)
    if rows is not None and not isinstance(rows, (list, tuple)):
        raise _wrong(name, rows, "a list of objects")
    found, names = [], set()
    for index, row in enumerate(rows or ()):
        path = f"{name}[{index}]"
        row_name = row.get("name") if isinstance(row, dict) else None
        if not isinstance(row_name, str) or not row_name or row_name in names:
            raise _wrong(f"{path}.name", row_name, "a name that no other has")
        names.add(row_name)
        found.append((path, row))
    return found


_CHOICES = {
    "control": CONTROLS,
    "per": {"all": False, "each_class": True},
    "style": {"parallel": False, "replace": True},
}
_PARSERS: dict[str, Callable[[Any, str], Any]] = {
    "time": _time,
    "some time": _time,
    "number": _number,
    "some number": _number,
    "flag": _flag,
    "list": _shares,
    "text": _text,
}
# Kinds for which a value of 0 can only mean that none is given.
_ABSENT_IF_ZERO = frozenset(("some time", "some number"))


def _setting(params: dict[str, Any], path: str, kind: str, absent: Any) -> Any:
    value, place = params, ""
    for step in path.split("."):
        value = _object(value, place or "settings").get(step)
        place = f"{place}.{step}" if place else step
    if value is None:
        return absent
    if kind in _CHOICES:
        return _one_of(value, _CHOICES[kind], path)
    parsed = _PARSERS[kind](value, path)
    return parsed or absent if kind in _ABSENT_IF_ZERO else parsed


def _operation(row: dict[str, Any], path: str) -> Operation:
    def field(name: str, absent: Any) -> Any:
        value = row.get(name)
        return absent if value is None else value

    limit = _time(field("hardLimit", 0), f"{path}.hardLimit")
    return Operation(
        name=row["name"],
        effect=_one_of(field("effect", "fragile"), EFFECTS, f"{path}.effect"),
        group=_one_of(field("dedupScope", "cell"), SCOPES, f"{path}.dedupScope"),
        window=_time(field("window", 0), f"{path}.window"),
        slo_time=_time(field("aim", 0), f"{path}.aim") or limit,
        time_limit=limit,
        billed_value=float(_number(field("worth", 1), f"{path}.worth")),
        late_value=float(_number(field("lateValue", 0), f"{path}.lateValue")),
        stream=bool(field("stream", False)),
    )


def parse_settings(params: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings map of the decisions.

    Args:
        params: The platform's settings object.

    Raises:
        SettingError: A setting has a wrong value.
    """
    settings = {name: _setting(params, *where) for name, where in SETTINGS.items()}
    settings["operations"] = tuple(_operation(row, path) for path, row in _rows(params, "classes"))
    settings["quotas"] = {
        row["name"]: float(_number(row.get("quotaRps") or 0, f"{path}.quotaRps"))
        for path, row in _rows(params, "parties")
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
