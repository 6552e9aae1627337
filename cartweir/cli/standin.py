"""Command line of the stand-ins, each a process of its own on loopback."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path
from typing import Annotated, Any, Optional

import typer

from .common import Seed, Tap, fail, open_tap

app = typer.Typer(no_args_is_help=True, help="Stand-ins to try an agent with, on loopback.")


def _say(event: str, **facts: Any) -> None:
    print(json.dumps({"event": event, **facts}), flush=True)


def _forever(start: Any) -> None:
    async def run() -> None:
        start()
        await asyncio.Event().wait()

    _run(run)


def _run(start: Any) -> None:
    try:
        asyncio.run(start())
    except OSError as error:
        fail(f"cannot listen: {error.strerror or error}: a free address on this machine is due", 1)
    except KeyboardInterrupt:
        pass


def _release(file: Path | None) -> Any:
    from ..settings.ini import BadInputError, read_agent
    from ..settings.schema import ReleaseSection

    if file is None:
        return ReleaseSection(shares=(0.1, 0.35, 1.0), caps=(0.14, 0.49, 1.0))
    try:
        return read_agent(file).release
    except BadInputError as error:
        fail(str(error))


@app.command()
def field(
    registry: Annotated[str, typer.Option(help="Where the registry listens.")] = "127.0.0.1:7000",
    conveyor: Annotated[str, typer.Option(help="Where the conveyor listens.")] = "127.0.0.1:7001",
    steer: Annotated[str, typer.Option(help="Where `standin steer` reaches them.")] = "127.0.0.1:7002",
    appliances: Annotated[int, typer.Option(min=1, help="How many appliances run from the start.")] = 8,
    agents: Annotated[int, typer.Option(min=1, help="How many agents may vote.")] = 1,
    settings: Annotated[
        Optional[Path], typer.Option(help="An agent's INI file, for its [release] section.")
    ] = None,
    seed: Seed = 1,
    tap: Tap = None,
) -> None:
    """A registry, a conveyor and appliances in one process, as an agent's whole world."""
    from ..standin.appliance import Fleet, Make
    from ..standin.conveyor import Conveyor
    from ..standin.registry import Registry
    from ..standin.steer import Steering

    release = _release(settings)

    def start() -> None:
        passed = open_tap(tap)
        list_ = Registry(late=300_000, tap=passed)
        list_.listen_on(registry)
        fleet = Fleet(list_, Make(), random.Random(seed), passed, log_event=_say)
        builds = Conveyor(fleet, release, agents, _say, tap=passed)
        builds.listen_on(conveyor)
        Steering(list_, fleet, builds).listen_on(steer)
        for _ in range(appliances):
            fleet.launch(1, warm=True)
        _say("started", registry=registry, conveyor=conveyor, steer=steer)

    _forever(start)


@app.command()
def registry(
    listen: Annotated[str, typer.Option(help="Where it listens.")] = "127.0.0.1:7000",
    steer: Annotated[str, typer.Option(help="Where `standin steer` reaches it.")] = "127.0.0.1:7010",
    late: Annotated[str, typer.Option(help="Between a change and the word of it.")] = "300ms",
    tap: Tap = None,
) -> None:
    """A registry by itself; appliances enter themselves."""
    from ..settings.units import parse_time
    from ..standin.registry import Registry
    from ..standin.steer import Steering

    def start() -> None:
        list_ = Registry(late=parse_time(late), tap=open_tap(tap))
        Steering(list_, None, None).listen_on(steer)
        _say("started", listen=list_.listen_on(listen), steer=steer)

    _forever(start)


@app.command()
def appliance(
    registry: Annotated[str, typer.Option(help="Where they enter themselves.")] = "127.0.0.1:7000",
    steer: Annotated[str, typer.Option(help="Where `standin steer` reaches them.")] = "127.0.0.1:7002",
    count: Annotated[int, typer.Option(min=1, help="How many run from the start.")] = 8,
    build: Annotated[int, typer.Option(min=1, help="The build that they run.")] = 1,
    seed: Seed = 1,
    tap: Tap = None,
) -> None:
    """Appliances by themselves, on ports of their own."""
    from ..standin.appliance import Fleet, Make
    from ..standin.steer import RemoteRegistry, Steering

    def start() -> None:
        fleet = Fleet(RemoteRegistry(registry), Make(), random.Random(seed), open_tap(tap), log_event=_say)
        Steering(None, fleet, None).listen_on(steer)
        for _ in range(count):
            fleet.launch(build, warm=True)
        _say("started", steer=steer)

    _forever(start)


@app.command()
def conveyor(
    listen: Annotated[str, typer.Option(help="Where it listens.")] = "127.0.0.1:7001",
    registry: Annotated[str, typer.Option(help="Where the list is.")] = "127.0.0.1:7000",
    appliances: Annotated[str, typer.Option(help="Where `standin appliance` is steered.")] = "127.0.0.1:7002",
    steer: Annotated[str, typer.Option(help="Where `standin steer` reaches it.")] = "127.0.0.1:7011",
    agents: Annotated[int, typer.Option(min=1, help="How many agents may vote.")] = 1,
    settings: Annotated[
        Optional[Path], typer.Option(help="An agent's INI file, for its [release] section.")
    ] = None,
    tap: Tap = None,
) -> None:
    """A conveyor by itself; it launches and stops machines at `standin appliance`."""
    from ..standin.appliance import Make
    from ..standin.conveyor import Conveyor
    from ..standin.steer import RemoteFleet, Steering

    release = _release(settings)

    def start() -> None:
        builds = Conveyor(RemoteFleet(appliances, registry, Make()), release, agents, _say, tap=open_tap(tap))
        Steering(None, None, builds).listen_on(steer)
        _say("started", listen=builds.listen_on(listen), steer=steer)

    _forever(start)


@app.command()
def steer(
    what: Annotated[
        list[str],
        typer.Argument(
            help="Such as: m3 pause 300ms | all errors 0.2 | build 2 errors=0.3 | "
            "registry fail 1 | conveyor gone 1 | machine launch 1."
        ),
    ],
    address: Annotated[str, typer.Option(help="Where the field listens for it.")] = "127.0.0.1:7002",
) -> None:
    """Set a fault, or offer a build, while the field runs."""
    from ..standin.steer import send

    try:
        asyncio.run(send(address, " ".join(what)))
    except ValueError as error:
        fail(f"steer {' '.join(what)}: {error}")


@app.command()
def clients(
    addresses: Annotated[list[str], typer.Argument(metavar="HOST:PORT...", help="Of the agents.")],
    seconds: Annotated[float, typer.Option(help="How long calls are begun.")] = 10.0,
    rate: Annotated[float, typer.Option(help="First tries a second.")] = 100.0,
    like: Annotated[
        Optional[Path], typer.Option(help="JSON: kinds of calls, retries, keys, try_share.")
    ] = None,
    ends: Annotated[
        Optional[Path],
        typer.Option(help="Write when each call began, what it took and whether it succeeded."),
    ] = None,
    seed: Seed = 1,
    tap: Tap = None,
) -> None:
    """Light clients that call the demo's three operations, with retries and popular keys."""
    from ..standin.day import clients as run

    try:
        shape = json.loads(like.read_text()) if like else None
        print(json.dumps(asyncio.run(run(addresses, seconds, rate, seed, open_tap(tap), shape, ends))))
    except (OSError, ValueError, TypeError, AttributeError) as error:
        fail(
            f"clients: {error}: addresses as host:port, and --like as `cartweir replay --keep` writes it, are due"
        )


@app.command()
def receivers(
    record: Annotated[Path, typer.Option(help="Their store: each effect taken or refused is a line.")],
    listen: Annotated[str, typer.Option(help="Where controllers write to.")] = "127.0.0.1:7020",
    unfenced: Annotated[
        bool, typer.Option("--unfenced", help="Take whatever comes: a fault put in on purpose.")
    ] = False,
) -> None:
    """A host of machines and a target of steps, as controllers write to them."""
    from ..standin.receivers import serve

    _run(lambda: serve(listen, record, not unfenced, _say))


@app.command()
def cut(
    route: Annotated[list[str], typer.Argument(metavar="NAME=LISTEN=TARGET...", help="What passes where.")],
    steer: Annotated[str, typer.Option(help="Where `standin hurt` reaches it.")] = "127.0.0.1:7030",
) -> None:
    """A troublemaker between sockets: passes bytes on, and hurts them by command."""
    from ..standin.cut import serve

    parts = [text.split("=") for text in route]
    if bad := [text for text, found in zip(route, parts) if len(found) != 3]:
        fail(f"cut {bad[0]}: NAME=LISTEN=TARGET is due, such as a=127.0.0.1:0=127.0.0.1:7040")
    try:
        _run(lambda: serve([tuple(found) for found in parts], steer, _say))
    except ValueError as error:
        fail(f"cut: {error}")


@app.command()
def hurt(
    what: Annotated[
        list[str],
        typer.Argument(
            help="ROUTE|all and hold, pass, mute, close, reset, refuse, accept, delay TIME, "
            "slow BYTES or garble NUMBER; then out, back or both."
        ),
    ],
    address: Annotated[str, typer.Option(help="Where the cut is steered.")] = "127.0.0.1:7030",
) -> None:
    """Do something to what passes a running cut."""
    from ..standin.cut import PATH
    from ..standin.steer import send

    try:
        asyncio.run(send(address, " ".join(what), PATH))
    except ValueError as error:
        fail(f"hurt {' '.join(what)}: {error}")
