"""What the program's control code costs as a fleet grows: slopes measured by counting, in one process.

The package drives the real control code (no copies of it) at several sizes along one axis at a time, and fits
a curve. `docs/CAPACITY.md` quotes its table; `cartweir scale slopes` prints it again.
"""
