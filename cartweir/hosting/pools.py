"""Maps appliances to their connection pools, whatever protocol the connections speak."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from ..interface import GONE, Appliance


class ConnectionPool(Protocol):
    """The connections to one address."""

    address: str

    def retire(self) -> None:
        """Closes each connection once it carries nothing."""


P = TypeVar("P", bound=ConnectionPool)


class ConnectionPools(Generic[P]):
    """One connection pool for each appliance that was dispatched to.

    Attributes:
        pools: The pool of each appliance.
        addresses: The address of each appliance by its id, as the list of appliances gives it.
    """

    def __init__(self, make: Callable[[str], P]) -> None:
        self._make = make
        self.pools: dict[Appliance, P] = {}
        self.addresses: dict[str, str] = {}

    def retire_gone(self, changed: list[Appliance]) -> None:
        """Retires the pools of appliances that are gone, and forgets their addresses.

        Args:
            changed: The appliances that an update of the list concerns.
        """
        present = {appliance.id for appliance in changed if appliance.state != GONE}
        for appliance in changed:
            if appliance.state == GONE:
                if (pool := self.pools.pop(appliance, None)) is not None:
                    pool.retire()
                if appliance.id not in present:
                    self.addresses.pop(appliance.id, None)

    def pool(self, appliance: Appliance) -> P:
        """Returns the pool of an appliance; a new one if there is none or its address has changed."""
        pool, address = self.pools.get(appliance), self.addresses.get(appliance.id, "")
        if pool is None or pool.address != address:
            if pool is not None:
                pool.retire()
            pool = self.pools[appliance] = self._make(address)
        return pool
