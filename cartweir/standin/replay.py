"""The kinds of trouble of a bench day through real agents: a day file, read from wherever it lies and kept nowhere,
becomes a Day at real speed with fewer machines and agents; its result is set beside the bench's own report.

Day files and reports are those of the bench's `draw` and `run --json`. What has no counterpart on loopback is named.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from ..audit.report import Report
from ..settings.ini import BadInputError
from ..settings.units import TIME_UNITS, format_with_unit
from .appliance import Make, Quality
from .clients import Kind
from .day import Day, Step

EFFECTS = {"safe": "idempotent", "keyed": "fingerprinted", "unsafe": "side-effecting"}
SHARES = {"fast_errors": "errors", "answer_lost": "lose", "probe_fail": "deaf", "shared_slow": "slow"}
HEAD = """\
[agent]
listen = 127.0.0.1:0
me = {{me}}
agents = {agents}
zone = {{zone}}
seed = {{seed}}
tick = 25ms
list_file = {{folder}}/agent{{me}}.list
[registry]
address = {{registry}}
mode = {mode}
[conveyor]
address = {{conveyor}}
vote_timeout = {vote_timeout}
[allowed]
may_cancel = {cancel}
may_probe = {probes}
may_duplicate = {second_copies}
may_advise = {retry_after}
dispatch_limit = {max_attempts}
[appliances]
cold_share = {cold_from}
warm_time = {cold}
fall_multiple = {fall_multiple}
drain_grace = {drain}
[release]
control = {control}
in_place = {in_place}
shares = {shares}
caps = {caps}
window = {window}
free = {free}
per_operation = {by_class}
guarded_stages = {guarded}
one_way = {one_way}
on_votes = {on_votes}
hold_votes = {hold_votes}
back_votes = {back_votes}
vote_life = {vote_life}
vote_allowance = {vote_allowance}
flag_share = {flag_share}
"""
OPERATION = """\
[operation {name}]
methods = /bench.Day/{method}
effect = {effect}
group = {group}
window = {window}
slo_time = {aim}
time_limit = {deadline}
billed_value = {worth}
"""


def _time(value: float) -> str:
    return format_with_unit(round(value), TIME_UNITS)


def _flag(value: Any) -> str:
    return "yes" if value else "no"


def quality(release: dict[str, Any], names: list[str]) -> Quality:
    """What a bench day says of a build, at the middle of what its kind may do."""
    strength, speed = release["strength"], 1 / release["speed"]
    match release["bad"]:
        case "":
            return Quality(slow=speed)
        case "errors":
            return Quality(slow=speed, errors=0.08 + 0.28 * strength)
        case "class":
            return Quality(slow=speed, errors=0.3 + 0.6 * strength, operation=names[release["class"]])
        case "slow" | "shared":
            return Quality(slow=speed * (1.7 + 2 * strength))
        case "load":
            return Quality(slow=2 * speed, errors=0.3 + 0.5 * strength, busy=0.45)
        case "late":
            return Quality(slow=2 * speed, errors=0.3 + 0.5 * strength, late=7_000_000)
    return Quality(slow=speed, wrong=0.05 + 0.18 * strength)


class Replay(Day):
    """machines and agents: at most so many of the day's. Raises BadInputError on what is no day file."""

    def __init__(
        self,
        file: Path,
        folder: Path,
        seed: int,
        say: Callable[[str], None],
        machines: int = 12,
        agents: int = 4,
    ) -> None:
        try:
            self.day = day = json.loads(file.read_text())
            servers = [s for s in day["servers"] if s["up"] and s["tier"] == 0]
            kind, fam, allow = day["tiers"][0]["kinds"][0], day["fam"], day["allow"]
            self.taken = servers[:machines]
            count, agents = len(self.taken), min(agents, len(day["balancers"]))
            names = [row["name"] for row in day["classes"]]
            total = sum(row["share"] for row in day["classes"])
            mean = sum(row["share"] / total * row["work"] for row in day["classes"])
            speed = sum(s["speed"] for s in self.taken) / count
            rate = day["traffic"]["load"] * count * kind["cores"] * speed / mean * 1e6
            self.kinds = [
                Kind(
                    row["name"],
                    f"/bench.Day/M{n}",
                    row["share"] / total,
                    round(row["work"]),
                    row["aim"],
                    row["deadline"],
                    row["effect"] == "keyed",
                )
                for n, row in enumerate(day["classes"])
            ]
            on, hold, back = (fam["votes"] + [0, 0, 0])[:3]
            self.text = HEAD.format(
                agents=agents,
                mode="ask" if day["discovery"]["ask"] else "push",
                vote_timeout=_time(fam["call_timeout"]),
                **{k: _flag(allow[k]) for k in ("cancel", "probes", "second_copies", "retry_after")},
                max_attempts=allow["max_attempts"],
                cold_from=kind["cold_from"],
                cold=_time(kind["cold"]),
                fall_multiple=day["fall_multiple"],
                drain=_time(day["drain_grace"]),
                control=fam["control"],
                in_place=_flag(not fam["beside"]),
                shares=", ".join(map(str, fam["stages"])),
                caps=", ".join(map(str, fam["caps"])),
                window=_time(fam["window"]),
                free=fam["free"],
                by_class=_flag(fam["by_class"]),
                guarded=fam["guarded"],
                one_way=_flag(fam["one_way"]),
                on_votes=max(1, round(on * agents)) if fam["control"] == "share" else 1,
                hold_votes=max(1, round(hold * agents)) if fam["control"] == "timer" else 0,
                back_votes=max(1, round(back * agents)),
                vote_life=_time(fam["vote_life"]),
                vote_allowance=fam["calls_per_s"],
                flag_share=fam["flag_share"],
            )
            self.text += "".join(
                OPERATION.format(
                    name=row["name"],
                    method=f"M{n}",
                    effect=EFFECTS[row["effect"]],
                    group=row["group"],
                    window=_time(row["window"] if row["effect"] == "keyed" else 0),
                    aim=_time(row["aim"]),
                    deadline=_time(row["deadline"]),
                    worth=row["worth"],
                )
                for n, row in enumerate(day["classes"])
            )
            self.text += "[log]\nformat = json\n"
            self.qualities = [(r["at"], quality(r, names)) for r in fam["releases"]]
            super().__init__(folder, seed, day["length"] / 1e6, say, agents, count, rate)
        except (OSError, ValueError, KeyError, TypeError, IndexError, ZeroDivisionError) as error:
            raise BadInputError(
                [f"{file}: no day file ({error!r}): the output of `lbsim draw` is due"]
            ) from None
        self.make = Make(
            cores=kind["cores"],
            speed=speed,
            queue=kind["queue"],
            cold_share=kind["cold_from"],
            warm_time=kind["cold"],
            fall_multiple=day["fall_multiple"],
            fall_time=day["fall_for"],
            boot_time=round(fam["boot"]),
            reports=day["tiers"][0]["report_how"] != "none",
        )
        self.zones = tuple(day["zones"])
        self.registry_late = round(day["discovery"]["add"])
        self.clients_of = {
            "kinds": [asdict(k) for k in self.kinds],
            "retries": day["clients"]["retries"],
            "keys": day["traffic"]["keys"] or 1,
            "try_share": day["clients"]["try_share"],
        }
        self.left_out: list[str] = []

    def settings_text(self, **of_agent: Any) -> str:
        return self.text.format(**of_agent)

    # ---- the troubles ----
    def script(self) -> list[Step]:
        steps = [
            self._step(at, f"build {number} is offered: {made}", self._offer(number, made))
            for number, (at, made) in enumerate(self.qualities, 2)
        ]
        for trouble in self.day["troubles"]:
            if trouble["kind"] != "bad_build":
                steps += self._trouble(trouble, trouble["at"], trouble["at"] + trouble["len"])
        return steps

    def _step(self, at: float, what: str, do: Callable[[], Any]) -> Step:
        return Step(at / self.day["length"], what, do)

    def _offer(self, number: int, made: Quality) -> Callable[[], None]:
        def offer() -> None:
            self.fleet.qualities[number] = made
            self.conveyor.offer(number)

        return offer

    def _steer(self, names: list[str], what: str, value: float) -> Callable[[], None]:
        def steer() -> None:
            for name in self.fleet.machines if names == ["all"] else names:
                if name in self.fleet.machines:
                    self.fleet.machines[name].steer(what, value)

        return steer

    def _trouble(self, t: dict[str, Any], begin: float, end: float) -> list[Step]:
        """One trouble as steps; machines are those of its list that this smaller fleet has."""
        kind, names = t["kind"], [f"m{n + 1}" for n in t["on"] if n < len(self.taken)]
        length, size = end - begin, t["size"]
        if kind in SHARES:
            names = ["all"] if kind == "shared_slow" else names
            idle = 1.0 if kind == "shared_slow" else 0.0
            return [
                self._step(
                    begin,
                    f"{kind} begins: {size:.2f} on {len(names)}",
                    self._steer(names, SHARES[kind], size),
                ),
                self._step(end, f"{kind} ends", self._steer(names, SHARES[kind], idle)),
            ]
        if kind == "pauses":
            every = max(0.5, t["extra"]) * 1e6
            return [
                self._step(
                    begin + n * every,
                    f"pauses of {size:.0f} ms on {len(names)}",
                    self._steer(names, "pause", size * 1000),
                )
                for n in range(int(length // every))
            ]
        if kind == "vanish":
            return [
                self._step(
                    begin, f"{len(names)} vanish, and come back cold", self._steer(names, "silence", length)
                )
            ]
        if kind == "burst":
            extra = self.rate * max(0.0, size - 1)
            return [
                self._step(
                    begin,
                    f"traffic times {size:.1f}",
                    lambda: self._clients(
                        length / self.day["length"], extra, self.seed + 60 + int(begin % 97)
                    ),
                )
            ]
        stops = [(step["at"], n) for step in t["steps"] for n in step["stop"]] or [
            (begin, n) for n in t["on"]
        ]
        if kind in ("balancer_crash", "balancer_roll"):
            down = (length if kind == "balancer_crash" else t["extra"] * 1e6) / 1e6
            return [
                self._step(at, f"agent {n} stops for {down:.1f} s", lambda n=n: self._kill(n, down))
                for at, n in stops
                if n < self.agents
            ]
        self.left_out.append(kind)
        return []

    # ---- the result ----
    def beside(self, report: Report, bench: dict[str, Any] | None) -> str:
        """What came of the day here, beside the bench's own report of it. Both are simulated."""
        rows = [("", "here", "bench")]
        answered = {k.operation: [0, 0] for k in self.kinds}
        for (operation, _), counts in report.table.items():
            answered[operation][0] += counts["taken"]
            answered[operation][1] += counts["succeeded"] - counts["late"]
        bench_rows = {row["name"]: row for row in (bench or {}).get("classes", ())}
        for name, (taken, in_time) in answered.items():
            theirs = bench_rows.get(name)
            rows.append(
                (
                    f"{name}: share of tries in time",
                    f"{in_time / max(1, taken):.2f}",
                    f"{theirs['served'] / theirs['offered']:.2f} of worth" if theirs else "-",
                )
            )
        here = [f"{(fact['time'] - self._began) / 1e6:.1f}" for fact in self.stages]
        theirs = [
            f"{row['at_s']:.1f}"
            for row in (bench or {}).get("happenings", ())
            if "begins (" in row["text"] or "is out" in row["text"] or "back" in row["text"]
        ]
        rows.append(("changes of stage, s", " ".join(here) or "-", " ".join(theirs) or "-"))
        rows.append(
            (
                "rules broken",
                " ".join(sorted({str(b.rule) for b in report.breaches})) or "none",
                " ".join(bench["breaks"]) or "none" if bench else "-",
            )
        )
        lines = [f"{a:<42}{b:<42}{c}" for a, b, c in rows]
        lines.append(
            f"here: {len(self.taken)} of {len([s for s in self.day['servers'] if s['up']])} machines, {self.agents} of "
            f"{len(self.day['balancers'])} agents, real speed; not played: {', '.join(sorted(set(self.left_out))) or 'none'}"
        )
        return "\n".join(lines)


def read_report(file: Path | None) -> dict[str, Any] | None:
    """The bench's `run --json`. Raises BadInputError."""
    if file is None:
        return None
    try:
        return json.loads(file.read_text())
    except (OSError, ValueError) as error:
        raise BadInputError(
            [f"{file}: no report ({error}): the output of `lbsim run DAY --json` is due"]
        ) from None


def play(replay: Replay, report: Path | None) -> tuple[Report, str]:
    """Raises BadInputError and OSError."""
    theirs = read_report(report)
    found = asyncio.run(replay.run())
    return found, replay.beside(found, theirs)
