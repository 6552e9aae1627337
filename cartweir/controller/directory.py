"""Making, joining, recovering and opening a member's directory: each an act of people, none a guess of the program."""

from __future__ import annotations

import secrets
from pathlib import Path

import msgpack

from ..fleet.duties import FleetState
from ..fleet.raft.log import EntryKind, MemberInfo, Snapshot
from ..fleet.raft.records import SnapshotRecord, VoteRecord
from .settings import ControllerDocument
from .store import Store, StoreError

FOUNDED = "founded"  # mark of the first directories; one made later has a mark drawn anew


def new_fleet_state(document: ControllerDocument) -> FleetState:
    return FleetState(document.plan(), {name: list(steps.names) for name, steps in document.steps.items()})


def create_founding_directory(document: ControllerDocument) -> None:
    """Of a member of a new cluster. Raises StoreError, ValueError."""
    section = document.controller
    if not document.members:
        raise ValueError("[members]: all members of the new cluster are due, each with its address")
    members = {name: MemberInfo(FOUNDED, address, True) for name, address in document.members.items()}
    Store.create(
        Path(section.directory),
        {"cluster": section.cluster, "name": section.name, "mark": FOUNDED},
        [SnapshotRecord(Snapshot(0, 0, members, b""), False)],
    )


def create_joining_directory(document: ControllerDocument) -> str:
    """An empty one with a mark of its own, which is returned: it votes once the others have admitted it, as what the lost
    one promised is not known. Raises StoreError."""
    section, mark = document.controller, secrets.token_hex(6)
    Store.create(Path(section.directory), {"cluster": section.cluster, "name": section.name, "mark": mark})
    return mark


def open_store(document: ControllerDocument) -> Store:
    """Raises StoreError; ValueError where it is another member's, or of another cluster."""
    section, store = document.controller, Store(Path(document.controller.directory))
    store.open()
    for key in ("cluster", "name"):
        if store.identity[key] != getattr(section, key):
            store.close()
            raise ValueError(
                f"{section.directory}: is of {key} {store.identity[key]}, the settings say "
                f"{getattr(section, key)}: its own directory is due; nothing was touched"
            )
    return store


def recover_directory(document: ControllerDocument) -> tuple[int, int]:
    """Goes on alone with all that this directory holds, decided or not, as the next incarnation, whose epochs are above
    all that any receiver has seen. Returns its number, and the index it goes on from. Raises StoreError, DiskFailedError,
    ValueError."""
    store = open_store(document)
    kept, name = store.kept, document.controller.name
    if not kept.snapshot.members and not any(e.kind == EntryKind.MEMBERSHIP for e in kept.entries):
        raise StoreError(
            f"{document.controller.directory}: holds nothing: a directory that has held the log is due"
        )
    fleet = new_fleet_state(document)
    if kept.snapshot.state:
        fleet.load(msgpack.unpackb(kept.snapshot.state, strict_map_key=False))
    for entry in kept.entries:
        if entry.kind == EntryKind.COMMAND:
            fleet.apply(entry.index, msgpack.unpackb(entry.data, strict_map_key=False))
    index = kept.snapshot.index + len(kept.entries) + 1
    number = fleet.incarnation + 1
    fleet.apply(index, {"do": "incarnation", "number": number})
    fleet.index = index
    address = document.members.get(name, document.controller.listen)
    members = {name: MemberInfo(store.identity["mark"], address, True)}
    term = kept.term + 1
    snapshot = Snapshot(index, term, members, msgpack.packb(fleet.dump()))
    store.save([VoteRecord(term, None), SnapshotRecord(snapshot, False)])
    store.close()
    return number, index
