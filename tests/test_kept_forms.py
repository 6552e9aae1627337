"""Controllers store records and snapshots in the form that earlier versions wrote and read."""

from __future__ import annotations

import msgpack

from cartweir.controller import store
from cartweir.fleet.duties import RELEASE, FleetState
from cartweir.fleet.raft.log import Entry, EntryKind, MemberInfo, Snapshot
from cartweir.fleet.raft.records import EntryRecord, SnapshotRecord, StartRecord, VoteRecord
from cartweir.fleet.rollout import Choice, RolloutPlan

MEMBERS = {"a": MemberInfo("founded", "a:1", True)}
WIRE_MEMBERS = {"a": ["founded", "a:1", True]}


def test_records_of_the_log_keep_their_form():
    forms = {
        VoteRecord(2, "a"): ["vote", 2, "a"],
        StartRecord("a", "founded", 3): ["boot", "a", "founded", 3],
        EntryRecord(Entry(4, 2, EntryKind.COMMAND, b"c")): ["entry", 4, 2, "data", b"c"],
    }
    for record, form in forms.items():
        packed = msgpack.packb(store.pack(record))
        assert msgpack.unpackb(packed) == form
        assert store.unpack(form) == record
    snapshot = SnapshotRecord(Snapshot(3, 2, MEMBERS, b"state"), False)
    form = ["shot", [3, 2, WIRE_MEMBERS, b"state"], False]
    assert msgpack.unpackb(msgpack.packb(store.pack(snapshot))) == form
    assert store.unpack(form) == snapshot


def act(fleet, duty, what):
    known = fleet.duties[duty]
    return {"do": "act", "duty": duty, "by": known.owner, "epoch": known.epoch, "what": what, "at": 1_000}


def test_snapshots_of_the_fleet_keep_their_form():
    fleet = FleetState(RolloutPlan(on_votes=2, vote_life=500), {"owners": ["add", "copy"]})
    for index, duty in enumerate((RELEASE, "steps owners"), 1):
        fleet.apply(index, {"do": "grant", "duty": duty, "to": "a", "after": 0, "why": "had none", "wall": 7})
    vote = {"what": "vote", "agent": 4, "serial": 9, "build": 2, "stage": 0, "choice": int(Choice.ON)}
    fleet.apply(3, act(fleet, RELEASE, {"what": "offer", "build": 2, "machines": 10}))
    fleet.apply(4, act(fleet, RELEASE, vote))
    fleet.apply(5, act(fleet, "steps owners", {"what": "begin", "step": 0}))
    fleet.apply(6, act(fleet, "steps owners", {"what": "done", "step": 0}))
    form = msgpack.unpackb(msgpack.packb(fleet.dump()), strict_map_key=False)
    assert form == {
        "index": 6,
        "now": 1_000,
        "incarnation": 0,
        "history": [[RELEASE, "a", 1, 7, "had none"], ["steps owners", "a", 2, 7, "had none"]],
        "duties": {
            RELEASE: [
                "a",
                1,
                3,
                {
                    "build": 2,
                    "number": 0,
                    "phase": 0,
                    "since": 1_000,
                    "places": 10,
                    "earlier": 1,
                    "clock": None,
                    "votes": {4: [2, 0, 1, 1_500, 9]},
                    "told": {4: [9, 0]},
                    "asked": [1_000],
                    "wanted": {1: 10, 2: 1},
                },
            ],
            "steps owners": [
                "a",
                2,
                6,
                {
                    "names": ["add", "copy"],
                    "at": 1,
                    "how": "waiting",
                    "begun": 0,
                    "why": "",
                    "trail": [["add", 2, 5, 1_000]],
                },
            ],
        },
    }
    loaded = FleetState(fleet.plan, fleet.steps)
    loaded.load(form)
    assert loaded.dump() == fleet.dump()
    assert loaded.duties == fleet.duties
