"""Parts of agents on several cores killed, and now and then stopped, over and over under load, while builds are offered;
the five rules then decided from the sockets. Long, so outside CI; the stand-ins are simulated.

    python benchmarks/kills.py [--kills 200] [--every 0.25] [--agents 2] [--cores 3] [--seed 1] [--keep DIR]
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from cartweir.standin.appliance import Quality  # noqa: E402
from cartweir.standin.day import Day, Step  # noqa: E402


class Kills(Day):
    """A day of nothing else."""

    every, kills = 0.25, 200

    def script(self) -> list[Step]:
        chance, steps = random.Random(self.seed), []
        self.struck: Counter = Counter()

        def strike() -> None:
            me, part = chance.randrange(self.agents), chance.randint(0, self.cores)
            stopped = chance.uniform(0.2, 2.0) if chance.random() < 0.15 else 0.0
            self.struck["stopped" if stopped else "deciding" if part == 0 else "carrying"] += 1
            self._strike(me, part, stopped)

        def offer(build: int, quality: Quality) -> None:
            self.fleet.qualities[build] = quality
            self.conveyor.offer(build)

        for number in range(self.kills):
            steps.append(Step((2 + number * self.every) / self.seconds, "", strike))
        for build, at in enumerate((0.05, 0.35, 0.65), 2):
            steps.append(
                Step(
                    at,
                    f"build {build} is offered",
                    lambda build=build: offer(build, Quality(errors=0.4) if build == 3 else Quality()),
                )
            )
        return steps


async def main(arguments: argparse.Namespace) -> int:
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
