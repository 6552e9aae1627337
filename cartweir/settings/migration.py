"""Carries an agent's settings over to a deployment of another shape.

What belongs to the agent and its machine stays. What belongs to the deployment comes from the shape: a file
with what all agents of the new deployment have in common. What could not be carried over is listed.
"""

from __future__ import annotations

import os
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from .ini import BadInputError, Sections, check_agent, read_ini
from .schema import OPERATION_SECTION, SECTIONS

AGENT_SECTIONS = ("agent", "registry", "conveyor", "wire", "log")
DEPLOYMENT_SECTIONS = ("allowed", "appliances", "release")
SHAPE_SECTIONS = ("agent", "allowed", "appliances", "release")  # besides operations
SHAPE_AGENT_KEYS = ("agents",)  # of [agent], the keys that a shape may set
# keys of the deployment's sections that stay unless the shape sets them
CONNECTION_KEYS = ("connect_timeout", "probe_timeout", "streams", "connections", "idle_time")

MutableSections = dict[str, dict[str, str]]


@dataclass
class Migration:
    """The settings for the new deployment.

    Attributes:
        text: an INI file.
        not_carried_over: what could not be carried over, and why.
    """

    text: str
    not_carried_over: list[str] = field(default_factory=list)


def read_shape(path: str | Path) -> MutableSections:
    """Returns the sections of a shape.

    Raises:
        BadInputError: with all that is wrong.
    """
    sections = read_ini(path)
    problems = []
    for name, keys in sections.items():
        if name not in SHAPE_SECTIONS and not _is_operation(name):
            due = f"[{'], ['.join(SHAPE_SECTIONS)}] and [{OPERATION_SECTION}] are due"
            problems.append(f"{path}: [{name}]: not of the deployment: {due}")
        elif name == "agent":
            due = f"only {', '.join(SHAPE_AGENT_KEYS)} is due in a shape"
            own = [key for key in keys if key not in SHAPE_AGENT_KEYS]
            problems.extend(f"{path}: [agent] {key}: each agent's own: {due}" for key in own)
    if "release" not in sections:
        due = "how the new deployment brings builds in is due"
        problems.append(f"{path}: [release]: the section is missing: {due}")
    if not any(map(_is_operation, sections)):
        problems.append(f"{path}: [{OPERATION_SECTION}]: at least one operation is due")
    if problems:
        raise BadInputError(problems)
    return sections


def _is_operation(section: str) -> bool:
    kind, _, name = section.partition(" ")
    return kind == "operation" and bool(name.strip())


def migrate_settings(old: str | Path, shape: str | Path) -> Migration:
    """Returns the settings for an agent that moves to a deployment of that shape.

    Raises:
        BadInputError: the old settings, the shape or the new settings are wrong.
    """
    before = read_ini(old)
    check_agent(old, before)
    after = read_shape(shape)
    new = {name: dict(before[name]) for name in AGENT_SECTIONS if name in before}
    lost = _migrate_agent(before, after, new)
    lost += _migrate_deployment(before, after, new)
    if "peers" in before:
        new["peers"] = dict(before["peers"])
    lost += _migrate_operations(before, after, new)
    document = check_agent(f"{old} with {shape}", new)
    if "peers" in new and not document.allowed.may_message:
        count = len(new.pop("peers"))
        lost.append(f"[peers]: {count} addresses: agents send no messages in the new shape")
    return Migration(_to_text(new), lost)


def _migrate_agent(before: Sections, after: Sections, new: MutableSections) -> list[str]:
    shape_keys = after.get("agent", {})
    new["agent"].update(shape_keys)
    return [
        f"[agent] {key} = {value}: the shape has {shape_keys[key]}"
        for key, value in before["agent"].items()
        if shape_keys.get(key, value) != value
    ]


def _migrate_deployment(before: Sections, after: Sections, new: MutableSections) -> list[str]:
    lost = []
    for name in DEPLOYMENT_SECTIONS:
        old_keys = before.get(name, {})
        kept = {key: value for key, value in old_keys.items() if key in CONNECTION_KEYS}
        new[name] = {**kept, **after.get(name, {})}
        lost += _changed_keys(name, old_keys, new[name])
    return lost


def _migrate_operations(before: Sections, after: Sections, new: MutableSections) -> list[str]:
    lost = [
        f"[{name}]: no such operation in the new shape: its calls are refused as unknown"
        for name in filter(_is_operation, before)
        if name not in after
    ]
    for name in filter(_is_operation, after):
        old_keys = before.get(name, {})
        methods = {"methods": old_keys["methods"]} if "methods" in old_keys else {}
        new[name] = {**methods, **after[name]}
        lost += _changed_keys(name, old_keys, new[name])
    return lost


def _changed_keys(section: str, old: dict[str, str], new: dict[str, str]) -> list[str]:
    """Returns a line for each key whose value changes; a key that a file leaves out has its default."""
    fields = SECTIONS[OPERATION_SECTION if _is_operation(section) else section].model_fields
    lines = []
    for key, value in old.items():
        default = str(fields[key].default)
        if new.get(key, default) == value:
            continue
        replacement = new.get(key, f"none, so the default ({default})")
        lines.append(f"[{section}] {key} = {value}: the shape has {replacement}")
    return lines


def _to_text(sections: Sections) -> str:
    blocks = []
    for name, keys in sections.items():
        if keys:
            lines = [f"{key} = {value}" for key, value in keys.items()]
            blocks.append("\n".join([f"[{name}]", *lines, ""]))
    return "\n".join(blocks)


def write_new_file(path: str | Path, text: str) -> None:
    """Writes a file whole or not at all, and never over an existing one.

    Raises:
        BadInputError: the file exists or cannot be written.
    """
    path = Path(path)
    part = None
    try:
        with tempfile.NamedTemporaryFile(
            "w", dir=path.parent, prefix=f".{path.name}.", encoding="utf-8", delete=False
        ) as file:
            part = Path(file.name)
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.link(part, path)
    except FileExistsError:
        raise BadInputError([f"{path}: exists already: the name of a new file is due"]) from None
    except OSError as error:
        raise BadInputError([f"{path}: {error.strerror}: a place that can be written is due"]) from None
    finally:
        if part is not None:
            part.unlink(missing_ok=True)
