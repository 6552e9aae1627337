"""Decisions of the controllers, without I/O.

The replicated log (`raft`), the duties and their owners, the rollout of builds, steps that run in order,
and the rules by which receivers accept or refuse effects. Times are whole microseconds.
"""
