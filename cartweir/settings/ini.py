"""From an INI file to a checked document, or to everything that is wrong with it at once."""
from __future__ import annotations

from configparser import ConfigParser, Error
from difflib import get_close_matches
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError

from .schema import SECTIONS, AgentDocument


class BadInput(Exception):
    """Bad input by a user; each line names place, reason and what would be right."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def read_ini(path: str | Path) -> dict[str, dict[str, str]]:
    """Sections and keys as texts. Raises BadInput."""
    parser = ConfigParser(interpolation=None, default_section="\0", inline_comment_prefixes=(" #", " ;"))
    parser.optionxform = str
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file, str(path))
    except OSError as error:
        raise BadInput([f"{path}: {error.strerror}: a readable file is due"]) from None
    except UnicodeDecodeError:
        raise BadInput([f"{path}: not UTF-8 text: an INI file is due"]) from None
    except Error as error:
        raise BadInput([f"{path}: {' '.join(str(error).split())}: [section] and key = value lines are due"]) from None
    return {section: dict(parser[section]) for section in parser.sections()}


def read_agent(path: str | Path) -> AgentDocument:
    """Raises BadInput with all that is wrong."""
    return check_agent(path, read_ini(path))


def check_agent(path: str | Path, sections: dict[str, dict[str, str]]) -> AgentDocument:
    """Raises BadInput with all that is wrong; the path is for its words alone."""
    shape, problems = {"operations": {}}, []
    for name, keys in sections.items():
        kind, _, rest = name.partition(" ")
        if kind == "operation" and rest.strip():
            shape["operations"][rest.strip()] = keys
        elif name in SECTIONS and name != "operation NAME" or name == "peers":
            shape[name] = keys
        else:
            problems.append(f"{path}: [{name}]: unknown section{_near(name, [*SECTIONS, 'peers'])}")
    try:
        document = AgentDocument.model_validate(shape)
    except ValidationError as error:
        problems.extend(f"{path}: {line}" for line in _problems(error, AgentDocument))
    if problems:
        raise BadInput(problems)
    return document


def _near(name: str, names: list[str]) -> str:
    near = get_close_matches(name, names, 1)
    return f": [{near[0]}] is meant?" if near else f": one of {', '.join(f'[{n}]' for n in names)} is due"


def _problems(error: ValidationError, document: type[BaseModel]) -> list[str]:
    return [line for item in error.errors() for line in _lines(item, document)]


def _lines(item: dict[str, Any], document: type[BaseModel]) -> list[str]:
    """One finding of pydantic in the words of an INI file."""
    where, reason = list(item["loc"]), str(item["msg"]).removeprefix("Value error, ")
    if not where:
        return reason.split("\n")
    if where == ["operations"]:
        return ["[operation NAME]: at least one operation is due"]
    if where[0] == "operations":
        section, keys = f"operation {where[1]}", where[2:]
    else:
        section, keys = str(where[0]), where[1:]
    model = SECTIONS.get("operation NAME" if where[0] == "operations" else section)
    if item["type"] == "missing" and not keys:
        return [f"[{section}]: the section is missing"]
    if not keys:
        return [f"[{section}] {reason}"]
    key = str(keys[0])
    field = model.model_fields.get(key) if model else None
    if item["type"] == "extra_forbidden":
        near = get_close_matches(key, list(model.model_fields), 1) if model else []
        right = f"{near[0]} is meant?" if near else f"one of {', '.join(model.model_fields)} is due"
        return [f"[{section}] {key}: unknown key: {right}"]
    due = unit_of(field) if field is not None else "number = host:port"
    if item["type"] == "missing":
        return [f"[{section}] {key}: missing: {due} is due ({field.description})"]
    return [f"[{section}] {key} = {item['input']}: {reason}" + ("" if " due" in reason else f": {due} is due")]


def unit_of(field: Any) -> str:
    """What kind of text a key takes: the last word of its annotation's marks."""
    names = {"time": "a time such as 250ms", "size": "a size such as 64KiB"}
    texts = [mark for mark in field.metadata if isinstance(mark, str)]
    return names.get(texts[-1], texts[-1]) if texts else "a text"
