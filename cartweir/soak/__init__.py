"""A randomized fault soak: real processes on loopback, faults that overlap, and the five rules as oracle.

Everything that happens in a run is drawn from one seed. What is judged is what clients, servers and discovery
recorded, never what an agent says about itself.
"""
