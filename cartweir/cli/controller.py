"""Command line of the controllers."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Annotated, Any, Optional

import typer

from .common import fail

app = typer.Typer(no_args_is_help=True, help="The release controller: one of 3 or 5 that decide together.")
SettingsFile = Annotated[
    Path, typer.Option("--settings", "-s", help="The controller's INI file.", metavar="FILE")
]
At = Annotated[str, typer.Option("--at", help="Any controllers, host:port by commas.", metavar="ADDRESSES")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def _document(file: Path) -> Any:
    from ..controller.settings import read_controller
    from ..settings.ini import BadInputError

    try:
        return read_controller(file)
    except BadInputError as error:
        fail(str(error))


@app.command()
def found(file: SettingsFile) -> None:
    """Make the directory of a member of a new cluster; once at each of its [members]."""
    from ..controller.directory import create_founding_directory as make
    from ..controller.store import StoreError

    document = _document(file)
    try:
        make(document)
    except (StoreError, ValueError) as error:
        fail(f"{file}: {error}")
    print(
        f"{document.controller.directory}: made for {document.controller.name} of cluster {document.controller.cluster}"
    )


@app.command()
def join(file: SettingsFile) -> None:
    """Make an empty directory for a member that is new, or lost its own; `admit` lets it in."""
    from ..controller.directory import create_joining_directory as make
    from ..controller.store import StoreError

    document = _document(file)
    try:
        mark = make(document)
    except StoreError as error:
        fail(f"{file}: {error}")
    print(
        f"{document.controller.directory}: made; start it, then: cartweir controller admit {document.controller.name} "
        f"--mark {mark} --address {document.controller.listen} --at ADDRESSES"
    )


@app.command()
def recover(
    file: SettingsFile,
    others_are_gone: Annotated[
        bool, typer.Option("--others-are-gone", help="Most directories are lost for good.")
    ] = False,
) -> None:
    """A majority of directories is lost: go on with this one alone, as a new incarnation above all earlier epochs."""
    from ..controller.directory import recover_directory as make
    from ..controller.store import DiskFailedError, StoreError

    document = _document(file)
    if not others_are_gone:
        fail(
            "recover: what only the lost directories held is lost with them, and a member of the old incarnation must not be "
            "started again: --others-are-gone is due if that is so; nothing was touched"
        )
    try:
        number, index = make(document)
    except (StoreError, DiskFailedError, ValueError) as error:
        fail(f"{file}: {error}")
    print(
        f"{document.controller.directory}: incarnation {number}, from decision {index} on; start it, then join others"
    )


@app.command()
def run(file: SettingsFile) -> None:
    """Run one controller until SIGTERM."""
    from ..controller.daemon import run as serve
    from ..controller.directory import open_store
    from ..controller.store import StoreError

    document = _document(file)
    try:
        store = open_store(document)
    except (StoreError, ValueError) as error:
        fail(f"{file}: {error}", 1)
    try:
        why = asyncio.run(serve(document, store))
    except OSError as error:
        fail(
            f"{file}: [controller] listen = {document.controller.listen}: {error.strerror or error}: an address that is free "
            "on this machine is due",
            1,
        )
    if why:
        fail(why, 1)


# ---- asking ----
def _ask(at: str, asked: dict[str, Any], patience: float = 5.0) -> Any:
    """Of whichever answers, and whom it names as the leader."""
    from ..proto import agent_pb2 as pb
    from ..settings.units import parse_list
    from ..wire.calls import CallError, Channel
    from ..wire.grpc import Status

    async def ask() -> Any:
        addresses, why = list(parse_list(at)), "no address was given"
        end, turn, named = time.monotonic() + patience, 0, None
        while addresses and time.monotonic() < end:
            address, named, turn = named or addresses[turn % len(addresses)], None, turn + (named is None)
            channel = Channel(address, 500_000)
            try:
                message = pb.Text(json=json.dumps(asked)).SerializeToString()
                answer = json.loads(
                    pb.Text.FromString(
                        (await channel.unary("/cartweir.v1.Controller/Ask", message, 3_000_000)).message
                    ).json
                )
            except CallError as error:
                if error.status in (Status.INVALID_ARGUMENT, Status.FAILED_PRECONDITION):
                    fail(f"{asked['ask']}: {error.text}")
                why = str(error)
            except ValueError as error:
                fail(f"--at {address}: {error}")
            else:
                if isinstance(answer, dict) and set(answer) == {"leader", "address"}:
                    why, named = "no leader is known", answer["address"]
                else:
                    return answer
            finally:
                channel.close()
            await asyncio.sleep(0.1)
        fail(f"{asked['ask']}: nobody could answer: {why}", 1)

    return asyncio.run(ask())


@app.command()
def status(at: At, as_json: AsJson = False) -> None:
    """Who leads, who owns what, which build is where."""
    found = _ask(at, {"ask": "status"})
    if as_json:
        print(json.dumps(found, indent=1))
        return
    print(
        f"{found['name']}: {found['role']}, term {found['term']}, leader {found['leader'] or 'none'}, "
        f"decided {found['decided']}, incarnation {found['incarnation']}"
    )
    for name, row in found["members"].items():
        print(
            f"  member {name} at {row['address']}{'' if row['votes'] else ', listens only'}"
            f"{'' if row['answers'] or found['role'] != 'leader' else ', silent'}"
        )
    for name, row in found["duties"].items():
        print(f"  duty {name}: {row['owner'] or 'no owner'}, epoch {row['epoch']}, decision {row['index']}")
    release = found["release"]
    print(
        f"  build {release['build']}, stage {release['stage']}, {release['phase']}, cap {release['cap']:g}, "
        f"votes on {release['votes']['on']}, back {release['votes']['back']}"
    )
    for name, row in found["steps"].items():
        print(
            f"  steps {name}: done {', '.join(row['done']) or 'none'}; next {row['next'] or 'none'} ({row['how']}) {row['why']}"
        )


@app.command()
def history(at: At, as_json: AsJson = False) -> None:
    """Who owned what since when, and why."""
    rows = _ask(at, {"ask": "history"})
    if as_json:
        print(json.dumps(rows, indent=1))
        return
    for row in rows:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row["wall"] / 1e6))
        print(f"{when}  {row['duty']}: {row['owner'] or 'nobody'}, epoch {row['epoch']}: {row['why']}")


@app.command()
def offer(
    build: Annotated[int, typer.Argument(min=1)],
    at: At,
    machines: Annotated[
        int, typer.Option(min=1, help="Machines of the fleet, of which stages take their share.")
    ],
) -> None:
    """Offer a build: its first stage begins."""
    print(json.dumps(_ask(at, {"ask": "offer", "build": build, "machines": machines})))


@app.command("hand-over")
def hand_over(
    duty: Annotated[str, typer.Argument(help="release, or 'steps NAME'.")],
    at: At,
    to: Annotated[Optional[str], typer.Option(help="The new owner; without it, any that answers.")] = None,
) -> None:
    """Give a duty to another member."""
    print(f"{duty}: to {_ask(at, {'ask': 'hand-over', 'duty': duty, 'to': to})['to']}")


@app.command()
def lead(to: Annotated[str, typer.Argument(help="A member that votes.")], at: At) -> None:
    """Give the leadership to another member."""
    print(f"leadership: to {_ask(at, {'ask': 'lead', 'to': to})['to']}")


@app.command()
def admit(
    name: str,
    at: At,
    mark: Annotated[str, typer.Option(help="As `join` told it.")],
    address: Annotated[str, typer.Option(help="Where the others reach it.")],
) -> None:
    """Let a member in that has joined: first it listens, and votes once it holds the log."""
    _ask(at, {"ask": "admit", "name": name, "mark": mark, "address": address})
    print(f"{name}: is being admitted; `status` tells when it votes")


@app.command()
def dismiss(name: str, at: At) -> None:
    """Take a member off for good."""
    _ask(at, {"ask": "dismiss", "name": name})
    print(f"{name}: dismissed")


@app.command()
def retry(steps: Annotated[str, typer.Argument(help="NAME of [steps NAME].")], at: At) -> None:
    """Try a step that has failed once more."""
    print(json.dumps(_ask(at, {"ask": "retry", "steps": steps})))
