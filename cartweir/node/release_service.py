"""The client of the platform's release service: JSON-RPC 2.0, one object a line.

The service publishes the state of builds on one kept connection; each vote has a connection of its own.
"""

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

MAX_LINE_BYTES = 64 * 1024
CONNECT_TIMEOUT = 1_000_000  # microseconds
SILENCE_TIMEOUT = 3_000_000  # microseconds; the service sends something every second
MAX_LOGGED_REASON = 200  # characters

LISTEN_CALL_ID = 1
LISTEN_CALL = b'{"jsonrpc":"2.0","id":%d,"method":"listen"}\n' % LISTEN_CALL_ID

EventLogger = Callable[..., None]


class ConnectionLostError(Exception):
    """The connection is of no further use."""


# What a connection can fail with, besides internal errors.
_CONNECTION_ERRORS = (ConnectionLostError, OSError, ValueError, StreamClosedError)


async def _read_line(stream: IOStream, timeout: int) -> dict[str, Any]:
    """Returns the next JSON-RPC object.

    Raises:
        ConnectionLostError: There was none in time, or it cannot be read; nothing after it can be trusted.
    """
    try:
        # asyncio.wait_for may swallow a cancellation, and two tasks would listen.
        async with asyncio.timeout(timeout / 1e6):
            members = json.loads(await stream.read_until(b"\n", max_bytes=MAX_LINE_BYTES))
    except TimeoutError:
        raise ConnectionLostError(f"nothing for {timeout // 1000} ms") from None
    except StreamClosedError as error:
        raise ConnectionLostError(str(error.real_error or "closed by the other side")) from None
    except (ValueError, RecursionError, UnsatisfiableReadError) as error:
        raise ConnectionLostError(f"an unreadable line ({type(error).__name__})") from None
    if not isinstance(members, dict) or members.get("jsonrpc") != "2.0":
        raise ConnectionLostError("a line without a JSON-RPC 2.0 object")
    return members


class ReleaseServiceClient:
    """Receives the state of builds, and sends votes."""

    def __init__(
        self,
        engine_host: EngineHost,
        address: str,
        vote_timeout: int,
        backoff: Backoff,
        log_event: EventLogger,
    ) -> None:
        """Connects nothing yet.

        Args:
            engine_host: Receives the state of builds, flags, counts and answers to votes.
            address: Address of the service.
            vote_timeout: Microseconds for the answer to a vote, including the connection.
            backoff: Delays between attempts to listen.
            log_event: Logs an event.
        """
        self.engine_host, self.address, self.vote_timeout = engine_host, address, vote_timeout
        self.backoff, self.log_event = backoff, log_event
        self.stages = min(len(engine_host.settings["caps"]), len(engine_host.settings["shares"]))
        self._listener: asyncio.Task | None = None
        self._lost, self._call_count = False, 0

    def start(self, state: Mapping[str, Any]) -> None:
        """Begins to listen; state: the newest build's, as it stood when the agent was configured."""
        if state:
            try:
                self._apply_stage(state, None)
            except ValueError as error:
                self.log_event("stage_unknown", level="warning", why=str(error))
        self._listener = spawn(self._listen())

    def move(self, address: str) -> None:
        """Uses another address from now on."""
        if address != self.address:
            self.address, old = address, self._listener
            self._listener = spawn(self._listen())
            if old is not None:
                old.cancel()

    # ---- state of builds ----
    async def _listen(self) -> None:
        while True:
            connected, stream = False, None
            try:
                stream = await connect(*split_address(self.address), CONNECT_TIMEOUT)
                if asyncio.current_task().cancelling():  # swallowed on the way; another task listens by now
                    return
                stream.write(LISTEN_CALL)
                while True:
                    line = await _read_line(stream, SILENCE_TIMEOUT)
                    self._handle_line(line)
                    if not connected:
                        connected = True
                        self._note_recovery()
                    # Not before: a service that cannot be understood is asked less and less often.
                    self.backoff.reset()
            except _CONNECTION_ERRORS as error:
                if connected or not self._lost:
                    self._lost = True
                    self.log_event("desk_lost", level="warning", why=str(error)[:MAX_LOGGED_REASON])
            except Exception as error:  # an internal error: logged, and the one listener goes on
                internal_errors.log_internal_error(self.log_event, "in news", error)
            finally:
                if stream is not None:
                    stream.close()
            await asyncio.sleep(self.backoff.next_delay())

    def _note_recovery(self) -> None:
        if self._lost:
            self._lost = False
            self.log_event("desk_back")

    def _handle_line(self, line: Mapping[str, Any]) -> None:
        """Handles a line of the connection that listens.

        Raises:
            ConnectionLostError: It is none that the service sends, so something was spoilt on the way.
            ValueError: It cannot be read.
        """
        if line.get("id") != LISTEN_CALL_ID:
            self._handle_notification(line.get("method"), line.get("params"))
        elif line.get("result") is not True:
            raise ConnectionLostError(f"listen was answered {str(line)[:80]}")

    def _handle_notification(self, method: Any, params: Any) -> None:
        """Passes a notification on to the decisions.

        Raises:
            ConnectionLostError: It is none that the service sends.
            ValueError: It cannot be read.
        """
        match method:
            case "ping":
                pass
            case "news":
                self._apply_stage(params, None)
            case "report" if isinstance(params, dict):
                self.engine_host.apply_flag(
                    str(params.get("class")),
                    str(params.get("server")),
                    round(protocol.parse_number(params, "age_ms", 0) * 1000),
                )
            case "counts" if isinstance(params, dict):
                operation = self.engine_host.operations.get(str(params.get("class")))
                if operation is not None:
                    self.engine_host.apply_tally(protocol.parse_tally(params, operation))
            case _:
                raise ConnectionLostError(f"an unknown notification, {str(method)[:80]!r}")

    def _apply_stage(self, members: Any, vote_answer: str | None) -> None:
        """Passes the state of a build on to the decisions; raises ValueError if it cannot be read."""
        self.engine_host.apply_stage(protocol.parse_stage(members, self.stages, vote_answer))

    # ---- votes ----
    def vote(self, build: int, stage: int, verdict: str) -> None:
        """Sends a vote."""
        spawn(self._send_vote(build, stage, verdict))

    async def _send_vote(self, build: int, stage: int, verdict: str) -> None:
        """Sends a vote on a connection of its own.

        Only their order relates answers to calls, and votes are few.
        """
        outcome, state, written, stream = "error", None, False, None
        self._call_count += 1
        call = {
            "jsonrpc": "2.0",
            "id": self._call_count,
            "method": "verdict",
            "params": {"build": build, "stage": stage, "verdict": protocol.VERDICTS[verdict]},
        }
        try:
            async with asyncio.timeout(self.vote_timeout / 1e6):
                stream = await connect(*split_address(self.address), self.vote_timeout)
                written = True
                await stream.write(json.dumps(call).encode() + b"\n")
                answer = await _read_line(stream, self.vote_timeout)
                if answer.get("id") != call["id"]:
                    raise ConnectionLostError("an answer to another call")
                if "error" in answer:
                    message = answer["error"].get("message") if isinstance(answer["error"], dict) else None
                    outcome = (
                        protocol.REFUSALS.get(message, "timeout") if isinstance(message, str) else "timeout"
                    )
                else:
                    state, outcome = answer.get("result"), "ok"
        except (*_CONNECTION_ERRORS, TimeoutError):
            outcome = "timeout" if written else "error"  # once written, the vote may have been received
        finally:
            if stream is not None:
                stream.close()
        self.log_event("vote", build=build, stage=stage, verdict=verdict, answer=outcome)
        if outcome == "ok":
            try:
                self._apply_stage(state, "ok")
                return
            except ValueError:
                outcome = "timeout"
        self.engine_host.apply_stage(Stage(build, stage, ours.ON_TRIAL, 0.0, 0, outcome))
