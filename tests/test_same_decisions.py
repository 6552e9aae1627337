"""One sequence of events through both doors, the drill's lines and the agent's EngineHost under a fake clock: the same
decisions, in the same order."""

from __future__ import annotations

import io
import json
import random

import pytest

from cartweir import interface as ours
from cartweir.drill.adapter import OUTCOMES, PHASES, STATES, parse_settings, serve
from cartweir.hosting.appliance_list import ListEntry
from cartweir.hosting.engine_host import EngineHost
from cartweir.interface import Stage

CODES = {how: code for code, how in OUTCOMES.items()}
PARAMS = {
    "balancers": 3,
    "me": 1,
    "zone": "a",
    "tick": 5.0,
    "registryMode": "pushed",
    "allowed": {
        "cancel": True,
        "probing": True,
        "peers": True,
        "mayDuplicate": True,
        "retryAfter": True,
        "maxRetryAfter": 500.0,
        "tryLimit": 4,
        "connectTimeout": 250.0,
    },
    "safety": {
        "coldFrom": 0.4,
        "drainGrace": 2000.0,
        "fall": 1000.0,
        "fallMultiple": 4.0,
        "warmAfter": 5000.0,
    },
    "familyInfo": {
        "control": "by_count",
        "votesToGo": 2,
        "noesNeeded": 1,
        "ballotTtl": 6000.0,
        "voteAllowance": 200.0,
        "mostShares": [0.2, 0.5, 1.0],
        "steps": [0.1, 0.4, 1.0],
        "span": 4000.0,
        "spareTries": 1.0,
        "oneWay": True,
        "foundShare": 0.3,
        "style": "parallel",
        "per": "all",
    },
    "classes": [
        {"name": "view", "effect": "retryable", "aim": 1000.0, "hardLimit": 3000.0, "worth": 1.0},
        {
            "name": "order",
            "effect": "dedup",
            "dedupScope": "zone",
            "window": 2000.0,
            "aim": 750.0,
            "hardLimit": 3000.0,
            "worth": 3.0,
        },
        {"name": "issue", "effect": "fragile", "aim": 1000.0, "hardLimit": 3000.0, "worth": 2.0},
    ],
}


class Fake:
    """A World that writes down what it is asked; time is what the test says."""

    def __init__(self, start):
        self.time, self.lines, self.out, self.alarms, self.later = start, [], {}, [], []

    def say(self, text):
        self.lines.append(f"{self.time / 1e6:8.3f}  {text}")

    def now(self):
        return self.time

    def schedule_alarm(self, due):
        self.alarms.append(due)

    def run_soon(self, do):
        self.later.append(do)

    def start(self, dispatch, call):
        self.say(
            f"dispatch {dispatch.invocation.id}.{dispatch.number} to {dispatch.appliance.id} for {dispatch.timeout}"
        )
        self.out[dispatch.invocation.id, dispatch.number] = dispatch
        return Attempt(self, dispatch)

    def probe(self, appliance):
        self.say(f"probe {appliance.id}")

    def vote(self, build, stage, verdict):
        self.say(f"vote {verdict} {build} {stage}")

    def message(self, to, figures):
        self.say(f"message {'all' if to is None else to} {figures}")

    def log_event(self, event, **facts):
        if event == "decision":
            self.say(f"log {facts['text']}")

    def subscribe(self):
        self.say("subscribe")

    fetch_list = subscribe


class Attempt:
    def __init__(self, fake, dispatch):
        self.fake, self.dispatch = fake, dispatch

    def abandon(self, late):
        self.fake.say(f"cancel {self.dispatch.invocation.id}.{self.dispatch.number}")


class Call:
    def __init__(self, fake, ident):
        self.fake, self.id = fake, ident

    def succeed(self, *answer):
        pass

    def throttle(self, retry_after):
        self.fake.say(f"throttle {self.id} {retry_after}")

    def terminate(self):
        self.fake.say(f"terminate {self.id}")


def ms(time):
    return f"{time // 1000}.{time % 1000:03d}"


def read_action(line, now):
    """A line of the drill in the words of Fake."""
    name, _, rest = line.partition("\t")
    got = dict(part.split("=", 1) for part in rest.split("\t")) if name != "LOG" else {}
    micro = {key: round(float(got[key]) * 1000) for key in ("tryFor", "stayAway") if key in got}
    match name:
        case "SEND":
            return f"dispatch {got['requestId']}.? to {got['appliance']} for {micro['tryFor']}"
        case "STOP_ATTEMPT":
            return f"cancel {got['requestId']}.{got['shot']}"
        case "PUSH_BACK":
            return f"throttle {got['requestId']} {micro.get('stayAway', 0)}"
        case "END_FAILED":
            return f"terminate {got['requestId']}"
        case "CHECK":
            return f"probe {got['appliance']}"
        case "RULING":
            verdict = {"1": ours.ON, "2": ours.HOLD, "3": ours.BACK}[got["how"]]
            return f"vote {verdict} {got['build']} {got['ring']}"
        case "NOTIFY":
            import base64

            to = "all" if got["addressee"] == "*" else got["addressee"]
            return f"message {to} {[int(n) for n in base64.b64decode(got['body']).split()]}"
        case "LOG":
            return f"log {line.partition('reasonText=')[2]}"
    return None


class Drill:
    """The drill's side: one batch an event."""

    def __init__(self, start, seed):
        self.lines, self.batches, self.due = [], [], None
        self.start, self.seed = start, seed

    def play(self, events):
        """events: (time, lines)."""
        text = []
        for time, lines in events:
            text += [f"TURN\tclock={ms(time)}", *lines, "OVER_TO_YOU", ""]
        sink = io.StringIO()
        serve(io.StringIO("\n".join(text)), sink)
        replies = sink.getvalue().split("ACK\n")
        for (time, _), reply in zip(events, replies):
            for line in reply.splitlines():
                if line and (said := read_action(line, time)) is not None:
                    self.lines.append(f"{time / 1e6:8.3f}  {said}")
        return self.lines


def day(seed, bad):
    """Drawn events at the agent's door, and the same ones as lines for the drill."""
    chance, start = random.Random(seed), 1_000_000
    fake, settings = Fake(start), parse_settings(PARAMS)
    engine_host = EngineHost(fake, settings, 7)
    events = [(start, [f"SPAWN\tagent=agent_1\trngSeed=7\tparams={json.dumps(PARAMS)}"])]
    number = 0

    def both(lines, act):
        """What the agent is told by act() the drill is told by lines, after the alarms that are due before."""
        events.append((fake.time, lines))
        act()
        turn()

    def turn():
        while fake.later:  # what the World does in its next turn
            fake.later.pop(0)()

    end = engine_host.dispatch_ended

    def ended(dispatch, how, load=None, answer=None, passed=False):
        """Each end that the agent's door tells, the drill is told by a line."""
        if dispatch.result is None:
            done = how == ours.SUCCEEDED or dispatch.invocation.concluded
            events.append(
                (
                    fake.time,
                    [
                        f"COMPLETED\tagent=agent_1\trequestId={dispatch.invocation.id}\tappliance={dispatch.appliance.id}"
                        f"\tshot={dispatch.number}\tverdict={CODES[how]}\tcomplete={int(done)}\trtt={ms(fake.time - dispatch.sent)}"
                    ],
                )
            )
        end(dispatch, how, load, answer, passed)

    engine_host.dispatch_ended = ended

    def listing(entries, whole):
        rows, lines = [], [f"POOL\tsheet=0\trows={len(entries)}"]
        for ident, build, state, zone, started in entries:
            rows.append(ListEntry(ident, build, started, started, state, zone, 0, "std", 1.0))
            phase = {v: k for k, v in STATES.items()}[state]
            lines.append(
                f"ENTRY\tphase={phase}\tshape=std\tsize=1\tappliance={ident}\tdc={zone}\tpod=0\truns={build}"
                f"\tupSince={ms(started)}"
            )
        lines.append(f"REGISTRY\tagent=agent_1\thow={'snapshot' if whole else 'diff'}\tversion=1\tsheet=0")
        both(lines, lambda: engine_host.apply_list("whole" if whole else "changes", rows))

    def staged(build, stage, phase, cap):
        both(
            [
                f"RELEASE_STATE\tagent=agent_1\tbuild={build}\tring={stage}\twhereAt={PHASES.index(phase)}\thow=0\tcap={cap}"
                f"\tlateness=0"
            ],
            lambda: engine_host.apply_stage(Stage(build, stage, phase, cap, 0, None)),
        )

    def alarms_until(time):
        while fake.alarms and min(fake.alarms) <= time:
            fake.time = max(fake.time, min(fake.alarms))
            fake.alarms = [due for due in fake.alarms if due > fake.time]
            both(["TIMEOUT_FIRED\tagent=agent_1\tref=0"], engine_host.run_timers)
        fake.time = time

    old = [(f"old{n}", 1, ours.READY, "ab"[n % 2], 0) for n in range(6)]
    listing(old, True)
    staged(1, 2, ours.RELEASED, 1.0)
    for step in range(1500):
        alarms_until(fake.time + chance.randrange(2000, 12_000))
        roll = chance.random()
        if step == 200:
            staged(2, 0, ours.ON_TRIAL, 0.2)
        elif step == 230:
            listing([(f"new{n}", 2, ours.READY, "ab"[n], fake.time) for n in range(2)], False)
        elif step == 700:
            listing([("old0", 1, ours.DRAINING, "a", 0)], False)
        elif roll < 0.45:
            number += 1
            ident, operation = number, chance.choice(("view", "view", "order", "issue"))
            left, key = chance.choice((3_000_000, 900_000, 60_000)), f"k{chance.randrange(300)}"
            both(
                [
                    f"INGRESS\tagent=agent_1\trequestId={ident}\tservice={operation}\titem={key}\tleft={ms(left)}"
                ],
                lambda: engine_host.accept(
                    Call(fake, ident), engine_host.operations[operation], fake.time, left, key=key
                ),
            )
        elif roll < 0.5 and (waiting := [line for line in fake.lines[-4:] if " probe " in line]):
            ident = waiting[-1].split()[-1]
            both(
                [f"SAMPLED\tagent=agent_1\tappliance={ident}\tverdict=200\trtt=1.0"],
                lambda: engine_host.probe_ended(
                    engine_host.appliance_list.appliances[ident], True, 1000, None
                ),
            )
        elif fake.out:
            invocation, shot = chance.choice(list(fake.out))
            dispatch = fake.out.pop((invocation, shot))
            if dispatch.result is not None:
                continue
            how = chance.choice(
                (ours.SUCCEEDED,) * 20 + (ours.ERROR, ours.FULL, ours.UNCONNECTED, ours.RESET, ours.TIMEOUT)
            )
            if bad and dispatch.appliance.build == 2 and chance.random() < 0.5:
                how = ours.ERROR
            engine_host.dispatch_ended(dispatch, how, answer=((), [], ()) if how == ours.SUCCEEDED else None)
            turn()
    return fake.lines, events


@pytest.mark.parametrize("seed, bad", [(1, False), (2, True), (3, True)])
def test_same_events_same_decisions(seed, bad):
    lines, events = day(seed, bad)
    drill = Drill(1_000_000, 7).play(events)
    agent = [
        line.split(" to ")[0].rsplit(".", 1)[0] + ".? to " + line.split(" to ")[1]
        if "  dispatch " in line
        else line
        for line in lines
    ]
    assert sum("dispatch" in line for line in agent) > 500 and any("vote" in line for line in agent)
    assert agent == drill
