"""A scene: one agent without sockets, and a printed trace of its actions to compare with the kept one."""

from __future__ import annotations

import os
from pathlib import Path

from cartweir.engine import Engine
from cartweir.interface import (
    DRAINING,
    FINGERPRINTED,
    IDEMPOTENT,
    ON_TRIAL,
    RELEASED,
    SIDE_EFFECTING,
    SUCCEEDED,
    Appliance,
    Dispatch,
    Invocation,
    Operation,
    Outcome,
    Stage,
)

MS, S = 1_000, 1_000_000
TRACES = Path(__file__).parent / "traces"
SETTINGS = {
    "agents": 1,
    "me": 0,
    "zone": "a",
    "tick": 5 * MS,
    "may_cancel": True,
    "may_probe": True,
    "may_message": False,
    "may_duplicate": False,
    "may_advise": True,
    "max_advice": 500 * MS,
    "dispatch_limit": 4,
    "cold_share": 0.4,
    "warm_time": 5 * S,
    "fall_multiple": 4.0,
    "fall_time": S,
    "drain_grace": S,
    "idle_time": 30 * S,
    "control": "any",
    "per_operation": False,
    "in_place": False,
    "window": 4 * S,
    "free": 1.0,
    "caps": (0.1, 0.4, 1.0),
    "shares": (0.1, 0.35, 1.0),
    "guarded_stages": 0,
    "one_way": False,
    "on_votes": 1,
    "back_votes": 1,
    "vote_life": 6 * S,
    "vote_allowance": 100.0,
    "flag_share": 0.0,
    "tally_time": 2 * S,
    "must_ask": False,
    "probe_price": 0.0,
    "connect_price": 0.0,
}


class Scene:
    """Plays the outside world of one agent, and writes each of its actions down.

    Attributes:
        lines: the trace.
        out: the dispatches that are outstanding.
        draw: an idempotent operation.
        order: a fingerprinted operation.
        issue: a side-effecting operation.
        fleet: all appliances by name.
        quiet: leaves dispatches and final answers out of the trace.
        silent: names of appliances that answer no probe.
    """

    def __init__(self, seed: int = 1, **settings) -> None:
        self.lines: list[str] = []
        self.out: list[Dispatch] = []
        self.draw = Operation("draw", IDEMPOTENT, slo_time=S, time_limit=3 * S)
        self.order = Operation("order", FINGERPRINTED, "zone", 2 * S, slo_time=S, time_limit=3 * S)
        self.issue = Operation("issue", SIDE_EFFECTING, slo_time=S, time_limit=3 * S)
        self.engine = None
        self.engine = Engine(
            0, seed, {**SETTINGS, "operations": (self.draw, self.order, self.issue), **settings}, self
        )
        self.agent, self.fleet, self.count = self.engine.agent, {}, 0

    # ---- actions of the decisions ----
    def say(self, text: str) -> None:
        now = self.engine.now if self.engine else 0
        self.lines.append(f"{now / S:8.3f}  {text}")

    def dispatch(self, dispatch: Dispatch) -> None:
        self.out.append(dispatch)
        if not self.quiet:
            self.say(f"dispatch {dispatch.invocation.id} to {dispatch.appliance.id}")

    quiet, silent = False, ()

    def cancel(self, dispatch: Dispatch) -> None:
        self.say(f"cancel {dispatch.invocation.id} at {dispatch.appliance.id}")

    def throttle(self, invocation: Invocation, retry_after: int) -> None:
        if not self.quiet:
            self.say(f"throttle {invocation.id}, come back after {retry_after // MS} ms")

    def terminate(self, invocation: Invocation) -> None:
        if not self.quiet:
            self.say(f"terminate {invocation.id}")

    def set_timer(self, due: int) -> None:
        pass

    def log(self, text: str) -> None:
        self.say(f"log {text}")

    def vote(self, build: int, stage: int, verdict: str) -> None:
        self.say(f"vote {verdict} on build {build} stage {stage}")

    def subscribe(self) -> None:
        self.say("subscribe")

    def fetch_list(self) -> None:
        self.say("fetch list")

    def probe(self, appliance: Appliance) -> None:
        answered = appliance.id not in self.silent
        self.engine.call_at(
            self.engine.now + MS, lambda: self.engine.probe_ended(appliance, answered, MS, None)
        )

    def message(self, to: int | None, figures: list[int]) -> None:
        self.say(f"message {figures}")

    # ---- what happens outside ----
    def pass_to(self, time: int) -> None:
        """Advances the clock, and runs the timers on the way."""
        while self.engine._timers and self.engine._timers[0][0] <= time:
            self.engine.advance_to(max(self.engine.now, self.engine._timers[0][0]))
            self.engine._next_alarm = self.engine.now
            self.engine.run_timers()
            self.engine.resume_woken()
        self.engine.advance_to(time)

    def list(
        self, *names: str, build: int = 1, started: int = 0, state: str = "ready", zone: str = "a"
    ) -> None:
        """Lists appliances, or changes the state of listed ones."""
        for name in names:
            self.fleet.setdefault(name, Appliance(name, build, zone, started=started)).state = state
        self.agent.on_list("changes", [self.fleet[name] for name in names])
        self.engine.resume_woken()

    def stage(
        self, build: int, number: int, cap: float, phase: str = ON_TRIAL, answer: str | None = None
    ) -> None:
        self.agent.on_stage(Stage(build, number, phase, cap, 0, answer))
        self.engine.resume_woken()

    def released(self) -> None:
        """Tells that build 1 is released."""
        self.stage(1, 2, 1.0, RELEASED)

    def take(self, operation: Operation, left: int = 3 * S, key: str | None = None) -> Invocation:
        """Sends a client's request; `left` is for how long the client waits."""
        self.count += 1
        invocation = Invocation(self.count, operation, self.engine.now, self.engine.now + left, key=key)
        self.engine.accept(invocation)
        self.engine.resume_woken()
        return invocation

    def end(self, dispatch: Dispatch, result: str = SUCCEEDED) -> None:
        """Ends a dispatch."""
        self.out.remove(dispatch)
        duration = self.engine.now - dispatch.sent
        complete = result == SUCCEEDED or dispatch.invocation.concluded
        self.engine.dispatch_ended(Outcome(dispatch, result, duration, complete))
        self.engine.resume_woken()

    def traffic(self, until: int, result=lambda dispatch: SUCCEEDED, every: int = 20 * MS) -> None:
        """Sends requests at intervals and answers each after 50 ms; dispatches are not printed.

        Args:
            until: when it ends.
            result: returns the result of a dispatch.
            every: the interval.
        """
        self.quiet, number = True, 0
        while self.engine.now < until:
            self.pass_to(self.engine.now + every)
            self.take((self.draw, self.draw, self.order)[number % 3])
            number += 1
            for dispatch in [d for d in self.out if d.sent <= self.engine.now - 50 * MS]:
                self.end(dispatch, result(dispatch))
        self.quiet = False

    def matches(self, name: str) -> None:
        """Compares the trace with the kept one; with TRACE=write in the environment it is kept first."""
        path, text = TRACES / f"{name}.txt", "\n".join(self.lines) + "\n"
        if os.environ.get("TRACE") == "write":
            path.write_text(text)
        assert text == path.read_text()


__all__ = ["DRAINING", "MS", "S", "Scene"]
