"""Settings: everything wrong is told at once, with place, reason and what would be right."""

import subprocess
import sys

import pytest
from peers import ROOT, settings

from cartweir.settings.explain import explain
from cartweir.settings.ini import BadInputError, read_agent
from cartweir.settings.units import TIME_UNITS, format_with_unit, parse_size, parse_time


def wrong(folder, old, new):
    file = settings(folder, "127.0.0.1:9", "127.0.0.1:9")
    text = file.read_text()
    assert old in text
    file.write_text(text.replace(old, new, 1))
    with pytest.raises(BadInputError) as error:
        read_agent(file)
    return [line.removeprefix(f"{file}: ") for line in error.value.problems]


def test_times_and_sizes_become_whole_units():
    assert [parse_time(t) for t in ("250ms", "2s", "1.5 s", "10us", "1min")] == [
        250_000,
        2_000_000,
        1_500_000,
        10,
        60_000_000,
    ]
    assert (
        parse_size("64KiB") == 65_536
        and format_with_unit(250_000, TIME_UNITS) == "250ms"
        and format_with_unit(0, TIME_UNITS) == "0us"
    )


def test_a_document_becomes_the_plain_map(tmp_path):
    document = read_agent(settings(tmp_path, "127.0.0.1:9", "127.0.0.1:9", allowed="dispatch_limit = 3"))
    decision_settings = document.decision_settings()
    assert (
        decision_settings["caps"] == (0.2, 1.0)
        and decision_settings["dispatch_limit"] == 3
        and decision_settings["tick"] == 20_000
    )
    assert decision_settings["must_ask"] is False and decision_settings["window"] == 4_000_000


@pytest.mark.parametrize(
    "old, new, told",
    [
        (
            "tick = 20ms",
            "tick = 20",
            ["[agent] tick = 20: a number with one of us, ms, s, min, h is due, such as 250ms"],
        ),
        (
            "[conveyor]",
            "[conveyer]",
            ["[conveyer]: unknown section: [conveyor] is meant?", "[conveyor]: the section is missing"],
        ),
        ("seed = 1", "sead = 1", ["[agent] sead: unknown key: seed is meant?"]),
        (
            "caps = 0.2, 1",
            "caps = 0.2, 1.5",
            ["[release] caps = 1.5: Input should be less than or equal to 1: shares, by commas is due"],
        ),
        (
            "caps = 0.2, 1",
            "caps = 1",
            ["[release] shares has 2 stages, caps 1: one value each a stage is due"],
        ),
        (
            "shares = 0.2, 1",
            "shares = 0.4, 0.2",
            ["[release] shares falls from one stage to the next: rising values are due"],
        ),
        (
            "effect = idempotent",
            "effect = harmless",
            [
                "[operation view] effect = harmless: "
                "Input should be 'idempotent', 'fingerprinted' or 'side-effecting': "
                "idempotent, fingerprinted or side-effecting is due"
            ],
        ),
        (
            "slo_time = 1s",
            "slo_time = 5s",
            ["[operation view] slo_time is longer than time_limit: at most as long is due"],
        ),
        (
            "window = 2s",
            "window = 0s",
            ["[operation order] window above 0 is due for effect = fingerprinted, and for no other"],
        ),
        (
            "/maps.Extracts/Order",
            "/maps.Parcels/View",
            ["[operation order] methods: /maps.Parcels/View is also in [operation view]: once is due"],
        ),
        (
            "/maps.Extracts/Order",
            "maps.Order",
            ["[operation order] methods has 'maps.Order': /package.Service/Method is due"],
        ),
        (
            "listen = 127.0.0.1:0",
            "listen = nowhere",
            ["[agent] listen = nowhere: host:port is due, such as 127.0.0.1:7100"],
        ),
        ("seed = 1", "me = 4", ["[agent] me: 4 of 1 agents: 0 to 0 is due"]),
        (
            "may_probe = no",
            "may_message = yes\n[peers]\n0 = here",
            ["[peers] 0 = here: host:port is due, such as 127.0.0.1:7100"],
        ),
    ],
)
def test_what_is_wrong_is_told(tmp_path, old, new, told):
    assert wrong(tmp_path, old, new) == told


def test_all_is_told_at_once(tmp_path):
    file = settings(tmp_path, "nowhere", "127.0.0.1:9", agent="zone = a\nzine = b", wire="window = 1KiB")
    with pytest.raises(BadInputError) as error:
        read_agent(file)
    assert len(error.value.problems) == 3


@pytest.mark.parametrize(
    "text, told",
    [
        (None, "No such file"),
        ("key = value\n", "no section headers"),
        ("[agent]\nlisten = a\nlisten = b\n", "already exists"),
        ("[agent]\n\xff\n".encode("latin-1"), "not UTF-8"),
    ],
)
def test_files_that_are_no_settings(tmp_path, text, told):
    file = tmp_path / "agent.ini"
    if text is not None:
        file.write_bytes(text if isinstance(text, bytes) else text.encode())
    done = subprocess.run(
        [sys.executable, "-m", "cartweir", "settings", "check", file],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert (
        done.returncode == 2
        and told in done.stderr
        and "Traceback" not in done.stderr
        and " due" in done.stderr
    )


def test_each_key_is_explained():
    assert "default 250ms" in explain("connect_timeout") and "must be given" in explain("agent.listen")
    with pytest.raises(BadInputError):
        explain("nothing")
