"""Stand-ins of what controllers write to: the machines' host and the target of steps, in one process.

Each effect that is taken, and each that is refused, is a line of one file, synced before it is answered. The
file is the receivers' own store, from which they restart, and a test judges by it.
"""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Any

from google.protobuf.message import DecodeError

from ..fleet.fencing import Fence, FencingToken
from ..fleet.step_target import StepTarget, StepVerdict
from ..hosting.clock import monotonic
from ..proto import agent_pb2 as pb
from ..wire.calls import CallError, Request, Service
from ..wire.grpc import Status

MACHINES = "machines"
ANSWERS = {
    StepVerdict.RUN: pb.Ran.DONE,
    StepVerdict.DONE: pb.Ran.DONE,
    StepVerdict.LATE: pb.Ran.LATE,
    StepVerdict.EARLY: pb.Ran.EARLY,
}


class Receivers(Service):
    """Serves the calls of controllers.

    Attributes:
        boot: Microseconds until wanted machines run.
        fenced: Whether calls of earlier owners are refused; False is a fault put in on purpose.
        fleet: Whose machines are meant, or None. Has `want(machines by build)`, and `runs(build)`: whether
            all machines wanted of a build run.
        target: What the steps act on.
        fence: Refuses the calls of earlier owners.
    """

    def __init__(self, path: Path, boot: int = 200_000, fenced: bool = True, fleet: Any = None) -> None:
        super().__init__()
        self.boot, self.fenced, self.fleet = boot, fenced, fleet
        self.target, self.fence = StepTarget(), Fence()
        self._wanted: tuple | None = None
        self._since = 0
        self._recover(path)
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self.handlers["/cartweir.v1.Machines/Want"] = self._want
        self.handlers["/cartweir.v1.Steps/Run"] = self._run

    def _recover(self, path: Path) -> None:
        """A last line cut short was never answered: it is cut off."""
        if not path.exists():
            return
        data = path.read_bytes()
        whole = data.rfind(b"\n") + 1
        if whole < len(data):
            os.truncate(path, whole)
        for line in data[:whole].splitlines():
            row = json.loads(line)
            stamp = FencingToken(row["epoch"], row["index"])
            if row["kind"] == MACHINES and row["taken"]:
                self.fence.accept(stamp)
            elif (
                row["kind"] == "step"
                and self.target.judge(row["duty"], stamp, row["number"]) == StepVerdict.RUN
                and row["how"] == StepVerdict.RUN
            ):
                self.target.record(row["duty"], row["name"])

    def _keep(self, **row: Any) -> None:
        os.write(self._file, json.dumps({"time": monotonic(), **row}).encode() + b"\n")
        os.fsync(self._file)

    # ---- machines ----
    async def _want(self, request: Request) -> bytes:
        try:
            wanted = pb.Wanted.FromString(request.message)
        except DecodeError:
            raise CallError(Status.INVALID_ARGUMENT, "no cartweir.v1.Wanted") from None
        stamp = FencingToken(wanted.stamp.epoch, wanted.stamp.index)
        new = (stamp, dict(wanted.machines), wanted.build, wanted.stage) != self._wanted
        taken = self.fence.accept(stamp) or not self.fenced
        if new or not taken:
            self._keep(
                kind=MACHINES,
                duty=wanted.stamp.duty,
                epoch=stamp.epoch,
                index=stamp.index,
                taken=taken,
                wanted={str(b): n for b, n in sorted(wanted.machines.items())},
                build=wanted.build,
                stage=wanted.stage,
            )
        if taken and new:
            if self._wanted is None or self._wanted[1:] != (
                dict(wanted.machines),
                wanted.build,
                wanted.stage,
            ):
                self._since = monotonic()
            self._wanted = (stamp, dict(wanted.machines), wanted.build, wanted.stage)
            if self.fleet is not None:
                self.fleet.want(dict(wanted.machines))
        running = taken and (
            self.fleet.runs(wanted.build)
            if self.fleet is not None
            else (monotonic() - self._since >= self.boot)
        )
        return pb.Standing(
            taken=taken,
            running=running,
            seen=pb.Stamp(duty=wanted.stamp.duty, epoch=self.fence.seen.epoch, index=self.fence.seen.index),
        ).SerializeToString()

    # ---- steps ----
    async def _run(self, request: Request) -> bytes:
        try:
            step = pb.Step.FromString(request.message)
        except DecodeError:
            raise CallError(Status.INVALID_ARGUMENT, "no cartweir.v1.Step") from None
        duty, stamp = step.stamp.duty, FencingToken(step.stamp.epoch, step.stamp.index)
        how = self.target.judge(duty, stamp, step.number)
        if not self.fenced:
            how = StepVerdict.RUN
        if how in (StepVerdict.RUN, StepVerdict.LATE):
            # the step itself is this line: done and noted in one act
            self._keep(
                kind="step",
                duty=duty,
                epoch=stamp.epoch,
                index=stamp.index,
                number=step.number,
                name=step.name,
                begun=step.begun,
                how=how,
            )
        if how == StepVerdict.RUN:
            self.target.record(duty, step.name)
        seen = self.target.fences[duty].seen
        said = ANSWERS[how]
        return pb.Ran(
            how=said, seen=pb.Stamp(duty=duty, epoch=seen.epoch, index=seen.index)
        ).SerializeToString()


async def serve(listen: str, path: Path, fenced: bool, say: Any) -> None:
    """Raises OSError."""
    say("started", listen=Receivers(path, fenced=fenced).listen_on(listen))
    await asyncio.Event().wait()
