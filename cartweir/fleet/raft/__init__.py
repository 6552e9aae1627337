"""The Raft consensus algorithm without I/O: the replicated log that the controllers share.

After 'In Search of an Understandable Consensus Algorithm' (Ongaro and Ousterhout, 2014) and Ongaro's thesis,
whose sections are cited where they apply. Times are whole microseconds of the host's monotonic clock.
"""
