"""The command line."""

from __future__ import annotations

import asyncio
import json
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Optional

import typer

from .. import __version__
from ..settings.ini import BadInputError, read_agent
from .common import fail, open_tap
from .controller import app as controller
from .model import app as model
from .scale import app as scale
from .soak import soak
from .standin import app as standin

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="cartweir routes gRPC calls to appliances and judges the builds they run.",
)
settings = typer.Typer(no_args_is_help=True, help="Check and explain settings files.")
app.add_typer(settings, name="settings")
app.add_typer(controller, name="controller")
app.add_typer(model, name="model")
app.add_typer(scale, name="scale")
app.add_typer(standin, name="standin")
app.command()(soak)

SettingsFile = Annotated[Path, typer.Option("--settings", "-s", help="The agent's INI file.", metavar="FILE")]


@app.command()
def agent(
    file: SettingsFile,
    tap: Annotated[
        Optional[Path], typer.Option(help="Write what passes on each socket into this file.")
    ] = None,
) -> None:
    """Run one agent until SIGTERM, which lets it finish what it holds."""
    from ..agent.daemon import run
    from ..agent.key_journal_file import JournalInUseError
    from ..hosting.clock import new_event_loop

    try:
        document = read_agent(file)
    except BadInputError as error:
        fail(str(error))
    try:
        if document.agent.cores > 1:
            from ..cores.supervisor import Supervisor

            open_tap(tap)
            raise typer.Exit(Supervisor(document, tap).run())
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run(document, open_tap(tap)))
    except JournalInUseError as error:
        fail(f"{file}: [agent] facts_file: {error}", 1)
    except OSError as error:
        fail(
            f"{file}: [agent] listen = {document.agent.listen}: {error.strerror or error}: "
            f"an address that is free on this machine is due",
            1,
        )


@settings.command()
def check(file: Annotated[Path, typer.Argument(metavar="FILE")]) -> None:
    """Report everything that is wrong with a settings file."""
    try:
        document = read_agent(file)
    except BadInputError as error:
        fail(str(error))
    print(
        f"{file}: fine: agent {document.agent.me} of {document.agent.agents}, "
        f"{len(document.operations)} operations, {len(document.release.caps)} stages"
    )


@settings.command()
def explain(
    key: Annotated[Optional[str], typer.Argument(help="A section, a key or section.key.")] = None,
) -> None:
    """Say of each key what it means, its unit and its default."""
    from ..settings.explain import explain as text

    try:
        print(text(key))
    except BadInputError as error:
        fail(str(error))


@settings.command("move")
def move_command(
    old: Annotated[Path, typer.Argument(metavar="OLD", help="The agent's settings at the old deployment.")],
    shape: Annotated[
        Path,
        typer.Argument(
            metavar="SHAPE",
            help="What the new deployment's agents share: [allowed], [appliances], [release], operations.",
        ),
    ],
    new: Annotated[Optional[Path], typer.Argument(metavar="[NEW]", help="The file to write.")] = None,
    dry_run: Annotated[bool, typer.Option("--dry-run", help="Write nothing, print the counterpart.")] = False,
) -> None:
    """Write a settings file's counterpart for a deployment of another shape, and list what it could not carry over."""
    from ..settings.migration import migrate_settings, write_new_file

    if dry_run == (new is not None):
        fail("settings move: either NEW, the file to write, or --dry-run is due")
    try:
        migration = migrate_settings(old, shape)
        if new is not None:
            write_new_file(new, migration.text)
    except BadInputError as error:
        fail(str(error))
    print(
        migration.text if new is None else f"{new}: written",
        *(f"not carried over: {line}" for line in migration.not_carried_over),
        "comments are not carried over",
        sep="\n",
    )


@app.command()
def demo(
    seed: Annotated[int, typer.Option(help="All chance of the day comes from it.")] = 1,
    seconds: Annotated[float, typer.Option(min=8, max=600, help="Length of the day.")] = 30.0,
    cores: Annotated[int, typer.Option(min=1, max=16, help="Carrying parts of each agent.")] = 1,
    controllers: Annotated[
        int,
        typer.Option(
            min=0,
            max=5,
            help="Controllers, whose owner is killed, stopped and cut off; 0: a stand-in conveyor.",
        ),
    ] = 3,
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
    keep: Annotated[Optional[Path], typer.Option(help="Keep logs, settings and taps in this folder.")] = None,
) -> None:
    """Play a scripted bad day on loopback: 9 appliances, 3 agents, clients, and what goes wrong."""
    import tempfile

    from ..faults.controller_day import ControllerDay
    from ..standin.day import Day

    with tempfile.TemporaryDirectory(prefix="cartweir-") as scratch:
        folder = keep or Path(scratch)
        if keep is not None and any(keep.glob("*.tap")):
            fail(f"--keep {keep}: holds an earlier run: a new or empty folder is due")
        say = (lambda line: None) if as_json else lambda line: print(line, flush=True)
        day = (
            ControllerDay(folder, seed, seconds, say, cores=cores, controllers=controllers)
            if controllers
            else (Day(folder, seed, seconds, say, cores=cores))
        )
        try:
            report = asyncio.run(day.run())
        except OSError as error:
            fail(f"demo: {error}", 1)
        verdict = day.consistency_report if controllers else None
        if as_json:
            told = {"controllers": asdict(verdict)} if verdict else {}
            print(json.dumps({**report.as_dict(), **told}, indent=1))
        else:
            print(
                "\nwhy agents voted as they did:",
                *(f"  {line}" for line in day.reasons()),
                "",
                report.text(),
                *([f"controllers: {verdict.text()}"] if verdict else []),
                sep="\n",
            )
    raise typer.Exit(1 if report.breaches or (verdict and verdict.breaches) else 0)


@app.command()
def faults(
    seed: Annotated[int, typer.Option(help="All faults are drawn from it.")] = 1,
    seconds: Annotated[float, typer.Option(min=3, max=3600, help="For so long.")] = 30.0,
    controllers: Annotated[int, typer.Option(min=1, max=7)] = 3,
    agents: Annotated[
        int, typer.Option(min=1, max=440, help="Light ones: they hear and vote, and carry nothing.")
    ] = 12,
    real: Annotated[
        int,
        typer.Option(
            min=0,
            max=48,
            help="Real agents with clients and appliances in place of the light ones: "
            "the five rules are audited too.",
        ),
    ] = 0,
    unfenced: Annotated[
        bool, typer.Option("--unfenced", help="Receivers take all: a fault to prove the verdict.")
    ] = False,
    keep: Annotated[
        Optional[Path], typer.Option(help="Keep logs, settings and records in this folder.")
    ] = None,
) -> None:
    """Kill, stop and cut off controllers while builds are released, and judge by what receivers saw."""
    import tempfile

    from ..faults.fault_day import QUIET_SECONDS, FaultDay
    from ..faults.rig import RigConfig, run_rig

    def say(line: str) -> None:
        print(line, flush=True)

    if real and (unfenced or seconds < 3 * QUIET_SECONDS):
        fail(
            f"faults: --real needs --seconds {3 * QUIET_SECONDS:g} or more, and has receivers of its own, which are fenced"
        )
    report = None
    with tempfile.TemporaryDirectory(prefix="cartweir-") as scratch:
        if keep is not None and keep.exists() and any(keep.iterdir()):
            fail(f"--keep {keep}: holds something: a new or empty folder is due")
        folder = keep or Path(scratch)
        try:
            if real:
                day = FaultDay(
                    folder, seed, seconds, say, agents=real, rate=20.0 * real, controllers=controllers
                )
                report = asyncio.run(day.run())
                verdict, rig = day.consistency_report, day.rig
            else:
                verdict, rig = asyncio.run(
                    run_rig(folder, RigConfig(controllers, agents, unfenced=unfenced), seed, seconds, say)
                )
        except OSError as error:
            fail(f"faults: {error}", 1)
    print(
        ", ".join(f"{name} {count}" for name, count in sorted(rig.fault_counts.items())),
        verdict.text(),
        sep="\n",
    )
    if report is not None:
        print(report.text())
    raise typer.Exit(1 if verdict.breaches or (report and report.breaches) else 0)


@app.command()
def comeback(
    seed: Annotated[int, typer.Option(help="All chance comes from it.")] = 1,
    share: Annotated[
        float, typer.Option(min=0.01, max=1.0, help="Of the agents that are killed at once.")
    ] = 0.7,
    state: Annotated[str, typer.Option(help="Of their files: kept, lost or old.")] = "kept",
    registry: Annotated[str, typer.Option(help="Meanwhile: there, away or empty.")] = "there",
    agents: Annotated[int, typer.Option(min=1, max=48, help="Real ones, with clients.")] = 4,
    light: Annotated[
        int, typer.Option(min=0, max=440, help="Light ones beside them: they hear, and carry nothing.")
    ] = 40,
    rate: Annotated[float, typer.Option(min=1, help="Calls a second, through all real ones.")] = 60.0,
    trial: Annotated[
        str, typer.Option(help="A build is on trial as they are killed: good or bad; none where empty.")
    ] = "",
    owner: Annotated[
        bool, typer.Option("--owner", help="The owner of the release is killed in the same moment.")
    ] = False,
    after: Annotated[
        float, typer.Option(min=6, max=120, help="Seconds that are watched from then on.")
    ] = 12.0,
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
    keep: Annotated[Optional[Path], typer.Option(help="Keep logs, settings and taps in this folder.")] = None,
) -> None:
    """Kill most agents in one moment under load, and measure how the fleet comes back."""
    import tempfile

    from ..faults.mass_restart import RestartScenario, run_scenario

    with tempfile.TemporaryDirectory(prefix="cartweir-") as scratch:
        if keep is not None and any(keep.glob("*.tap")):
            fail(f"--keep {keep}: holds an earlier run: a new or empty folder is due")
        try:
            scene = RestartScenario(
                share,
                state,
                registry,
                agents,
                light,
                rate=rate,
                trial=trial,
                kill_owner=owner,
                seconds_after=after,
            )
            outcome = run_scenario(
                keep or Path(scratch), seed, scene, (lambda line: None) if as_json else print
            )
        except ValueError as error:
            fail(f"comeback: {error}")
        except OSError as error:
            fail(f"comeback: {error}", 1)
    print(json.dumps(asdict(outcome), indent=1) if as_json else f"\n{outcome.text()}")
    raise typer.Exit(1 if outcome.breaches else 0)


@app.command()
def replay(
    file: Annotated[Path, typer.Argument(metavar="DAY.json", help="As the bench's `draw` writes it.")],
    report: Annotated[Optional[Path], typer.Option(help="The bench's own `run --json` of the day.")] = None,
    machines: Annotated[int, typer.Option(min=2, max=60, help="At most so many of the day's machines.")] = 12,
    agents: Annotated[int, typer.Option(min=1, max=20, help="At most so many of its agents.")] = 4,
    seed: Annotated[int, typer.Option(help="Of arrivals and machines.")] = 1,
    keep: Annotated[Optional[Path], typer.Option(help="Keep logs, settings and taps in this folder.")] = None,
) -> None:
    """Play the kinds of trouble of a bench day at real speed through real agents, scaled down."""
    import tempfile

    from ..standin.replay import Replay, play

    with tempfile.TemporaryDirectory(prefix="cartweir-") as scratch:
        try:
            found, text = play(Replay(file, keep or Path(scratch), seed, print, machines, agents), report)
        except BadInputError as error:
            fail(str(error))
        except OSError as error:
            fail(f"replay: {error}", 1)
    print(f"\n{found.text()}\n\n{text}")
    raise typer.Exit(1 if found.breaches else 0)


@app.command(name="audit")
def audit_command(
    folder: Annotated[Path, typer.Argument(metavar="DIR", help="As `cartweir demo --keep` leaves it.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
) -> None:
    """Decide the five rules from what passed on the sockets of a run."""
    from ..audit.run import audit

    try:
        report = audit(folder)
    except BadInputError as error:
        fail(str(error))
    print(json.dumps(report.as_dict(), indent=1) if as_json else report.text())
    raise typer.Exit(1 if report.breaches else 0)


@app.command()
def version() -> None:
    """Print the version."""
    print(f"cartweir {__version__}")


def main() -> None:
    app()
