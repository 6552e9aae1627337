"""Kills parts of agents on several cores over and over, under load, while builds are offered.

Now and then one is stopped for a while in place of that. The five rules are then judged from the sockets. It
takes long, so it is outside CI; the stand-ins are simulated.

    python benchmarks/kills.py [--kills 200] [--every 0.25] [--agents 2] [--cores 3] [--seed 1] [--keep DIR]
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from collections import Counter
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from cartweir.standin.appliance import Quality
from cartweir.standin.day import Day, Step

STOPPED_SHARE = 0.15  # of the strikes, that stop a process for a while in place of killing it
STOP_SECONDS = 0.2, 2.0  # shortest and longest
BAD_BUILD = 3  # fails a part of its requests
BAD_BUILD_ERRORS = 0.4
FIRST_OFFERED = 2


class Kills(Day):
    """A day of nothing else."""

    every, kills = 0.25, 200

    def script(self) -> list[Step]:
        """Returns the strikes and the offers of builds."""
        chance, steps = random.Random(self.seed), []
        self.struck: Counter = Counter()

        def strike() -> None:
            me, part = chance.randrange(self.agents), chance.randint(0, self.cores)
            stopped = chance.uniform(*STOP_SECONDS) if chance.random() < STOPPED_SHARE else 0.0
            self.struck["stopped" if stopped else "deciding" if part == 0 else "carrying"] += 1
            self._strike(me, part, stopped)

        def offer(build: int, quality: Quality) -> None:
            self.fleet.qualities[build] = quality
            self.conveyor.offer(build)

        for number in range(self.kills):
            steps.append(Step((2 + number * self.every) / self.seconds, "", strike))
        for build, at in enumerate((0.05, 0.35, 0.65), FIRST_OFFERED):
            quality = Quality(errors=BAD_BUILD_ERRORS) if build == BAD_BUILD else Quality()
            steps.append(Step(at, f"build {build} is offered", partial(offer, build, quality)))
        return steps


async def main(arguments: argparse.Namespace) -> int:
    """Plays the day; returns 1 if a rule was broken, else 0."""
    with tempfile.TemporaryDirectory() as scratch:
        Kills.every, Kills.kills = arguments.every, arguments.kills
        seconds = 5 + arguments.kills * arguments.every
        day = Kills(
            arguments.keep or Path(scratch),
            arguments.seed,
            seconds,
            lambda line: print(line, flush=True) if line[8:].strip() else None,
            agents=arguments.agents,
            cores=arguments.cores,
        )
        report = await day.run()
        print(f"struck: {dict(day.struck)}", report.text(), sep="\n")
        return 1 if report.breaches else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--every", type=float, default=0.25, help="seconds")
    parser.add_argument("--agents", type=int, default=2)
    parser.add_argument("--cores", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", type=Path)
    sys.exit(asyncio.run(main(parser.parse_args())))
