"""Fault injection: controllers, receivers and agents as processes on loopback, with faults drawn from a seed.

What happened is checked by the receivers' records, and never by what a process says about itself.
"""
