"""One-way keys: one that a build has answered goes to no earlier build, unless that build is sent back."""

from __future__ import annotations

from ..interface import CANCELLED, ON_TRIAL, RESET, SUCCEEDED, TIMEOUT, Invocation, Outcome
from ..state import AgentState

MAX_BOUND_KEYS = 20_000
UNREAD = frozenset(
    (RESET, TIMEOUT, CANCELLED)
)  # results after which an answer may have been given, but not read


def one_way_key(state: AgentState, invocation: Invocation) -> str | None:
    """Returns the invocation's key; None where it has none, or keys may go back."""
    return (invocation.key or None) if state.settings["one_way"] else None


def binds_key(state: AgentState, build: int) -> bool:
    """Returns whether an answer of the build binds a one-way key."""
    return state.stage is not None and build >= state.stage.build + (state.stage.phase != ON_TRIAL)


def lowest_build(state: AgentState, key: str) -> int:
    """Returns the newest build that has answered a one-way key, or may have: none below it gets the key.

    A build may have answered from the moment at which a dispatch leaves for it: an answer that got lost looks
    like one that is not written yet.
    """
    builds = state.keys_out.get(key)
    outstanding = max((build for build in builds if binds_key(state, build)), default=0) if builds else 0
    return max(state.bound_keys.get(key, 0), outstanding)


def record_dispatch(state: AgentState, key: str, build: int) -> None:
    """Records that a dispatch with a one-way key leaves for a build."""
    state.keys_out.setdefault(key, []).append(build)


def record_key_outcome(state: AgentState, key: str, outcome: Outcome) -> None:
    """Records that a dispatch with a one-way key has ended."""
    build = outcome.dispatch.appliance.build
    builds = state.keys_out[key]
    builds.remove(build)
    if not builds:
        del state.keys_out[key]
    if (outcome.result == SUCCEEDED or outcome.result in UNREAD) and binds_key(state, build):
        state.bound_keys[key] = build


def would_bind_too_many(state: AgentState, key: str | None) -> bool:
    """Returns whether a build on trial would bind one more key than may be remembered.

    Such an invocation goes to the earlier build, while there is one.
    """
    return (
        key is not None
        and len(state.bound_keys) >= MAX_BOUND_KEYS
        and key not in state.bound_keys
        and not state.earlier_build_gone
    )


def bound_share(state: AgentState) -> float:
    """Returns the share of the latest invocations whose keys must go to the build on trial."""
    bound = sum(
        key in state.bound_keys or (key in state.keys_out and lowest_build(state, key) > 0)
        for key in state.recent_keys
    )
    return bound / (len(state.recent_keys) + 1)


def share_of_others(state: AgentState, key: str) -> float:
    """Returns the share of the latest invocations with this key, without the present one."""
    return (state.recent_keys.count(key) - 1) / (len(state.recent_keys) + 1)
