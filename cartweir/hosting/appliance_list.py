"""The list of appliances as one instance was told it: rows of news to Appliance objects. No decision.

The same process keeps its object through every news; another start or another build under an old ident is
another appliance, and the one before it is gone. Used by the drill and by the running agent.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from ..interface import GONE, READY, Appliance


@dataclass(eq=False, slots=True)
class ListEntry:
    """One entry of news; None: the news does not say."""

    id: str
    build: int | None = 0
    run: Hashable = 0  # tells the starts of a process apart; 0: not told
    started: int | None = 0  # by the host's clock; 0: long ago
    state: str = READY
    zone: str | None = None
    cell: int | None = None
    kind: str | None = None
    weight: float | None = None


SPARE_GONE = 1_024  # gone appliances that are kept beside as many as stand: reports of them, and their return, may still come


class ApplianceList:
    def __init__(self) -> None:
        self.appliances: dict[str, Appliance] = {}
        self._runs: dict[str, Hashable] = {}
        self._gone: dict[str, None] = {}  # in the order in which they went

    def apply(self, whole: bool, rows: Iterable[ListEntry]) -> list[Appliance]:
        """The appliances that the news concerns, in its order; `whole`: what it does not name is gone."""
        changed: list[Appliance] = []
        named = set()
        for row in rows:
            appliance_id = row.id
            named.add(appliance_id)
            old = self.appliances.get(appliance_id)
            build = row.build if row.build is not None else old.build if old is not None else 0
            if old is None or old.build != build or (row.run and self._runs.get(appliance_id) != row.run):
                if old is not None and old.state != GONE:
                    old.state = GONE
                    changed.append(old)
                old = self.appliances[appliance_id] = Appliance(appliance_id, build, started=row.started or 0)
                self._runs[appliance_id] = row.run
            if row.zone is not None:
                old.zone = row.zone
            if row.cell is not None:
                old.cell = row.cell
            if row.kind is not None:
                old.kind = row.kind
            if row.weight is not None:
                old.weight = row.weight
            old.state = row.state
            changed.append(old)
        if whole:
            for appliance_id, appliance in self.appliances.items():
                if appliance_id not in named and appliance.state != GONE:
                    appliance.state = GONE
                    changed.append(appliance)
        self._forget(changed, named)
        return changed

    def _forget(self, changed: list[Appliance], named: set[str]) -> None:
        """Guards against idents that are always new: those that went first are forgotten, once there are too many."""
        for appliance in changed:
            if self.appliances[appliance.id] is appliance:
                self._gone.pop(appliance.id, None)
                if appliance.state == GONE:
                    self._gone[appliance.id] = None
        many = 2 * len(self._gone) - len(self.appliances) - SPARE_GONE
        if many <= 0:
            return
        for appliance_id in [appliance_id for appliance_id in self._gone if appliance_id not in named][:many]:
            del self._gone[appliance_id], self.appliances[appliance_id], self._runs[appliance_id]
