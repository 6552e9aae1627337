"""All measurements, in the order in which the table prints them."""

from __future__ import annotations

from functools import partial

from . import agents, controllers
from .axes import Axis
from .node_lists import PlatformList
from .registry_watch import RegistryWatch
from .resident import ResidentAgent
from .workload import Measurement

AGENT, DATA_PATH = "agent, control", "agent, data path"
CONTROLLER, REGISTRY = "controller", "registry"

MEASUREMENTS: tuple[Measurement, ...] = (
    Measurement(
        "agent-change",
        AGENT,
        Axis.SERVERS,
        "one server restarted: roster and decisions",
        agents.OneChange,
        holds_state=True,
    ),
    Measurement(
        "agent-whole-list",
        AGENT,
        Axis.SERVERS,
        "a whole list that says nothing new: roster and decisions",
        agents.WholeList,
    ),
    Measurement(
        "agent-first-list",
        AGENT,
        Axis.SERVERS,
        "the first list of a start, before any stage is told",
        agents.FirstList,
        most_counted=1_500,
    ),
    Measurement(
        "agent-stage",
        AGENT,
        Axis.SERVERS,
        "the stage told again, as every few seconds",
        agents.StageRepeated,
    ),
    Measurement(
        "agent-watch-change",
        AGENT,
        Axis.SERVERS,
        "one server restarted: from the message to the decisions",
        partial(RegistryWatch, list_file=False, whole=False),
    ),
    Measurement(
        "agent-watch-change-kept",
        AGENT,
        Axis.SERVERS,
        "the same with a list_file, which is written anew",
        partial(RegistryWatch, list_file=True, whole=False),
    ),
    Measurement(
        "agent-watch-list",
        AGENT,
        Axis.SERVERS,
        "a whole list of our registry protocol: bytes to decisions",
        partial(RegistryWatch, list_file=False, whole=True),
    ),
    Measurement(
        "agent-platform-list",
        AGENT,
        Axis.SERVERS,
        "a whole list of the platform (JSON): bytes to decisions",
        PlatformList,
    ),
    Measurement(
        "agent-resident",
        AGENT,
        Axis.SERVERS,
        "a process with the gRPC agent's modules that holds a list",
        partial(ResidentAgent, kind="grpc"),
        repeats=False,
    ),
    Measurement(
        "node-resident",
        AGENT,
        Axis.SERVERS,
        "a process with the node's modules that holds a list",
        partial(ResidentAgent, kind="node"),
        repeats=False,
    ),
    Measurement(
        "agent-lists-rule",
        AGENT,
        Axis.SERVERS,
        "the rule on whole lists (fleet/list_filter.py) alone",
        agents.ListsRuling,
    ),
    Measurement(
        "agent-request",
        DATA_PATH,
        Axis.SERVERS,
        "a request picked, sent, answered; no build on trial",
        partial(agents.Requests, trial_share=0.0),
        operations=agents.REQUESTS,
    ),
    Measurement(
        "agent-request-trial",
        DATA_PATH,
        Axis.SERVERS,
        "the same while half of the servers run a build on trial",
        partial(agents.Requests, trial_share=0.5),
        operations=agents.REQUESTS,
    ),
    Measurement(
        "agent-quotas",
        AGENT,
        Axis.TENANTS,
        "the map of quotas read from the configuration",
        agents.TenantQuotas,
        holds_state=True,
    ),
    Measurement(
        "agent-fences",
        AGENT,
        Axis.DUTIES,
        "the stamp of one duty's decision judged",
        agents.Fences,
        holds_state=True,
    ),
    Measurement(
        "agent-hub",
        AGENT,
        Axis.AGENTS,
        "a half second's counts at the hub: all in, the sum out to all",
        agents.CountsHub,
    ),
    Measurement(
        "controller-news",
        CONTROLLER,
        Axis.AGENTS,
        "a decision told to all agents that listen",
        controllers.NewsToAgents,
    ),
    Measurement(
        "controller-ballot",
        CONTROLLER,
        Axis.AGENTS,
        "one more ballot applied after all agents have voted",
        controllers.Ballots,
        holds_state=True,
    ),
    Measurement(
        "controller-look",
        CONTROLLER,
        Axis.AGENTS,
        "an owner's look at one release after all agents have voted",
        controllers.LookAtVotes,
    ),
    Measurement(
        "controller-coming-back",
        CONTROLLER,
        Axis.AGENTS,
        "all agents begin to listen at once, at one controller",
        controllers.ComingBack,
    ),
    Measurement(
        "controller-entry",
        CONTROLLER,
        Axis.MEMBERS,
        "one ballot through the log, until its leader knows it decided",
        controllers.LogEntry,
    ),
    Measurement(
        "controller-idle",
        CONTROLLER,
        Axis.MEMBERS,
        "a second without decisions, all members together",
        controllers.Heartbeats,
    ),
    Measurement(
        "registry-change",
        REGISTRY,
        Axis.AGENTS,
        "one entry told to all agents that watch (stand-in registry)",
        controllers.ListsToAgents,
    ),
)

BY_NAME = {measurement.name: measurement for measurement in MEASUREMENTS}
