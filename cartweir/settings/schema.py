"""Every section and key of an agent's settings, with its type, default and meaning.

The decisions read the keys of [allowed], [release], [appliances] and [operation ...] under the same names.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from .units import (
    Address,
    AddressList,
    CoreCount,
    Count,
    Duration,
    Flag,
    NameList,
    Number,
    PositiveCount,
    PositiveDuration,
    Share,
    ShareList,
    Size,
)

OPERATION_SECTION = "operation NAME"

_METHOD_PATH = re.compile(r"/[A-Za-z_][\w.]*/[A-Za-z_]\w*")


class Section(BaseModel):
    """A section of a file; keys that it does not define are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class AgentSection(Section):
    """The agent itself."""

    listen: Address = Field(description="where clients and other agents connect; port 0 takes any free one")
    me: Count = Field(0, description="number of this agent, from 0, different at each")
    agents: PositiveCount = Field(1, description="how many agents there are in all")
    zone: Annotated[str, "name"] = Field("", description="zone in which it runs")
    seed: Annotated[int | None, "whole number"] = Field(
        None, description="of its chance; drawn anew where absent"
    )
    tick: PositiveDuration = Field(
        10_000, description="how late the loop may usually be; answers are given two of these early"
    )
    heartbeat: PositiveDuration = Field(
        50_000,
        description="the loop wakes at least so often; an agent that is stopped or "
        "starved for longer takes what came meanwhile to have come that much earlier",
    )
    drain_time: PositiveDuration = Field(
        30_000_000, description="longest wait for held invocations after SIGTERM"
    )
    cores: CoreCount = Field(
        1,
        description="parts that carry calls, each a process; one more decides; 1: a single process "
        "does both; auto: one for each core but one",
    )
    hang_time: PositiveDuration = Field(
        5_000_000,
        description="with cores above 1: a part whose loop has not turned for so long is "
        "ended by force and started anew",
    )
    list_file: Annotated[str | None, "path"] = Field(
        None,
        description="keeps the last list of appliances, from which the agent starts while the "
        "registry is away",
    )
    stage_file: Annotated[str | None, "path"] = Field(
        None,
        description="keeps which of the controllers' decisions was followed last, so that none older is "
        "after a restart",
    )
    facts_file: Annotated[str | None, "path"] = Field(
        None,
        description="keeps which one-way keys may be bound, so that none goes back after a restart; "
        "one process at a time",
    )
    facts_most: Size = Field(
        4 << 20, description="largest such file; beyond it the older half of the keys is left out"
    )


class RegistrySection(Section):
    """Where the list of appliances comes from."""

    address: Address = Field(description="of the registry")
    mode: Annotated[Literal["push", "ask"], "push or ask"] = Field(
        "push",
        description="push: the agent keeps a watch open; ask: the decisions ask for a watch or a fetch",
    )
    drop_share: Share = Field(
        0.5,
        description="one list may drop this share of the ready appliances at once; of a list that drops "
        "more, none is dropped for hold_time: it may be a registry that has lost its own",
    )
    hold_time: PositiveDuration = Field(15_000_000, description="see drop_share")
    call_timeout: PositiveDuration = Field(
        2_000_000, description="longest wait for a fetch or for the first list of a watch"
    )


class ConveyorSection(Section):
    """Where news of builds comes from and votes go to."""

    address: AddressList = Field(
        description="of the conveyor, or of all controllers: any of them tells and counts for all"
    )
    vote_timeout: PositiveDuration = Field(
        1_000_000, description="a vote without an answer by then may count"
    )
    silence: PositiveDuration = Field(
        10_000_000,
        description="of several, one that says nothing for so long is left for the next; they "
        "tell the stage again every 4 s",
    )


class AllowedSection(Section):
    """What this deployment allows its agents."""

    may_cancel: Flag = Field(True, description="dispatches that are not needed any more are cancelled")
    may_probe: Flag = Field(True, description="appliances may be probed by grpc.health.v1 Check")
    may_message: Flag = Field(False, description="agents may send each other short messages, see [peers]")
    may_duplicate: Flag = Field(
        True, description="a second copy may be sent while the first runs, where the operation allows repeats"
    )
    may_advise: Flag = Field(True, description="a throttled client is told when to come back")
    max_advice: Duration = Field(1_000_000, description="longest such advice")
    dispatch_limit: PositiveCount = Field(5, description="dispatches an invocation may have")
    probe_price: Number = Field(
        0.0,
        description="what one probe an invocation costs, as a part of the worth asked for; above "
        "0.01, probes are that much rarer",
    )
    connect_price: Number = Field(
        0.0, description="what one new connection an invocation costs; above 0, standing ones go first"
    )


class AppliancesSection(Section):
    """What is known of appliances, and how they are reached."""

    cold_share: Share = Field(
        1.0, description="part of its capacity that one has right after its start; 1: none is cold"
    )
    warm_time: Duration = Field(0, description="time after its start by which it is warm")
    fall_multiple: Number = Field(
        1.0, description="sent more than this multiple of what it can do, a cold one falls over"
    )
    drain_grace: Duration = Field(
        2_000_000, description="how soon after the news nothing may go to one that drains"
    )
    connect_timeout: PositiveDuration = Field(250_000, description="longest wait for a connection")
    probe_timeout: PositiveDuration = Field(250_000, description="longest wait for a probe's answer")
    streams: PositiveCount = Field(
        100, description="dispatches on one connection at once, where the appliance allows them"
    )
    connections: PositiveCount = Field(8, description="connections to one appliance at once")
    idle_time: PositiveDuration = Field(
        30_000_000, description="a connection without use is closed after this"
    )


class ReleaseSection(Section):
    """How builds are brought in, and the rule on exposure."""

    control: Annotated[Literal["any", "share", "timer"], "any, share or timer"] = Field(
        "any",
        description="what moves a stage on: any one vote, a share of all agents, or a timer that "
        "votes can hold",
    )
    in_place: Flag = Field(False, description="earlier appliances drain as soon as their successor runs")
    shares: ShareList = Field(min_length=1, description="part of the fleet that runs the new build, by stage")
    caps: ShareList = Field(
        min_length=1, description="most of an agent's invocations at a build on trial, by stage"
    )
    window: PositiveDuration = Field(
        4_000_000, description="over which dispatches at a build on trial are counted"
    )
    free: Number = Field(1.0, description="dispatches in the window beyond the cap's share")
    per_operation: Flag = Field(False, description="counted for each operation by itself")
    guarded_stages: Count = Field(0, description="first stages that are open to idempotent operations alone")
    one_way: Flag = Field(False, description="a key that the new build has answered goes to no earlier one")
    on_votes: Count = Field(1, description="agents that must stand for going on")
    hold_votes: Count = Field(0, description="agents that halt the clock; control = timer alone")
    back_votes: PositiveCount = Field(1, description="agents that send a build back")
    vote_life: PositiveDuration = Field(6_000_000, description="for how long a vote stands")
    vote_allowance: Number = Field(
        100.0, description="votes a second that the conveyor takes from all agents"
    )
    flag_share: Share = Field(0.0, description="part of the wrong answers that clients report")
    tally_time: Duration = Field(
        0, description="length of the periods that the conveyor's sampled counts cover; 0: it sends none"
    )

    @model_validator(mode="after")
    def _consistent(self) -> ReleaseSection:
        if len(self.shares) != len(self.caps):
            raise ValueError(
                f"shares has {len(self.shares)} stages, caps {len(self.caps)}: one value each a stage is due"
            )
        for name in ("shares", "caps"):
            values = getattr(self, name)
            if list(values) != sorted(values):
                raise ValueError(f"{name} falls from one stage to the next: rising values are due")
        if self.guarded_stages > len(self.caps):
            raise ValueError(
                f"guarded_stages is {self.guarded_stages}: at most the {len(self.caps)} stages there are"
            )
        if self.hold_votes and self.control != "timer":
            raise ValueError("hold_votes is set: control = timer is due, elsewhere nothing is held")
        return self


class OperationSection(Section):
    """One operation; the section is named [operation NAME]."""

    methods: NameList = Field(
        min_length=1, description="gRPC methods that are this operation, as /package.Service/Method"
    )
    effect: Annotated[
        Literal["idempotent", "fingerprinted", "side-effecting"],
        "idempotent, fingerprinted or side-effecting",
    ] = Field(description="whether it may run again")
    group: Annotated[Literal["all", "zone", "cell"], "all, zone or cell"] = Field(
        "all", description="fingerprinted: which appliances together drop repeats"
    )
    window: Duration = Field(0, description="fingerprinted: for how long after the dispatch they do")
    slo_time: PositiveDuration = Field(description="an answer within it has its full value")
    time_limit: PositiveDuration = Field(
        description="a client waits no longer, whatever its grpc-timeout says"
    )
    billed_value: Number = Field(1.0, description="value of an answer beside other operations")
    late_value: Share = Field(0.0, description="part of that value after the SLO time")
    stream: Flag = Field(False, description="answers are streams: passed on from the first byte")

    @model_validator(mode="after")
    def _consistent(self) -> OperationSection:
        if self.slo_time > self.time_limit:
            raise ValueError("slo_time is longer than time_limit: at most as long is due")
        if (self.effect == "fingerprinted") != (self.window > 0):
            raise ValueError("window above 0 is due for effect = fingerprinted, and for no other")
        for path in self.methods:
            if not _METHOD_PATH.fullmatch(path):
                raise ValueError(f"methods has {path!r}: /package.Service/Method is due")
        return self


class WireSection(Section):
    """Bounds of the wire towards clients and appliances."""

    connections: PositiveCount = Field(
        2000, description="client connections at once; more are closed unheard"
    )
    streams: PositiveCount = Field(
        1000, description="calls on one client connection at once; more are refused unseen"
    )
    window: Annotated[Size, Field(ge=65_535, le=2**31 - 1)] = Field(
        256 << 10, description="bytes of one call that may wait here unread, each way"
    )
    message: Size = Field(4 << 20, description="largest request message")
    request_memory: Size = Field(
        32 << 20,
        description="bytes that the requests of all clients may hold, headers and bodies; at least two of "
        "the largest messages. Beyond it incomplete ones are refused, the largest first, others throttled",
    )
    request_timeout: PositiveDuration = Field(
        5_000_000,
        description="time for a whole request, of clients that do not say how long they wait, and for "
        "each frame or header block of a connection; behind it the call or the connection is ended",
    )
    answer: Size = Field(64 << 20, description="largest answer message")
    header_list: Size = Field(32 << 10, description="largest header block")
    hold: Size = Field(
        1 << 20,
        description="an answer is held whole up to this size, so that a failure behind its "
        "first bytes can be repaired; a larger one is passed on as it comes",
    )
    reconnect_least: PositiveDuration = Field(
        100_000, description="first wait before registry, conveyor or peer is tried again; doubles each time"
    )
    reconnect_most: PositiveDuration = Field(5_000_000, description="longest such wait")


class LogSection(Section):
    """What is logged, on standard error."""

    format: Annotated[Literal["console", "json"], "console or json"] = Field(
        "console", description="lines for people or JSON"
    )
    level: Annotated[Literal["debug", "info", "warning", "error"], "debug, info, warning or error"] = Field(
        "info", description="least level that is logged"
    )


class AgentDocument(Section):
    """A whole file."""

    agent: AgentSection
    registry: RegistrySection
    conveyor: ConveyorSection
    allowed: AllowedSection = AllowedSection()
    appliances: AppliancesSection = AppliancesSection()
    release: ReleaseSection
    wire: WireSection = WireSection()
    log: LogSection = LogSection()
    peers: dict[Annotated[int, Field(ge=0)], Address] = Field(
        {}, description="address of each other agent, by number"
    )
    operations: dict[str, OperationSection] = Field(min_length=1)

    @model_validator(mode="after")
    def _consistent(self) -> AgentDocument:
        problems, owner = [], {}
        if self.agent.me >= self.agent.agents:
            agents = self.agent.agents
            problems.append(f"[agent] me: {self.agent.me} of {agents} agents: 0 to {agents - 1} is due")
        for name, operation in self.operations.items():
            for path in operation.methods:
                if path in owner:
                    also = f"{path} is also in [operation {owner[path]}]"
                    problems.append(f"[operation {name}] methods: {also}: once is due")
                owner.setdefault(path, name)
        if self.allowed.may_message and self.agent.agents > 1:
            missing = [str(n) for n in range(self.agent.agents) if n != self.agent.me and n not in self.peers]
            if missing:
                agents = ", ".join(missing)
                due = "one each is due where may_message = yes"
                problems.append(f"[peers]: no address for agent {agents}: {due}")
        if problems:
            raise ValueError("\n".join(problems))
        return self

    def decision_settings(self) -> dict[str, Any]:
        """Returns the mapping that the decisions read; operations are handed over separately."""
        return {
            **self.allowed.model_dump(),
            **self.appliances.model_dump(),
            **self.release.model_dump(),
            "me": self.agent.me,
            "agents": self.agent.agents,
            "zone": self.agent.zone,
            "tick": self.agent.tick,
            "must_ask": self.registry.mode == "ask",
        }


SECTIONS: dict[str, type[Section]] = {
    "agent": AgentSection,
    "registry": RegistrySection,
    "conveyor": ConveyorSection,
    "allowed": AllowedSection,
    "appliances": AppliancesSection,
    "release": ReleaseSection,
    "wire": WireSection,
    "log": LogSection,
    OPERATION_SECTION: OperationSection,
}
