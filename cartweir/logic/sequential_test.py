"""The sequential test: is the build on trial worse than the earlier one?

The paper's mixture likelihood ratio with Normal densities, on blocks of this agent's own outcomes
(own-block).
"""

from __future__ import annotations

from math import log
from typing import NamedTuple

from ..state import StreamCounts

ALPHA = 0.05  # the paper's level
MIN_EARLIER_OUTCOMES = 5  # outcomes of earlier builds that a block needs, in each stream
BLOCK_DECAY = 15 / 16  # factor on the weight of past blocks at each new one
MIN_SLOW_SHARE = 0.1  # share of slow answers that any build has, by the definition of slow
EARLIER_PER_TRIAL = 5  # outcomes of the earlier side that are kept for each of the trial
MIN_POOLED_BLOCKS = 2  # a jam fills one block of the pooled slowness


class StreamKind(NamedTuple):
    """A kind of evidence: trial outcomes in a block, and width of the Normal prior.

    Streams are stored and compared as plain tuples; the block size identifies the kind.
    """

    block: int
    prior_width: float


SLOW_STREAM = StreamKind(20, 0.2)  # own answers that took too long
ERROR_STREAM = StreamKind(8, 0.2)  # own dispatches that failed
FLAG_STREAM = StreamKind(80, 0.2)  # own answers that were reported as wrong
# counts of all agents together: reported answers, slowness, errors
POOLED_STREAMS = (StreamKind(80, 0.08), StreamKind(30, 0.2), StreamKind(30, 0.1))
# against the time when the trial had little traffic: own answers, tallies
PAST_STREAM = StreamKind(40, 0.3)
TALLY_STREAM = StreamKind(60, 0.2)


class EvidenceStream(StreamCounts):
    """One stream of evidence."""

    def add(self, trial: bool, failures: float, count: int, earlier_build_gone: bool) -> None:
        """Adds outcomes of one side, and closes the block once it is full.

        Args:
            trial: whether they are of the build on trial.
            failures: failures among them.
            count: number of outcomes.
            earlier_build_gone: the build is released and the earlier appliances are gone, so that the earlier
                side of the last block stands in.
        """
        self.counts[trial], self.failures[trial] = self.counts[trial] + count, self.failures[trial] + failures
        if earlier_build_gone and self.counts[False] < MIN_EARLIER_OUTCOMES:
            self.counts[False], self.failures[False] = self.last_earlier
        min_trial = self.block if self.block > SLOW_STREAM.block else ERROR_STREAM.block
        max_earlier = EARLIER_PER_TRIAL * max(self.counts[True], min_trial)
        if self.counts[False] > max_earlier and not earlier_build_gone:
            # only recent outcomes: guards against jams
            self.counts[False], self.failures[False] = self.counts[False] / 2, self.failures[False] / 2
        if self.counts[True] >= self.block and self.counts[False] >= MIN_EARLIER_OUTCOMES:
            # Past blocks lose weight: guards against a build that turns bad late, or only under full load.
            self.totals = [
                old * BLOCK_DECAY + new for old, new in zip(self.totals, self.open_block(), strict=False)
            ]
            self.last_earlier, self.blocks = (self.counts[False], self.failures[False]), self.blocks + 1
            self.counts, self.failures = [0, 0], [0.0, 0.0]

    def open_block(self) -> list[float]:
        """Returns what the open block adds to `totals`.

        These are 1/v and d/v, but for the share that v takes; and the number of outcomes and of failures.
        """
        shares = [min(1.0, failed / count) for failed, count in zip(self.failures, self.counts, strict=False)]
        shares[False] = max(shares[False], MIN_SLOW_SHARE * (self.block == SLOW_STREAM.block))
        weight = 1 / (1 / self.counts[False] + 1 / self.counts[True])
        failures = sum(share * count for share, count in zip(shares, self.counts, strict=False))
        return [weight, weight * (shares[True] - shares[False]), sum(self.counts), failures]

    def log_ratio(self) -> float:
        """Returns ln L, the logarithm of the likelihood ratio.

        An open block counts once it has some failures of the trial, because with little traffic no block ever
        fills. v takes the share of failures that both sides would have in common, over all blocks, so that
        good blocks do not outweigh bad ones.
        """
        totals = self.totals
        if (
            self.counts[False] >= MIN_EARLIER_OUTCOMES
            and self.counts[True]  # reports may come before the answers are counted
            and self.failures[True] > self.min_half_failures * self.half_failure
        ):
            totals = [old + new for old, new in zip(totals, self.open_block(), strict=False)]
        precision, weighted, count, failures = totals
        if weighted <= 0 or (self.blocks < MIN_POOLED_BLOCKS and self.block == POOLED_STREAMS[1].block):
            return 0.0
        common = (failures + self.half_failure) / (count + 2 * self.half_failure)
        spread = common * (1 - common) * (2 * self.half_failure) ** 0.5
        grown = 1 + self.prior_width**2 * precision / spread
        return self.prior_width**2 * (weighted / spread) ** 2 / (2 * grown) - log(grown) / 2

    def margin(self) -> float:
        """Returns by how much ln L exceeds its threshold; above 0 the build is to be sent back."""
        return self.log_ratio() + log(self.level)
