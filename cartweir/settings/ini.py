"""From an INI file to a checked document, or to everything that is wrong with it at once."""

from __future__ import annotations

from collections.abc import Mapping
from configparser import ConfigParser, Error
from dataclasses import dataclass
from difflib import get_close_matches
from pathlib import Path
from typing import Any, Generic, TypeVar

from pydantic import BaseModel, ValidationError

from .schema import OPERATION_SECTION, SECTIONS, AgentDocument

DocumentType = TypeVar("DocumentType", bound=BaseModel)
Sections = Mapping[str, Mapping[str, str]]

UNIT_NAMES = {"time": "a time such as 250ms", "size": "a size such as 64KiB"}


class BadInputError(Exception):
    """Bad input by a user; each problem names its place, its reason and what would be right."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


@dataclass(frozen=True)
class FileFormat(Generic[DocumentType]):
    """How the sections of a file make a document.

    Attributes:
        document: the document's type.
        sections: the sections by name; that of a group as 'group NAME'.
        group: sections named [group NAME] are collected under NAME.
        group_field: the document's field that holds them.
        free_sections: sections whose keys are chosen by the user.
    """

    document: type[DocumentType]
    sections: Mapping[str, type[BaseModel]]
    group: str
    group_field: str
    free_sections: tuple[str, ...]

    @property
    def group_section(self) -> str:
        """The name under which `sections` holds the group."""
        return f"{self.group} NAME"


AGENT_FORMAT = FileFormat(AgentDocument, SECTIONS, OPERATION_SECTION.split()[0], "operations", ("peers",))


def read_ini(path: str | Path) -> dict[str, dict[str, str]]:
    """Returns the sections and keys of a file as texts.

    Raises:
        BadInputError: the file cannot be read.
    """
    parser = ConfigParser(interpolation=None, default_section="\0", inline_comment_prefixes=(" #", " ;"))
    parser.optionxform = str
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file, str(path))
    except OSError as error:
        raise BadInputError([f"{path}: {error.strerror}: a readable file is due"]) from None
    except UnicodeDecodeError:
        raise BadInputError([f"{path}: not UTF-8 text: an INI file is due"]) from None
    except Error as error:
        reason = " ".join(str(error).split())
        raise BadInputError([f"{path}: {reason}: [section] and key = value lines are due"]) from None
    return {section: dict(parser[section]) for section in parser.sections()}


def read_agent(path: str | Path) -> AgentDocument:
    """Returns an agent's settings.

    Raises:
        BadInputError: with all that is wrong.
    """
    return check_agent(path, read_ini(path))


def check_agent(path: str | Path, sections: Sections) -> AgentDocument:
    """Returns an agent's settings from the sections of a file, whose path is for messages alone.

    Raises:
        BadInputError: with all that is wrong.
    """
    return check_document(AGENT_FORMAT, path, sections)


def check_document(
    file_format: FileFormat[DocumentType], path: str | Path, sections: Sections
) -> DocumentType:
    """Returns the document that the sections of a file make; the path is for messages alone.

    Raises:
        BadInputError: with all that is wrong.
    """
    shape, unknown = _arrange(file_format, sections)
    known = [*file_format.sections, *file_format.free_sections]
    problems = [f"{path}: [{name}]: unknown section{_suggest_section(name, known)}" for name in unknown]
    document = None
    try:
        document = file_format.document.model_validate(shape)
    except ValidationError as error:
        for item in error.errors():
            problems.extend(f"{path}: {line}" for line in _describe(item, file_format))
    if document is None or problems:
        raise BadInputError(problems)
    return document


def _arrange(file_format: FileFormat, sections: Sections) -> tuple[dict[str, Any], list[str]]:
    """Returns the sections as the document's type expects them, and the names of unknown ones."""
    group: dict[str, Any] = {}
    shape: dict[str, Any] = {file_format.group_field: group}
    unknown = []
    for section, keys in sections.items():
        kind, _, name = section.partition(" ")
        is_single = section in file_format.sections and section != file_format.group_section
        if kind == file_format.group and name.strip():
            group[name.strip()] = keys
        elif is_single or section in file_format.free_sections:
            shape[section] = keys
        else:
            unknown.append(section)
    return shape, unknown


def _suggest_section(name: str, known: list[str]) -> str:
    close = get_close_matches(name, known, 1)
    if close:
        return f": [{close[0]}] is meant?"
    return f": one of {', '.join(f'[{section}]' for section in known)} is due"


def _describe(item: Mapping[str, Any], file_format: FileFormat) -> list[str]:
    """Returns what pydantic has found, in the words of an INI file."""
    location = list(item["loc"])
    reason = str(item["msg"]).removeprefix("Value error, ")
    if not location:
        return reason.split("\n")
    if location == [file_format.group_field]:
        return [f"[{file_format.group_section}]: at least one is due"]
    if location[0] == file_format.group_field:
        section, keys = f"{file_format.group} {location[1]}", location[2:]
        model = file_format.sections.get(file_format.group_section)
    else:
        section, keys = str(location[0]), location[1:]
        model = file_format.sections.get(section)
    if keys:
        return [f"[{section}] {_describe_key(item, str(keys[0]), model, reason)}"]
    is_missing = item["type"] == "missing"
    return [f"[{section}]: the section is missing" if is_missing else f"[{section}] {reason}"]


def _describe_key(item: Mapping[str, Any], key: str, model: type[BaseModel] | None, reason: str) -> str:
    if item["type"] == "extra_forbidden":
        return f"{key}: unknown key{_suggest_key(key, model)}"
    field = model.model_fields.get(key) if model else None
    due = unit_of(field) if field is not None else "a line such as NAME = host:port"
    if item["type"] == "missing":
        return f"{key}: missing: {due} is due ({field.description})"
    ending = "" if " due" in reason else f": {due} is due"
    return f"{key} = {item['input']}: {reason}{ending}"


def _suggest_key(key: str, model: type[BaseModel] | None) -> str:
    known = list(model.model_fields) if model else []
    close = get_close_matches(key, known, 1)
    return f": {close[0]} is meant?" if close else f": one of {', '.join(known)} is due"


def unit_of(field: Any) -> str:
    """Returns what kind of text a key takes, which is the last text in its annotation."""
    texts = [mark for mark in field.metadata if isinstance(mark, str)]
    return UNIT_NAMES.get(texts[-1], texts[-1]) if texts else "a text"
