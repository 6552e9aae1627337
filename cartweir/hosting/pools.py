"""Which connections lead to which appliance, whatever is spoken on them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from ..interface import GONE, Appliance


class ConnectionPool(Protocol):
    """Connections to one address."""

    address: str

    def retire(self) -> None:
        """They end once they carry nothing."""


P = TypeVar("P", bound=ConnectionPool)


class ConnectionPools(Generic[P]):
    """One for each appliance that was dispatched to; `addresses` is what the news says, by ident."""

    def __init__(self, make: Callable[[str], P]) -> None:
        self._make = make
        self.pools: dict[Appliance, P] = {}
        self.addresses: dict[str, str] = {}

    def retire_gone(self, changed: list[Appliance]) -> None:
        """Those that are gone lose their connections once they carry nothing, and their address."""
        standing = {appliance.id for appliance in changed if appliance.state != GONE}
        for appliance in changed:
            if appliance.state == GONE:
                if (pool := self.pools.pop(appliance, None)) is not None:
                    pool.retire()
                if appliance.id not in standing:
                    self.addresses.pop(appliance.id, None)

    def pool(self, appliance: Appliance) -> P:
        pool, address = self.pools.get(appliance), self.addresses.get(appliance.id, "")
        if pool is None or pool.address != address:
            if pool is not None:
                pool.retire()
            pool = self.pools[appliance] = self._make(address)
        return pool
