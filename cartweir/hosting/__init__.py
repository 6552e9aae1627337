"""What every process that hosts the decisions shares, whatever protocol it speaks.

The host of the decision engine, the list of appliances, the clock, timers, backoff, connection pools and the
graceful shutdown.
"""
