"""One agent on several cores: worker processes carry calls, one process decides, a supervisor watches them.

The reasons are in docs/cores.md. Log fields and settings call each of these processes a "part".

Imports go one way. The modules `grants`, `assignment`, `standalone`, `restarts`, `shared_state`, `messages`
and `pipe` import no other module of this package; `dispatcher`, `forwarding` and `decider` use them;
`process` sets up one process; `supervisor` starts them all.
"""
