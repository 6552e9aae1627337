"""Creating, joining, recovering and opening the data directory of a member.

An operator starts each of these; the program never does one on its own.
"""

from __future__ import annotations

import secrets
from pathlib import Path

import msgpack

from ..fleet.duties import FleetState
from ..fleet.raft.log import EntryKind, MemberInfo, Snapshot
from ..fleet.raft.records import SnapshotRecord, VoteRecord
from .settings import ControllerDocument
from .store import Store, StoreError

FOUNDING_DIRECTORY_ID = "founded"  # of the first directories of a cluster; a later one has a random id


def new_fleet_state(document: ControllerDocument) -> FleetState:
    """Returns the state of a fleet before the first entry of the log."""
    return FleetState(document.plan(), {name: list(steps.names) for name, steps in document.steps.items()})


def create_founding_directory(document: ControllerDocument) -> None:
    """Creates the directory of a member of a new cluster.

    Raises:
        StoreError: the directory cannot be created, or is not empty.
        ValueError: the settings name no members.
    """
    section = document.controller
    if not document.members:
        raise ValueError("[members]: expected all members of the new cluster, each with its address")
    members = {
        name: MemberInfo(FOUNDING_DIRECTORY_ID, address, True) for name, address in document.members.items()
    }
    Store.create(
        Path(section.directory),
        {"cluster": section.cluster, "name": section.name, "mark": FOUNDING_DIRECTORY_ID},
        [SnapshotRecord(Snapshot(0, 0, members, b""), False)],
    )


def create_joining_directory(document: ControllerDocument) -> str:
    """Creates an empty directory with a random id for a member that is new or lost its own.

    The member votes only after the others have admitted it under this id, because nobody knows for whom the
    lost directory had voted.

    Returns:
        The id of the directory.

    Raises:
        StoreError: the directory cannot be created, or is not empty.
    """
    section, directory_id = document.controller, secrets.token_hex(6)
    Store.create(
        Path(section.directory), {"cluster": section.cluster, "name": section.name, "mark": directory_id}
    )
    return directory_id


def open_store(document: ControllerDocument) -> Store:
    """Opens the directory that the settings name.

    Raises:
        StoreError: the directory cannot be used.
        ValueError: the directory belongs to another member or another cluster.
    """
    section, store = document.controller, Store(Path(document.controller.directory))
    store.open()
    for key in ("cluster", "name"):
        if store.identity[key] != getattr(section, key):
            store.close()
            raise ValueError(
                f"{section.directory}: is of {key} {store.identity[key]}, the settings say "
                f"{getattr(section, key)}: expected this member's own directory; nothing was changed"
            )
    return store


def recover_directory(document: ControllerDocument) -> tuple[int, int]:
    """Makes this directory the only member of a new incarnation of its cluster.

    For use after a majority of the directories is lost. All that this directory holds counts as decided. The
    epochs of the new incarnation are above all that any receiver has seen.

    Returns:
        The number of the incarnation, and the index of the log from which it goes on.

    Raises:
        StoreError: the directory cannot be used, or holds no log.
        DiskFailedError: the new state may not be on disk.
        ValueError: the directory belongs to another member or another cluster.
    """
    store = open_store(document)
    state, name = store.state, document.controller.name
    if not state.snapshot.members and not any(e.kind == EntryKind.MEMBERSHIP for e in state.entries):
        raise StoreError(
            f"{document.controller.directory}: is empty: expected a directory that has held the log"
        )
    fleet = new_fleet_state(document)
    if state.snapshot.state:
        fleet.load(msgpack.unpackb(state.snapshot.state, strict_map_key=False))
    for entry in state.entries:
        if entry.kind == EntryKind.COMMAND:
            fleet.apply(entry.index, msgpack.unpackb(entry.data, strict_map_key=False))
    index = state.snapshot.index + len(state.entries) + 1
    incarnation = fleet.incarnation + 1
    fleet.apply(index, {"do": "incarnation", "number": incarnation})
    fleet.index = index
    address = document.members.get(name, document.controller.listen)
    members = {name: MemberInfo(store.identity["mark"], address, True)}
    term = state.term + 1
    snapshot = Snapshot(index, term, members, msgpack.packb(fleet.dump()))
    store.save([VoteRecord(term, None), SnapshotRecord(snapshot, False)])
    store.close()
    return incarnation, index
