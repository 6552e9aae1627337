"""Plots of measures over the size of a fleet, as a PNG file.

matplotlib is imported only here, and only when something is drawn: the program itself does not need it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

Point = tuple[float, float]

LOGARITHMIC_RANGE = 30  # a measure whose values differ by more than this factor gets a logarithmic axis


def draw_lines(path: Path, panels: Mapping[str, Mapping[str, Sequence[Point]]], x_label: str) -> None:
    """Draws one panel for each measure, with one line for each series.

    Args:
        path: the file to write.
        panels: by the label of the measure, the points of its series by name.
        x_label: the label of the horizontal axis, which is logarithmic.

    Raises:
        ImportError: matplotlib is not installed.
        OSError: the file cannot be written.
    """
    import matplotlib  # noqa: PLC0415 - an optional dependency

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415 - the backend has to be chosen first

    figure, axes = pyplot.subplots(1, len(panels), figsize=(5.0 * len(panels), 3.8), squeeze=False)
    for panel, (label, series) in zip(axes[0], panels.items(), strict=True):
        for name, points in series.items():
            panel.plot(*zip(*points, strict=True), marker="o", markersize=3, label=name)
        values = [value for points in series.values() for _, value in points]
        panel.set(xscale="log", xlabel=x_label, ylabel=label)
        if max(values) > LOGARITHMIC_RANGE * min(values):
            panel.set(yscale="log")
        else:
            panel.set_ylim(0)
        panel.grid(alpha=0.3)
        panel.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
