"""Lines over the size of a fleet, as a PNG. matplotlib is loaded here alone: whoever runs the program needs none."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

Point = tuple[float, float]


def draw_lines(path: Path, panels: Mapping[str, Mapping[str, Sequence[Point]]], across: str) -> None:
    """panels: by what is drawn upward, its lines by name; sizes on a logarithmic axis, what is drawn too where it spans much. Raises ImportError without matplotlib, OSError where
    the file can't be written."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(panels), figsize=(5.0 * len(panels), 3.8), squeeze=False)
    for panel, (upward, named) in zip(axes[0], panels.items()):
        for name, points in named.items():
            panel.plot(*zip(*points), marker="o", markersize=3, label=name)
        values = [value for points in named.values() for _, value in points]
        panel.set(xscale="log", xlabel=across, ylabel=upward)
        if max(values) > 30 * min(values):
            panel.set(yscale="log")
        else:
            panel.set_ylim(0)
        panel.grid(alpha=0.3)
        panel.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
