"""Checks the five rules of a run from what passed on the sockets of its processes.

- `exchange`: one HTTP/2 stream with its times.
- `breach`: the rules' numbers.
- `decode`: reads the recordings ("taps") of sockets into exchanges.
- `registry_view`, `stage_history`: what an agent had been told at any moment.
- `agent_process`: one process of an agent: what it was told, took and sent.
- `rules`, `exposure`: the rules.
- `run`, `report`: the files of a run, and the result.
"""
