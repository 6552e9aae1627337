"""Assigns dispatches and probes to workers, for the decider. No I/O; times are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

MS = 1_000
FRESHNESS = 150 * MS  # a worker that was heard within this time gets dispatches and probes of others

# A dispatch is sent by another worker if the owner of its call has more than FORWARD_MINIMUM dispatches open,
# and more than FORWARD_RATIO times as many as the least busy worker.
FORWARD_RATIO = 2.0
FORWARD_MINIMUM = 8


@dataclass(eq=False, slots=True)
class WorkerLoad:
    """Load of one worker as the decider sees it.

    Attributes:
        number: Number of the worker, from 1.
        last_heard: When its last message arrived.
        open_dispatches: Dispatches that it has sent and that have not ended.
    """

    number: int
    last_heard: int = 0
    open_dispatches: int = 0


class WorkerAssignment:
    """Decides which worker connects to an appliance, sends a dispatch or probes.

    Args:
        workers: Number of workers of the agent.
        connections: Most connections to one appliance from all workers together.
    """

    def __init__(self, workers: int, connections: int) -> None:
        self.workers, self.connections = workers, connections
        self.loads: dict[int, WorkerLoad] = {}
        self._eligible: dict[str, frozenset[int]] = {}

    def add_worker(self, number: int, now: int) -> WorkerLoad:
        """Adds a worker that has just connected."""
        self._eligible.clear()
        load = self.loads[number] = WorkerLoad(number, now)
        return load

    def remove_worker(self, number: int) -> None:
        """Removes a worker that has ended or drains."""
        self._eligible.clear()
        self.loads.pop(number, None)

    def eligible_workers(self, appliance: str) -> frozenset[int]:
        """Returns the workers that may connect to an appliance.

        These are all workers, or, if the appliance takes fewer connections than there are workers, the first
        live ones by rendezvous hashing, so that a worker's death moves only the appliances that it was
        eligible for.
        """
        eligible = self._eligible.get(appliance)
        if eligible is None:
            ranked = sorted(
                self.loads,
                key=lambda number: blake2b(f"{appliance}/{number}".encode(), digest_size=8).digest(),
            )
            eligible = self._eligible[appliance] = frozenset(
                ranked if self.connections >= self.workers else ranked[: self.connections]
            )
        return eligible

    def choose_sender(self, owner: WorkerLoad, appliance: str, now: int) -> WorkerLoad:
        """Returns the worker that sends a dispatch.

        The owner of the call is preferred, which saves a hop between processes. If one client connection
        brings all the traffic, its owner has dispatches sent by less busy workers.
        """
        eligible = self.eligible_workers(appliance)
        others = [
            load
            for load in self.loads.values()
            if load is not owner and load.number in eligible and now - load.last_heard <= FRESHNESS
        ]
        if not others:
            return owner if owner.number in eligible or not eligible else self.loads[max(eligible)]
        least_busy = min(others, key=lambda load: (load.open_dispatches, load.number))
        if owner.number in eligible and owner.open_dispatches <= max(
            FORWARD_MINIMUM, FORWARD_RATIO * least_busy.open_dispatches
        ):
            return owner
        return least_busy

    def choose_prober(self, appliance: str, now: int) -> WorkerLoad | None:
        """Returns the least busy worker that may connect to the appliance and was heard of late, or None."""
        eligible = self.eligible_workers(appliance)
        return min(
            (
                load
                for load in self.loads.values()
                if load.number in eligible and now - load.last_heard <= FRESHNESS
            ),
            key=lambda load: (load.open_dispatches, load.number),
            default=None,
        )
