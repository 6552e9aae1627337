"""Measures workloads at several sizes, fits a curve to each quantity, and gives table and JSON."""

from __future__ import annotations

import gc
import platform
import tracemalloc
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from .axes import LEAST_SIZES, RANGES, Axis
from .fit import Fit, fit
from .meter import InstructionMeter, ProcessorMeter
from .workload import Measurement, Quantity, Workload

MEASURED = (Quantity.PROCESSOR, Quantity.RESIDENT)  # differ a little each time
ENOUGH = 5e6  # microseconds of processor, after which an operation is not timed again
COUNTED = tuple(quantity for quantity in Quantity if quantity not in MEASURED)


@dataclass(frozen=True)
class Slope:
    """One quantity of one measurement over all sizes, and the curve through it."""

    measurement: Measurement
    quantity: Quantity
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    curve: Fit

    @property
    def target(self) -> int:
        """The size in two years."""
        return RANGES[self.measurement.axis].target

    @property
    def extrapolation(self) -> float:
        """How far the target lies beyond the largest size that was measured; 1 where it does not."""
        return max(1.0, self.target / self.sizes[-1])

    @property
    def at_target(self) -> float:
        """The measured value where the target was measured, else what the curve gives."""
        if self.target in self.sizes:
            return self.values[self.sizes.index(self.target)]
        return self.curve.at(self.target)

    def as_dict(self) -> dict[str, Any]:
        """For JSON."""
        return {
            "measurement": self.measurement.name,
            "role": self.measurement.role,
            "axis": self.measurement.axis.value,
            "operation": self.measurement.operation,
            "quantity": self.quantity.value,
            "sizes": self.sizes,
            "values": self.values,
            "form": self.curve.form,
            "curve": self.curve.describe(),
            "residual": self.curve.residual,
            "target": self.target,
            "at_target": self.at_target,
            "extrapolation": self.extrapolation,
        }


def measure_at(measurement: Measurement, size: int, repeats: int) -> dict[Quantity, float]:
    """All quantities of one operation at one size; repeats: timed operations, 0 for none."""
    workload, memory = _prepare(measurement, size)
    try:
        values = {}
        if measurement.most_counted is None or size <= measurement.most_counted:
            values = _count(workload, measurement)
        if measurement.holds_state:
            values[Quantity.MEMORY] = memory
        if repeats and measurement.repeats:
            values[Quantity.PROCESSOR] = _time(workload, measurement.operations, repeats)
        return values
    finally:
        workload.close()


def _prepare(measurement: Measurement, size: int) -> tuple[Workload, float]:
    """The workload, and the memory that it holds as Python's allocators see it."""
    if not measurement.holds_state:
        return measurement.prepare(size), 0.0
    gc.collect()
    tracemalloc.start()
    try:
        workload = measurement.prepare(size)
        gc.collect()
        return workload, float(tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()


def _count(workload: Workload, measurement: Measurement) -> dict[Quantity, float]:
    """Of the second operation, so that what only the first one does is left out."""
    if measurement.repeats:
        workload.operate(ProcessorMeter())
    workload.counts.totals.clear()
    meter = InstructionMeter()
    workload.operate(meter)
    counted = {Quantity.INSTRUCTIONS: meter.total, **workload.counts.totals}
    return {quantity: value / measurement.operations for quantity, value in counted.items() if value > 0}


def _time(workload: Workload, operations: int, repeats: int) -> float:
    """Microseconds of processor: the least of several, as whatever else the machine does only adds.

    Operations that take long are not repeated as often.
    """
    times: list[float] = []
    while len(times) < repeats and sum(times) < ENOUGH:
        meter = ProcessorMeter()
        workload.operate(meter)
        times.append(meter.total)
    return max(min(times) / operations, 0.001)


def measure(
    measurements: Iterable[Measurement],
    sizes: Mapping[Axis, Sequence[int]],
    repeats: int,
    say: Callable[[str], None] = lambda line: None,
) -> list[Slope]:
    """Measure each at all sizes of its axis."""
    slopes = []
    for measurement in measurements:
        found = {}
        for size in sizes[measurement.axis]:
            found[size] = measure_at(measurement, size, repeats)
            say(f"{measurement.name}: {size} {measurement.axis.value}")
        for quantity in Quantity:
            points = {size: values[quantity] for size, values in found.items() if quantity in values}
            if len(points) >= LEAST_SIZES:
                along, values = tuple(points), tuple(points.values())
                slopes.append(Slope(measurement, quantity, along, values, fit(along, values)))
    return slopes


def conditions(repeats: int) -> dict[str, Any]:
    """What the figures hang on besides the program."""
    return {"python": platform.python_version(), "machine": platform.machine(), "repeats": repeats}


def table(slopes: Sequence[Slope]) -> str:
    """As Markdown, a row for each quantity of each measurement; times as ratios to the smallest size."""
    lines = [
        "| measurement | quantity | sizes | at smallest | at largest | ratio | curve (n: size) | residual |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [_row(slope) for slope in slopes]
    return "\n".join(lines)


def _row(slope: Slope) -> str:
    first, last, curve = slope.values[0], slope.values[-1], slope.curve
    if slope.quantity is Quantity.PROCESSOR:
        ends, text = (
            f"1 | {last / first:.3g}",
            f"n^{curve.exponent:.2f}" if curve.form == "power" else curve.form,
        )
    else:
        ends, text = f"{first:,.0f} | {last:,.0f}", curve.describe()
    return (
        f"| `{slope.measurement.name}` | {slope.quantity.value} | {slope.sizes[0]:,} to {slope.sizes[-1]:,} "
        f"{slope.measurement.axis.value} | {ends} | {last / first:.3g} | {text} | {curve.residual:.1%} |"
    )
