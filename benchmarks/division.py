"""What dividing one agent costs its judge: a model, event by event, of three ways to share the right to dispatch to a
build on trial among parts, with the real `Exposure` of the decisions inside. Everything here is simulated.

  one      one part decides for all (a grant is used by the part that holds the call, at once)
  static   each part has an exposure of its own: the cap of what it took itself; the free number stays with part 0
  leased   an owner counts, and hands each part one token ahead of need; one that lies idle for its term comes back, and
           counts until then

    python benchmarks/division.py [--plot FILE.png]
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from cartweir.logic import Exposure  # noqa: E402

S = 1_000_000
CAP, WINDOW, TERM, TRIAL_PART = (
    0.14,
    4 * S,
    S // 2,
    0.5,
)  # every second invocation would go to the trial if it might


def settings(free: float) -> dict:
    return {"window": WINDOW, "tick": 10_000, "free": free}


def one(parts: int, arrivals: list, chance: random.Random) -> tuple[int, int]:
    exposure, sent = Exposure(settings(1)), 0
    for when, _ in arrivals:
        exposure.take(when)
        if chance.random() < TRIAL_PART and exposure.room(when, CAP):
            exposure.add(when)
            sent += 1
    return sent, 0


def static(parts: int, arrivals: list, chance: random.Random) -> tuple[int, int]:
    """A window may hold one dispatch and no invocation, so a part without a free one may never send any."""
    exposure, sent = Exposure(settings(1)), 0
    for when, part in arrivals:
        if part == 0:
            exposure.take(when)
            if chance.random() < TRIAL_PART and exposure.room(when, CAP):
                exposure.add(when)
                sent += 1
    return sent, 0


def leased(parts: int, arrivals: list, chance: random.Random) -> tuple[int, int]:
    """Each part asks for one token whenever it has none; an answer takes 1 ms there and back."""
    exposure, sent, wasted = Exposure(settings(1)), 0, 0
    held: list[list | None] = [None] * parts
    asked: list[int] = [0] * parts
    returns: list[tuple[int, int, list]] = []
    for number, (when, part) in enumerate(arrivals):
        while returns and returns[0][0] <= when:
            _, holder, entry = heapq.heappop(returns)
            if held[holder] is entry:
                held[holder] = None
                wasted += 1
                exposure.drop(entry)
        exposure.take(when)
        if held[part] is not None and held[part][0] <= when and chance.random() < TRIAL_PART:
            entry = held[part]
            held[part] = None
            # it counts from its use on
            exposure.drop(entry)
            exposure.add(when)
            sent += 1
        elif held[part] is None and when >= asked[part]:
            asked[part] = when + 1_000
            if exposure.room(when, CAP):
                held[part] = entry = exposure.add(when + 1_000)
                heapq.heappush(returns, (when + 1_000 + TERM, part, entry))
    return sent, wasted


def arrivals_of(
    rate: float, parts: int, seconds: float, uneven: float, chance: random.Random
) -> list[tuple[int, int]]:
    """uneven: part of all calls that come in at part 0 by itself."""
    found, when = [], 0.0
    while when < seconds * S:
        when += chance.expovariate(rate / S)
        found.append((int(when), 0 if chance.random() < uneven else chance.randrange(parts)))
    return found


def table(seconds: float) -> list[dict]:
    rows = []
    for rate in (40, 400, 5000):
        for parts in (1, 2, 4, 8, 16, 64):
            for uneven in (0.0, 0.9):
                arrivals = arrivals_of(
                    rate, parts, seconds if rate < 5000 else 6, uneven, random.Random(rate * 100 + parts)
                )
                row = {"rate": rate, "parts": parts, "uneven": uneven}
                for way in (one, static, leased):
                    began = time.process_time()
                    sent, wasted = way(parts, arrivals, random.Random(7))
                    row[way.__name__] = round(sent / (CAP * len(arrivals)), 3)
                    if way is leased:
                        row["tokens_idle"] = round(wasted / max(1, wasted + sent), 3)
                    if way is one:
                        row["us"] = round((time.process_time() - began) / len(arrivals) * 1e6, 1)
                rows.append(row)
    return rows


def messages_cost(batch: int, rounds: int = 3000) -> float:
    """Microseconds of CPU, both ends together, for one message between two parts over a socket pair."""
    import socket

    import msgpack

    a, b = socket.socketpair()
    messages = [[0, 77 + n, 1, 123_456_789 + n, 2_000_000, "", None, 0, False, False] for n in range(batch)]
    unpacker = msgpack.Unpacker()
    began = time.process_time()
    for _ in range(rounds):
        a.sendall(msgpack.packb(messages))
        unpacker.feed(b.recv(1 << 20))
        for found in unpacker:
            for message in found:
                kind = message[0]  # noqa: F841
    return (time.process_time() - began) / rounds / batch * 1e6


def plot(rows: list[dict], file: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, panes = pyplot.subplots(1, 3, figsize=(12, 4), sharey=True)
    for pane, rate in zip(panes, (40, 400, 5000)):
        for way in ("one", "static", "leased"):
            for uneven, style in ((0.0, "-"), (0.9, "--")):
                mine = [row for row in rows if row["rate"] == rate and row["uneven"] == uneven]
                pane.plot(
                    [row["parts"] for row in mine],
                    [row[way] for row in mine],
                    style,
                    marker="o",
                    label=f"{way}{', 0.9 of all calls at one part' if uneven else ''}",
                )
        pane.set(xscale="log", xlabel="parts", title=f"{rate} invocations a second (simulated)")
    panes[0].set_ylabel("share of the cap that is used")
    panes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--plot", metavar="FILE.png")
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    found = table(arguments.seconds)
    costs = {batch: round(messages_cost(batch), 2) for batch in (1, 4, 32)}
    if arguments.json:
        print(json.dumps({"rows": found, "message_us": costs}, indent=1))
    else:
        print("share of the cap that is used (simulated)")
        print(
            f"{'rate':>6}{'parts':>7}{'uneven':>8}{'one':>8}{'static':>8}{'leased':>8}{'idle tokens':>13}{'us, one':>9}"
        )
        for row in found:
            print(
                f"{row['rate']:>6}{row['parts']:>7}{row['uneven']:>8}{row['one']:>8}{row['static']:>8}{row['leased']:>8}{row['tokens_idle']:>13}{row['us']:>9}"
            )
        print(
            "us of CPU a message, by batch: " + ", ".join(f"{batch}: {cost}" for batch, cost in costs.items())
        )
    if arguments.plot:
        plot(found, arguments.plot)
