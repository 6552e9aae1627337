"""The controllers' decisions on simulated clocks, disks and networks.

Each history is drawn from a seed, and checked by what receivers and clients saw from outside.
"""
