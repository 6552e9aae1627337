"""A curve through measured points, the simplest form that leaves a small residual. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

FLAT = 0.02  # values that differ by no more than this share count as constant

FEWEST_POINTS = 2


@dataclass(frozen=True)
class Fit:
    """A constant, line (base + slope n), power (base n^exponent) or quadratic (base n + slope n^2).

    residual: the largest relative distance of a measured point from the curve.
    """

    form: str  # "constant", "line", "power" or "quadratic"
    base: float
    slope: float
    exponent: float
    residual: float

    def at(self, size: float) -> float:
        """The value that the curve gives at a size."""
        match self.form:
            case "power":
                return self.base * size**self.exponent
            case "quadratic":
                return self.base * size + self.slope * size**2
        return self.base + self.slope * size

    def describe(self) -> str:
        """The curve as text, with n for the size."""
        match self.form:
            case "constant":
                return f"{self.base:.4g}"
            case "line":
                if abs(self.base) < FLAT * abs(self.slope):
                    return f"{self.slope:.4g} n"
                sign = "-" if self.base < 0 else "+"
                return f"{self.slope:.4g} n {sign} {abs(self.base):.3g}"
            case "quadratic":
                sign = "-" if self.base < 0 else "+"
                return f"{self.slope:.4g} n^2 {sign} {abs(self.base):.3g} n"
            case _:
                return f"{self.base:.3g} n^{self.exponent:.2f}"


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit positive values; relative distances count, so that small sizes weigh as much as large ones.

    A line is taken unless another form leaves less than half of its residual.

    Raises ValueError on fewer than two points or a value that is not positive.
    """
    if len(sizes) != len(values) or len(sizes) < FEWEST_POINTS:
        raise ValueError("as many values as sizes are needed, and at least two")
    if min(values) <= 0:
        raise ValueError("values above zero are needed")
    if max(values) - min(values) <= FLAT * max(values):
        mean = sum(values) / len(values)
        return Fit("constant", mean, 0.0, 0.0, _residual(values, [mean] * len(values)))
    found = _line(sizes, values)
    for other in (_power(sizes, values), _quadratic(sizes, values)):
        if found.residual > FLAT and other.residual < found.residual / 2:
            found = other
    return found


def _line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    base, slope = _least_squares(sizes, values, [1 / value**2 for value in values])
    return Fit("line", base, slope, 1.0, _residual(values, [base + slope * size for size in sizes]))


def _power(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    logs = [math.log(value) for value in values]
    intercept, exponent = _least_squares([math.log(size) for size in sizes], logs, [1.0] * len(logs))
    base = math.exp(intercept)
    return Fit("power", base, 0.0, exponent, _residual(values, [base * size**exponent for size in sizes]))


def _quadratic(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Through the origin: a line through value / size."""
    by_size = [value / size for value, size in zip(values, sizes, strict=True)]
    base, slope = _least_squares(sizes, by_size, [1 / value**2 for value in by_size])
    return Fit("quadratic", base, slope, 2.0, _residual(values, [base * n + slope * n**2 for n in sizes]))


def _least_squares(xs: Sequence[float], ys: Sequence[float], weights: Sequence[float]) -> tuple[float, float]:
    """Intercept and slope of the weighted straight line."""
    total = sum(weights)
    mean_x = sum(w * x for w, x in zip(weights, xs, strict=True)) / total
    mean_y = sum(w * y for w, y in zip(weights, ys, strict=True)) / total
    spread = sum(w * (x - mean_x) ** 2 for w, x in zip(weights, xs, strict=True))
    slope = sum(w * (x - mean_x) * (y - mean_y) for w, x, y in zip(weights, xs, ys, strict=True)) / spread
    return mean_y - slope * mean_x, slope


def _residual(values: Sequence[float], fitted: Sequence[float]) -> float:
    return max(abs(found - value) / value for value, found in zip(values, fitted, strict=True))
