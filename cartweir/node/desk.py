"""The platform's desk: news on a connection of their own, and votes. JSON-RPC 2.0, one object a line."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from .. import interface as ours
from ..hosting import internal_errors
from ..hosting.backoff import Backoff
from ..hosting.engine_host import EngineHost
from ..hosting.tcp import connect, spawn, split_address
from ..interface import Stage
from . import protocol

MOST_LINE = 64 * 1024
CONNECT = 1_000_000  # microseconds
QUIET = 3_000_000  # a sign of life is due every second
EventLogger = Callable[..., None]


class Lost(Exception):
    """The connection is of no further use."""


async def _line(stream: IOStream, wait: int) -> dict[str, Any]:
    """Raises Lost: what can't be read says nothing, and nothing behind it is to be trusted."""
    try:
        async with asyncio.timeout(wait / 1e6):  # wait_for may swallow the word to end: two would listen
            told = json.loads(await stream.read_until(b"\n", max_bytes=MOST_LINE))
    except TimeoutError:
        raise Lost(f"nothing for {wait // 1000} ms") from None
    except StreamClosedError as error:
        raise Lost(str(error.real_error or "closed by the other side")) from None
    except (ValueError, RecursionError, UnsatisfiableReadError) as error:
        raise Lost(f"a line that can't be read ({type(error).__name__})") from None
    if not isinstance(told, dict) or told.get("jsonrpc") != "2.0":
        raise Lost("a line that is no JSON-RPC")
    return told


class Desk:
    def __init__(
        self,
        engine_host: EngineHost,
        address: str,
        vote_timeout: int,
        backoff: Backoff,
        log_event: EventLogger,
    ) -> None:
        self.engine_host, self.address, self.vote_timeout, self.backoff, self.log_event = (
            engine_host,
            address,
            vote_timeout,
            backoff,
            log_event,
        )
        self.stages = min(len(engine_host.settings["caps"]), len(engine_host.settings["shares"]))
        self._listener: asyncio.Task | None = None
        self._lost, self._calls = False, 0

    def start(self, state: Mapping[str, Any]) -> None:
        """With the newest build's state as it stood at the start."""
        if state:
            try:
                self._stage(state, None)
            except ValueError as error:
                self.log_event("stage_unknown", level="warning", why=str(error))
        self._listener = spawn(self._listening())

    def move(self, address: str) -> None:
        if address != self.address:
            self.address, old = address, self._listener
            self._listener = spawn(self._listening())
            if old is not None:
                old.cancel()

    # ---- news ----
    async def _listening(self) -> None:
        while True:
            told, stream = False, None
            try:
                stream = await connect(*split_address(self.address), CONNECT)
                if asyncio.current_task().cancelling():  # swallowed on the way: another listens by now
                    return
                stream.write(b'{"jsonrpc":"2.0","id":1,"method":"listen"}\n')
                while True:
                    line = await _line(stream, QUIET)
                    if line.get("id") == 1 and line.get("result") is not True:
                        raise Lost(f"listen was answered {str(line)[:80]}")
                    if not told:
                        told = True
                        if self._lost:
                            self._lost = False
                            self.log_event("desk_back")
                    self._news(line.get("method"), line.get("params"))
                    self.backoff.reset()  # not before: what never can be read is asked for ever more rarely
            except (Lost, OSError, ValueError, StreamClosedError) as error:
                if told or not self._lost:
                    self._lost = True
                    self.log_event("desk_lost", level="warning", why=str(error)[:200])
            except Exception as error:  # a fault of ours: told, and the one listener goes on
                internal_errors.log_internal_error(self.log_event, "in news", error)
            finally:
                if stream is not None:
                    stream.close()
            await asyncio.sleep(self.backoff.next_delay())

    def _news(self, method: Any, told: Any) -> None:
        """Raises ValueError."""
        if method == "news":
            self._stage(told, None)
        elif method == "report" and isinstance(told, dict):
            self.engine_host.apply_flag(
                str(told.get("class")),
                str(told.get("server")),
                round(protocol.figure(told, "age_ms", 0) * 1000),
            )
        elif method == "counts" and isinstance(told, dict):
            operation = self.engine_host.operations.get(str(told.get("class")))
            if operation is not None:
                self.engine_host.apply_tally(protocol.tally_of(told, operation))

    def _stage(self, told: Any, answer: str | None) -> None:
        """Raises ValueError."""
        self.engine_host.apply_stage(protocol.stage_of(told, self.stages, answer))

    # ---- votes ----
    def vote(self, build: int, stage: int, verdict: str) -> None:
        spawn(self._voting(build, stage, verdict))

    async def _voting(self, build: int, stage: int, verdict: str) -> None:
        """On a connection of its own: order is all that links answers to calls, and votes are few."""
        how, told, written, stream = "error", None, False, None
        self._calls += 1
        call = {
            "jsonrpc": "2.0",
            "id": self._calls,
            "method": "verdict",
            "params": {"build": build, "stage": stage, "verdict": protocol.VERDICTS[verdict]},
        }
        try:
            async with asyncio.timeout(self.vote_timeout / 1e6):
                stream = await connect(*split_address(self.address), self.vote_timeout)
                written = True
                await stream.write(json.dumps(call).encode() + b"\n")
                answer = await _line(stream, self.vote_timeout)
                if answer.get("id") != call["id"]:
                    raise Lost("an answer to another call")
                if "error" in answer:
                    message = answer["error"].get("message") if isinstance(answer["error"], dict) else None
                    how = protocol.REFUSALS.get(message, "timeout") if isinstance(message, str) else "timeout"
                else:
                    told, how = answer.get("result"), "ok"
        except (Lost, OSError, ValueError, StreamClosedError, TimeoutError):
            how = "timeout" if written else "error"  # it may have been heard once it was written
        finally:
            if stream is not None:
                stream.close()
        self.log_event("vote", build=build, stage=stage, verdict=verdict, answer=how)
        if how == "ok":
            try:
                self._stage(told, "ok")
                return
            except ValueError:
                how = "timeout"
        self.engine_host.apply_stage(Stage(build, stage, ours.ON_TRIAL, 0.0, 0, how))
