"""What the platform tells an agent at its start, and again after SIGHUP: EDGE_CONFIG, checked."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..hosting.platform_settings import SettingError, parse_settings
from ..hosting.tcp import split_address


class ConfigError(Exception):
    """Place, reason, and what would be right."""


@dataclass(slots=True)
class Config:
    name: str
    listen: str
    discovery: str
    seed: int
    sockets: int
    peer_listen: str | None
    peers: list[str]
    peers_all: str | None
    desk: str
    stage: Mapping[str, Any]  # the newest build's state, in the desk's form; empty: none is known
    listed: Mapping[str, Any]  # the list of appliances as last held, in discovery's form
    decision_settings: dict[str, Any]  # the settings by our names


def read(environment: Mapping[str, str] = os.environ) -> Config:
    """Raises ConfigError."""
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set; the path of the agent's configuration (JSON) is due")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(
            f"{path}: {getattr(error, 'strerror', None) or 'not UTF-8'}; a readable file is due"
        ) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}; one JSON object is due") from None
    if not isinstance(told, dict):
        raise ConfigError(f"{path}: {type(told).__name__}; one JSON object is due")
    try:
        return _config(told, environment)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _of(told: Mapping[str, Any], name: str, kind: type, due: str, absent: Any = ...) -> Any:
    value = told.get(name)
    if value is None and (
        name not in told or absent is not ...
    ):  # null, where nothing need be told, tells nothing
        value = absent
    if value is ...:
        raise ConfigError(f"{name} is missing; {due} is due")
    if value is not absent and (not isinstance(value, kind) or isinstance(value, bool)):
        raise ConfigError(f"{name}: {str(value)[:60]!r}; {due} is due")
    return value


def _address(told: Mapping[str, Any], name: str, absent: Any = ...) -> Any:
    value = _of(told, name, str, "host:port", absent)
    if value is not absent:
        try:
            split_address(value)
        except ValueError as error:
            raise ConfigError(f"{name}: {error}") from None
    return value


def _config(told: Mapping[str, Any], environment: Mapping[str, str]) -> Config:
    told = {
        **{
            name: environment[variable]
            for name, variable in (
                ("name", "EDGE_NAME"),
                ("listen", "EDGE_LISTEN"),
                ("discovery", "EDGE_DISCOVERY"),
            )
            if variable in environment
        },
        **told,
    }
    limits = _of(told, "limits", dict, "an object with sockets", {})
    desk = _of(told, "pipeline", dict, "an object with address and news")
    peers = _of(told, "peers", list, "a list of addresses", [])
    for number, peer in enumerate(peers):
        _address({f"peers[{number}]": peer}, f"peers[{number}]")
    seed = _of(told, "seed", str, "a hexadecimal number")
    settings = _of(told, "settings", dict, "the object of settings")
    try:
        decision_settings = parse_settings(settings)
    except SettingError as error:
        raise ConfigError(f"settings.{error}") from None
    if not decision_settings["operations"]:
        raise ConfigError("settings.classes is empty; one operation at least is due")
    for operation in decision_settings["operations"]:
        if not operation.time_limit:
            raise ConfigError(
                f"settings.classes: {operation.name!r} has no hardLimit; a time in milliseconds is due"
            )
    if len(decision_settings["caps"]) != len(decision_settings["shares"]):
        raise ConfigError(
            f"settings.familyInfo: {len(decision_settings['caps'])} mostShares and {len(decision_settings['shares'])} steps; "
            "one of each for a stage is due"
        )
    listed = _of(told, "known", dict, "a list in discovery's form", {})
    _of(listed, "endpoints", list, "a list of entries", [])
    try:
        return Config(
            _of(told, "name", str, "the agent's name"),
            _address(told, "listen"),
            _address(told, "discovery"),
            int(seed, 16),
            _of(limits, "sockets", int, "a number of descriptors", 1024),
            _address(told, "peer_listen", None),
            peers,
            _address(told, "peers_all", None),
            _address(desk, "address"),
            _of(desk, "news", dict, "the state of the newest build", {}),
            listed,
            decision_settings,
        )
    except ValueError:
        raise ConfigError(f"seed: {seed[:60]!r}; a hexadecimal number is due") from None
