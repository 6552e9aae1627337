"""All decisions of one cartweir instance, and every tuned value but those of the settings.

The host (`cartweir.engine`) makes one `Agent`. It calls the methods on_... as messages come, `observe` for
every outcome of a dispatch, and runs `handle` for each invocation taken: a generator that yields the actions
to be carried out. The types that pass in and out are in `cartweir.interface`, the plain memory in
`cartweir.state`.
"""

from .agent import Agent
from .evidence import RESPONSE_TIME_EDGES
from .sequential_test import TALLY_STREAM

__all__ = ["RESPONSE_TIME_EDGES", "TALLY_STREAM", "Agent"]
