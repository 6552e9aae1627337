"""Turns the list of appliances, as an agent receives it, into `Appliance` objects; no decisions here.

A process keeps its object through every update. Another start, or another build under the same id, is another
appliance, and the one before it is gone. The simulator's adapter and the running agents use it.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from ..interface import GONE, READY, Appliance

# Gone appliances that are kept beyond as many as are present: reports of them may still come, and they may
# return.
SPARE_GONE = 1_024


@dataclass(eq=False, slots=True)
class ListEntry:
    """One entry of an update; None where the update leaves a field as it is.

    Attributes:
        id: The appliance's id.
        build: The build that it runs.
        run: Tells the starts of one process apart; 0 if unknown.
        started: When it started, on the agent's clock; 0 for long ago.
        state: `ready`, `draining` or `gone`.
        zone: Its zone.
        cell: Its cell.
        kind: The kind of its machine.
        weight: Its share of the work, relative to the others.
    """

    id: str
    build: int | None = 0
    run: Hashable = 0
    started: int | None = 0
    state: str = READY
    zone: str | None = None
    cell: int | None = None
    kind: str | None = None
    weight: float | None = None


class ApplianceList:
    """The appliances by id, gone ones included.

    Attributes:
        appliances: The appliance that each id stands for.
    """

    def __init__(self) -> None:
        self.appliances: dict[str, Appliance] = {}
        self._runs: dict[str, Hashable] = {}
        self._gone: dict[str, None] = {}  # ids of gone appliances, in the order in which they went

    def apply(self, whole: bool, entries: Iterable[ListEntry]) -> list[Appliance]:
        """Applies an update.

        Args:
            whole: Whether the update is a whole list, so that an appliance that it does not name is gone.
            entries: The entries of the update.

        Returns:
            The appliances that the update concerns, in its order.
        """
        changed: list[Appliance] = []
        named = set()
        for entry in entries:
            named.add(entry.id)
            appliance = self._appliance_of(entry, changed)
            _update(appliance, entry)
            changed.append(appliance)
        if whole:
            for appliance_id, appliance in self.appliances.items():
                if appliance_id not in named and appliance.state != GONE:
                    appliance.state = GONE
                    changed.append(appliance)
        self._forget(changed, named)
        return changed

    def _appliance_of(self, entry: ListEntry, changed: list[Appliance]) -> Appliance:
        """Returns the appliance of an entry; a new one if it has started anew or runs another build."""
        known = self.appliances.get(entry.id)
        build = entry.build if entry.build is not None else known.build if known is not None else 0
        if known is None or known.build != build or (entry.run and self._runs.get(entry.id) != entry.run):
            if known is not None and known.state != GONE:
                known.state = GONE
                changed.append(known)
            known = self.appliances[entry.id] = Appliance(entry.id, build, started=entry.started or 0)
            self._runs[entry.id] = entry.run
        return known

    def _forget(self, changed: list[Appliance], named: set[str]) -> None:
        """Forgets the appliances that went first, once there are too many.

        This bounds the memory where ids are never used again.
        """
        for appliance in changed:
            if self.appliances[appliance.id] is appliance:
                self._gone.pop(appliance.id, None)
                if appliance.state == GONE:
                    self._gone[appliance.id] = None
        excess = 2 * len(self._gone) - len(self.appliances) - SPARE_GONE
        if excess <= 0:
            return
        for gone_id in [gone_id for gone_id in self._gone if gone_id not in named][:excess]:
            del self._gone[gone_id], self.appliances[gone_id], self._runs[gone_id]


def _update(appliance: Appliance, entry: ListEntry) -> None:
    """Applies the fields of an entry."""
    if entry.zone is not None:
        appliance.zone = entry.zone
    if entry.cell is not None:
        appliance.cell = entry.cell
    if entry.kind is not None:
        appliance.kind = entry.kind
    if entry.weight is not None:
        appliance.weight = entry.weight
    appliance.state = entry.state
