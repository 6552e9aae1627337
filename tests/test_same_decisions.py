"""The same events lead to the same decisions through both hosts of the engine.

One sequence of events goes through the simulator's line protocol and through the running agent's `EngineHost`
under a fake clock. Their actions have to be the same, in the same order.
"""

from __future__ import annotations

import base64
import io
import json
import random
from functools import partial

import pytest

from cartweir import interface as ours
from cartweir.drill.adapter import OUTCOMES, PHASES, STATES, parse_settings, serve
from cartweir.hosting.appliance_list import ListEntry
from cartweir.hosting.engine_host import EngineHost
from cartweir.interface import Stage

CODES = {result: code for code, result in OUTCOMES.items()}
STATE_NAMES = {state: name for name, state in STATES.items()}
START = 1_000_000  # microseconds
SEED = 7  # of the decisions
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


class FakeEnvironment:
    """Writes down what it is asked to do; the test sets the time."""

    def __init__(self):
        self.time = START
        self.lines = []
        self.outstanding = {}  # dispatches by invocation and number
        self.alarms = []
        self.deferred = []

    def write(self, text):
        self.lines.append(f"{self.time / 1e6:8.3f}  {text}")

    def now(self):
        return self.time

    def schedule_alarm(self, due):
        self.alarms.append(due)

    def run_soon(self, do):
        self.deferred.append(do)

    def run_deferred(self):
        while self.deferred:
            self.deferred.pop(0)()

    def start(self, dispatch, call):
        name = f"{dispatch.invocation.id}.{dispatch.number}"
        self.write(f"dispatch {name} to {dispatch.appliance.id} for {dispatch.timeout}")
        self.outstanding[dispatch.invocation.id, dispatch.number] = dispatch
        return Attempt(self, dispatch)

    def probe(self, appliance):
        self.write(f"probe {appliance.id}")

    def vote(self, build, stage, verdict):
        self.write(f"vote {verdict} {build} {stage}")

    def message(self, to, figures):
        self.write(f"message {'all' if to is None else to} {figures}")

    def log_event(self, event, **facts):
        if event == "decision":
            self.write(f"log {facts['text']}")

    def subscribe(self):
        self.write("subscribe")

    fetch_list = subscribe


class Attempt:
    def __init__(self, environment, dispatch):
        self.environment, self.dispatch = environment, dispatch

    def abandon(self, late):
        self.environment.write(f"cancel {self.dispatch.invocation.id}.{self.dispatch.number}")


class Call:
    def __init__(self, environment, invocation_id):
        self.environment, self.id = environment, invocation_id

    def succeed(self, *answer):
        pass

    def throttle(self, retry_after):
        self.environment.write(f"throttle {self.id} {retry_after}")

    def terminate(self):
        self.environment.write(f"terminate {self.id}")


def ms(time):
    return f"{time // 1000}.{time % 1000:03d}"


def read_action(line):
    """Returns an action of the simulator's protocol as `FakeEnvironment` writes it; None for others."""
    name, _, rest = line.partition("\t")
    got = dict(part.split("=", 1) for part in rest.split("\t")) if name != "LOG" else {}
    micro = {key: round(float(got[key]) * 1000) for key in ("tryFor", "stayAway") if key in got}
    action = None
    match name:
        case "SEND":
            action = f"dispatch {got['requestId']}.? to {got['appliance']} for {micro['tryFor']}"
        case "STOP_ATTEMPT":
            action = f"cancel {got['requestId']}.{got['shot']}"
        case "PUSH_BACK":
            action = f"throttle {got['requestId']} {micro.get('stayAway', 0)}"
        case "END_FAILED":
            action = f"terminate {got['requestId']}"
        case "CHECK":
            action = f"probe {got['appliance']}"
        case "RULING":
            verdict = {"1": ours.ON, "2": ours.HOLD, "3": ours.BACK}[got["how"]]
            action = f"vote {verdict} {got['build']} {got['ring']}"
        case "NOTIFY":
            to = "all" if got["addressee"] == "*" else got["addressee"]
            action = f"message {to} {[int(n) for n in base64.b64decode(got['body']).split()]}"
        case "LOG":
            action = f"log {line.partition('reasonText=')[2]}"
    return action


def play(events):
    """Returns the actions of the simulator's adapter after events, given as pairs of a time and lines."""
    text, actions = [], []
    for time, lines in events:
        text += [f"TURN\tclock={ms(time)}", *lines, "OVER_TO_YOU", ""]
    sink = io.StringIO()
    serve(io.StringIO("\n".join(text)), sink)
    replies = sink.getvalue().split("ACK\n")
    for (time, _), reply in zip(events, replies, strict=False):  # behind the last ACK nothing is left
        for line in reply.splitlines():
            if line and (action := read_action(line)) is not None:
                actions.append(f"{time / 1e6:8.3f}  {action}")
    return actions


class Day:
    """Random events for an `EngineHost`, written down as the simulator's lines as well."""

    def __init__(self, seed, bad):
        self.rng, self.bad = random.Random(seed), bad
        self.environment = FakeEnvironment()
        self.engine_host = EngineHost(self.environment, parse_settings(PARAMS), SEED)
        self.events = [(START, [f"SPAWN\tagent=agent_1\trngSeed={SEED}\tparams={json.dumps(PARAMS)}"])]
        self.invocations = 0
        self.end = self.engine_host.dispatch_ended
        self.engine_host.dispatch_ended = self.dispatch_ended

    def send(self, lines, act):
        """Passes one event to the agent by `act`, and to the simulator's adapter by `lines`."""
        self.events.append((self.environment.time, lines))
        act()
        self.environment.run_deferred()

    def dispatch_ended(self, dispatch, result, load=None, answer=None, passed=False):
        """Writes a line for each end of a dispatch that the agent handles."""
        if dispatch.result is None:
            done = result == ours.SUCCEEDED or dispatch.invocation.concluded
            took = ms(self.environment.time - dispatch.sent)
            line = (
                f"COMPLETED\tagent=agent_1\trequestId={dispatch.invocation.id}\tappliance={dispatch.appliance.id}"
                f"\tshot={dispatch.number}\tverdict={CODES[result]}\tcomplete={int(done)}\trtt={took}"
            )
            self.events.append((self.environment.time, [line]))
        self.end(dispatch, result, load, answer, passed)

    def update_list(self, entries, whole):
        rows, lines = [], [f"POOL\tsheet=0\trows={len(entries)}"]
        for appliance_id, build, state, zone, started in entries:
            rows.append(ListEntry(appliance_id, build, started, started, state, zone, 0, "std", 1.0))
            lines.append(
                f"ENTRY\tphase={STATE_NAMES[state]}\tshape=std\tsize=1\tappliance={appliance_id}\tdc={zone}\tpod=0"
                f"\truns={build}\tupSince={ms(started)}"
            )
        lines.append(f"REGISTRY\tagent=agent_1\thow={'snapshot' if whole else 'diff'}\tversion=1\tsheet=0")
        self.send(lines, lambda: self.engine_host.apply_list("whole" if whole else "changes", rows))

    def update_stage(self, build, stage, phase, cap):
        line = (
            f"RELEASE_STATE\tagent=agent_1\tbuild={build}\tring={stage}\twhereAt={PHASES.index(phase)}\thow=0"
            f"\tcap={cap}\tlateness=0"
        )
        self.send([line], lambda: self.engine_host.apply_stage(Stage(build, stage, phase, cap, 0, None)))

    def advance_to(self, time):
        """Runs the alarms up to a time."""
        environment = self.environment
        while environment.alarms and min(environment.alarms) <= time:
            environment.time = max(environment.time, min(environment.alarms))
            environment.alarms = [due for due in environment.alarms if due > environment.time]
            self.send(["TIMEOUT_FIRED\tagent=agent_1\tref=0"], self.engine_host.run_timers)
        environment.time = time

    def accept(self):
        self.invocations += 1
        number, operation = self.invocations, self.rng.choice(("view", "view", "order", "issue"))
        left, key = self.rng.choice((3_000_000, 900_000, 60_000)), f"k{self.rng.randrange(300)}"
        line = f"INGRESS\tagent=agent_1\trequestId={number}\tservice={operation}\titem={key}\tleft={ms(left)}"
        call = Call(self.environment, number)
        host, time = self.engine_host, self.environment.time
        self.send([line], partial(host.accept, call, host.operations[operation], time, left, key=key))

    def answer_probe(self, appliance_id):
        line = f"SAMPLED\tagent=agent_1\tappliance={appliance_id}\tverdict=200\trtt=1.0"
        appliance = self.engine_host.appliance_list.appliances[appliance_id]
        self.send([line], partial(self.engine_host.probe_ended, appliance, True, 1000, None))

    def end_dispatch(self):
        key = self.rng.choice(list(self.environment.outstanding))
        dispatch = self.environment.outstanding.pop(key)
        if dispatch.result is not None:
            return
        result = self.rng.choice(
            (ours.SUCCEEDED,) * 20 + (ours.ERROR, ours.FULL, ours.UNCONNECTED, ours.RESET, ours.TIMEOUT)
        )
        if self.bad and dispatch.appliance.build == 2 and self.rng.random() < 0.5:
            result = ours.ERROR
        answer = ((), [], ()) if result == ours.SUCCEEDED else None
        self.engine_host.dispatch_ended(dispatch, result, answer=answer)
        self.environment.run_deferred()

    def step(self, number):
        environment = self.environment
        self.advance_to(environment.time + self.rng.randrange(2000, 12_000))
        roll = self.rng.random()
        if number == 200:
            self.update_stage(2, 0, ours.ON_TRIAL, 0.2)
        elif number == 230:
            self.update_list([(f"new{n}", 2, ours.READY, "ab"[n], environment.time) for n in range(2)], False)
        elif number == 700:
            self.update_list([("old0", 1, ours.DRAINING, "a", 0)], False)
        elif roll < 0.45:
            self.accept()
        elif roll < 0.5 and (probes := [line for line in environment.lines[-4:] if " probe " in line]):
            self.answer_probe(probes[-1].split()[-1])
        elif environment.outstanding:
            self.end_dispatch()

    def run(self):
        self.update_list([(f"old{n}", 1, ours.READY, "ab"[n % 2], 0) for n in range(6)], True)
        self.update_stage(1, 2, ours.RELEASED, 1.0)
        for number in range(1500):
            self.step(number)


def without_number(line):
    """Returns an action without the number of its dispatch, which the simulator's protocol does not send."""
    if "  dispatch " not in line:
        return line
    return line.split(" to ")[0].rsplit(".", 1)[0] + ".? to " + line.split(" to ")[1]


@pytest.mark.parametrize("seed, bad", [(1, False), (2, True), (3, True)])
def test_same_events_same_decisions(seed, bad):
    day = Day(seed, bad)
    day.run()
    actions = [without_number(line) for line in day.environment.lines]
    assert sum("dispatch" in line for line in actions) > 500 and any("vote" in line for line in actions)
    assert actions == play(day.events)
