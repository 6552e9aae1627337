"""Any value of any setting: the agent works with it, or does not start and says why."""

from __future__ import annotations

import copy
import json

import node_harness
import pytest

from cartweir import interface as ours
from cartweir.engine import Engine
from cartweir.hosting.platform_settings import SETTINGS, SettingError, parse_settings
from cartweir.interface import Appliance, Dispatch, Invocation, Outcome, Stage
from cartweir.node import config

VALUES = [
    ...,
    None,
    0,
    0.0,
    1,
    3.5,
    1e9,
    -1,
    1e400,
    float("nan"),
    True,
    False,
    "",
    "x",
    [],
    [0.5],
    {},
    [{}],
    {"a": 1},
]
PATHS = sorted(
    {path for path, _, _ in SETTINGS.values()}
    | {
        "classes",
        "parties",
        "failureDomains",
        "registryMode",
        "report",
        "worthBy",
        "allowed",
        "safety",
        "familyInfo",
        *(
            f"classes.{number}.{name}"
            for number in (0, 1, 2)
            for name in (
                "name",
                "effect",
                "dedupScope",
                "window",
                "aim",
                "hardLimit",
                "worth",
                "lateValue",
                "stream",
            )
        ),
        "parties.0.name",
        "parties.0.quotaRps",
    }
)


def settings_with(path, value):
    settings = copy.deepcopy(node_harness.SETTINGS)
    settings["parties"] = [{"name": "acme", "portion": 1.0, "quotaRps": 50.0}]
    place, (*steps, last) = settings, path.split(".")
    for step in steps:
        place = place[int(step)] if isinstance(place, list) else place.setdefault(step, {})
    if value is ...:
        place.pop(last, None)
    else:
        place[last] = value
    return settings


class RecordingSink:
    """Records the actions of the decisions and performs none."""

    def __init__(self):
        self.dispatched, self.answers = [], []

    def dispatch(self, dispatch: Dispatch) -> None:
        self.dispatched.append(dispatch)

    def throttle(self, invocation, retry_after):
        self.answers.append(invocation)

    def terminate(self, invocation):
        self.answers.append(invocation)

    def __getattr__(self, name):
        return lambda *arguments: None


def run_decisions(decision_settings):
    """Runs the decisions on lists, stages, votes, and invocations whose dispatches end in every way."""
    sink = RecordingSink()
    engine = Engine(1_000_000, 7, decision_settings, sink)
    agent, now, invocations = engine.agent, 1_000_000, []
    fleet = [
        Appliance(
            f"s{number}", 1 + number % 2, started=(0, 1_100_000)[number % 2], weight=(1.0, 0.5)[number % 2]
        )
        for number in range(6)
    ]
    agent.on_list("whole", fleet)
    for number in range(len(decision_settings["shares"])):
        agent.on_stage(Stage(2, number, ours.ON_TRIAL, decision_settings["caps"][number], 0))
    ends = (ours.SUCCEEDED, ours.ERROR, ours.RESET, ours.TIMEOUT, ours.FULL, ours.UNCONNECTED, ours.OBSOLETE)
    for turn in range(60):
        now += 100_000
        engine.advance_to(now)
        engine.run_timers()
        operation = decision_settings["operations"][turn % len(decision_settings["operations"])]
        invocation = Invocation(
            turn, operation, now, now + min(2_000_000, operation.time_limit), "acme", key=f"k{turn % 3}"
        )
        invocations.append(invocation)
        engine.accept(invocation)
        for dispatch in [dispatch for dispatch in sink.dispatched if dispatch.result is None]:
            how = ends[(turn + dispatch.number) % len(ends)]
            if how == ours.SUCCEEDED and dispatch.invocation not in sink.answers:
                sink.answers.append(dispatch.invocation)
            engine.dispatch_ended(Outcome(dispatch, how, 50_000, dispatch.invocation in sink.answers))
            engine.resume_woken()
    for answer in ("ok", "full", "moot", "error", "timeout"):
        if decision_settings["shares"]:
            agent.on_stage(Stage(2, 0, ours.ON_TRIAL, decision_settings["caps"][0], 0, answer))
    for _ in range(300):
        now += 50_000
        engine.advance_to(now)
        engine.run_timers()
        engine.resume_woken()
    return invocations, sink


def whole_config(tmp_path, settings):
    file = tmp_path / "config.json"
    file.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "ff",
                "pipeline": {"address": "127.0.0.1:2"},
                "settings": settings,
            }
        )
    )
    return config.read({"EDGE_CONFIG": str(file)}).decision_settings


@pytest.mark.parametrize("path", PATHS)
def test_any_value_of_any_setting_works_or_is_rejected_in_one_line(path, tmp_path):
    for value in VALUES:
        try:
            decision_settings = whole_config(tmp_path, settings_with(path, value))
        except config.ConfigError as error:
            assert (
                "config.json: settings." in str(error) and "expected" in str(error) and "\n" not in str(error)
            ), error
            continue
        invocations, sink = run_decisions(decision_settings)
        for invocation in invocations:
            assert sink.answers.count(invocation) == 1, (path, value, invocation)


@pytest.mark.parametrize(
    "values", [{"effect": "idempotent"}, {"dedupScope": "region", "effect": "dedup"}], ids=str
)
def test_unknown_values_are_reported_with_the_known_ones(values, tmp_path):
    settings = copy.deepcopy(node_harness.SETTINGS)
    settings["classes"][1].update(values)
    with pytest.raises(config.ConfigError) as found:
        whole_config(tmp_path, settings)
    (key, value) = next(iter(values.items()))
    assert f"settings.classes[1].{key}: {value!r}; expected one of " in str(found.value)


def test_every_combination_of_control_scope_and_style_answers_all_requests():
    for control in ("first_voice", "by_count", "automatic"):
        for style in ("parallel", "replace"):
            for per in ("all", "each_class"):
                for scope in ("all", "zone", "cell"):
                    settings = copy.deepcopy(node_harness.SETTINGS)
                    settings["familyInfo"].update(
                        control=control, style=style, per=per, closedStages=1, autoAfter=5000.0, toPause=1
                    )
                    settings["classes"][1]["dedupScope"] = scope
                    invocations, sink = run_decisions(parse_settings(settings))
                    assert sorted(invocation.id for invocation in sink.answers) == [
                        invocation.id for invocation in invocations
                    ]


def test_unreadable_setting_is_reported_with_its_place():
    with pytest.raises(SettingError) as found:
        parse_settings({"safety": {"fall": "soon"}})
    assert str(found.value) == "safety.fall: 'soon'; expected a time in milliseconds"


def test_appliance_with_no_cold_capacity_can_be_weighed_at_its_start():
    settings = copy.deepcopy(node_harness.SETTINGS)
    settings["safety"]["coldFrom"] = 0.0
    sink, decision_settings = RecordingSink(), parse_settings(settings)
    engine = Engine(4_000_000, 7, decision_settings, sink)
    engine.agent.on_list(
        "whole", [Appliance("s0", 1, started=1_000_000), Appliance("s1", 1, started=4_000_000)]
    )
    engine.agent.on_stage(Stage(1, 2, ours.RELEASED, 1.0, 0))
    engine.agent.slow_start.credit = -0.01  # the credit that the invocation earns makes up for it
    engine.accept(Invocation(1, decision_settings["operations"][0], 4_000_000, 6_000_000))
    assert [dispatch.appliance.id for dispatch in sink.dispatched] == ["s0"]
