"""Simulated clocks, disks and network under the real decisions of the controllers: histories by seed, judged from outside."""
