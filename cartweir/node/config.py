"""The agent's configuration: the file that `EDGE_CONFIG` names, read at the start and after each SIGHUP."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..hosting.platform_settings import SettingError, parse_settings
from ..hosting.tcp import split_address

DEFAULT_SOCKET_LIMIT = 1024  # file descriptors
DEFAULT_MEMORY_LIMIT = 192  # megabytes
BYTES_PER_MEGABYTE = 1_000_000
MAX_QUOTED_VALUE = 60  # characters of a wrong value that an error message quotes

# Values in the environment that stand in for members missing from the file.
ENVIRONMENT_VARIABLES = {
    "name": "EDGE_NAME",
    "listen": "EDGE_LISTEN",
    "discovery": "EDGE_DISCOVERY",
}

REQUIRED: Any = ...  # in place of a default: the member must be there


class ConfigError(Exception):
    """The configuration cannot be used; the message says where, what is wrong and what was expected."""


@dataclass(slots=True)
class Config:
    """The checked configuration of one agent.

    Attributes:
        name: The agent's name.
        listen: Address that clients connect to.
        discovery: Address of the service that lists appliances.
        seed: Seed of the agent's random decisions.
        sockets: File descriptors that the agent may use.
        memory_limit: Bytes of memory over which the agent is killed.
        peer_listen: Address for datagrams of other agents; None where there are none.
        peers: Addresses of all agents' datagram sockets, in the order of their numbers.
        peers_all: Address that reaches all agents at once; None where there is none.
        release_service: Address of the service that publishes the state of builds and takes votes.
        stage: State of the newest build, as the release service writes it; empty where none is known.
        known_list: The list of appliances last held, as discovery writes it.
        decision_settings: The settings of the decisions, by their keys.
    """

    name: str
    listen: str
    discovery: str
    seed: int
    sockets: int
    memory_limit: int
    peer_listen: str | None
    peers: list[str]
    peers_all: str | None
    release_service: str
    stage: Mapping[str, Any]
    known_list: Mapping[str, Any]
    decision_settings: dict[str, Any]


def read(environment: Mapping[str, str] = os.environ) -> Config:
    """Reads the configuration file that `EDGE_CONFIG` names.

    Raises:
        ConfigError: The file cannot be read, or its content is not a usable configuration.
    """
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set; expected the path of the agent's configuration (JSON)")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(
            f"{path}: {getattr(error, 'strerror', None) or 'not UTF-8'}; expected a readable file"
        ) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}; expected one JSON object") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{path}: {type(document).__name__}; expected one JSON object")
    try:
        return _parse_config(document, environment)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _member(
    document: Mapping[str, Any], name: str, kind: type, expected: str, default: Any = REQUIRED
) -> Any:
    """Returns a member of the given type; null counts as missing where there is a default."""
    value = document.get(name)
    if value is None and (name not in document or default is not REQUIRED):
        value = default
    if value is REQUIRED:
        raise ConfigError(f"{name} is missing; expected {expected}")
    if value is not default and (not isinstance(value, kind) or isinstance(value, bool)):
        raise ConfigError(f"{name}: {str(value)[:MAX_QUOTED_VALUE]!r}; expected {expected}")
    return value


def _address(document: Mapping[str, Any], name: str, default: Any = REQUIRED) -> Any:
    value = _member(document, name, str, "host:port", default)
    if value is not default:
        try:
            split_address(value)
        except ValueError as error:
            raise ConfigError(f"{name}: {error}") from None
    return value


def _memory_limit(limits: Mapping[str, Any]) -> int:
    """Returns the memory limit in bytes; 0 counts as absent."""
    megabytes = limits.get("memory_mb") or DEFAULT_MEMORY_LIMIT
    if isinstance(megabytes, bool) or not isinstance(megabytes, (int, float)) or megabytes < 0:
        raise ConfigError(
            f"limits.memory_mb: {str(megabytes)[:MAX_QUOTED_VALUE]!r}; expected a number of megabytes"
        )
    return int(megabytes * BYTES_PER_MEGABYTE)


def _parse_decision_settings(settings: Mapping[str, Any]) -> dict[str, Any]:
    try:
        decision_settings = parse_settings(settings)
    except SettingError as error:
        raise ConfigError(f"settings.{error}") from None
    if not decision_settings["operations"]:
        raise ConfigError("settings.classes is empty; expected at least one operation")
    for operation in decision_settings["operations"]:
        if not operation.time_limit:
            raise ConfigError(
                f"settings.classes: {operation.name!r} has no hardLimit; expected a time in milliseconds"
            )
    caps, shares = decision_settings["caps"], decision_settings["shares"]
    if len(caps) != len(shares):
        raise ConfigError(
            f"settings.familyInfo: {len(caps)} mostShares and {len(shares)} steps; "
            "expected one of each per stage"
        )
    return decision_settings


def _parse_config(document: Mapping[str, Any], environment: Mapping[str, str]) -> Config:
    from_environment = {
        name: environment[variable]
        for name, variable in ENVIRONMENT_VARIABLES.items()
        if variable in environment
    }
    document = {**from_environment, **document}
    limits = _member(document, "limits", dict, "an object with memory_mb and sockets", {})
    pipeline = _member(document, "pipeline", dict, "an object with address and news")
    peers = _member(document, "peers", list, "a list of addresses", [])
    for number, peer in enumerate(peers):
        _address({f"peers[{number}]": peer}, f"peers[{number}]")
    seed = _member(document, "seed", str, "a hexadecimal number")
    settings = _member(document, "settings", dict, "the object of settings")
    decision_settings = _parse_decision_settings(settings)
    known_list = _member(document, "known", dict, "a list in discovery's form", {})
    _member(known_list, "endpoints", list, "a list of entries", [])
    try:
        return Config(
            name=_member(document, "name", str, "the agent's name"),
            listen=_address(document, "listen"),
            discovery=_address(document, "discovery"),
            seed=int(seed, 16),
            sockets=_member(limits, "sockets", int, "a number of descriptors", DEFAULT_SOCKET_LIMIT),
            memory_limit=_memory_limit(limits),
            peer_listen=_address(document, "peer_listen", None),
            peers=peers,
            peers_all=_address(document, "peers_all", None),
            release_service=_address(pipeline, "address"),
            stage=_member(pipeline, "news", dict, "the state of the newest build", {}),
            known_list=known_list,
            decision_settings=decision_settings,
        )
    except ValueError:
        raise ConfigError(f"seed: {seed[:MAX_QUOTED_VALUE]!r}; expected a hexadecimal number") from None
