"""Plot goodput over time by policy from a file written by `rounds`.

``python -m fuchsiagap_standins.bench.overload.plots ROUNDS.json FOLDER``
"""

from __future__ import annotations

import json
import statistics
import sys
from pathlib import Path
from typing import Any

import matplotlib

from fuchsiagap_standins.bench.overload.scenario import Scenario

matplotlib.use("svg")

from matplotlib import pyplot as plt

_BIN_S = 0.5
_FIGURE_SIZE_INCHES = (7.0, 3.2)


def plot(results: list[dict[str, Any]], graph: str, path: Path) -> None:
    """Plot goodput over time for one service graph, as median over seeds per policy.

    Parameters
    ----------
    results : list of dict
        Results written by `rounds`.
    graph : str
        Name of the service graph.
    path : Path
        SVG file to write.
    """
    fig, axes = plt.subplots(figsize=_FIGURE_SIZE_INCHES)
    rows = [row for row in results if row["graph"] == graph]
    scenario = Scenario(surge=rows[0].get("surge", Scenario().surge))
    for policy in dict.fromkeys(row["policy"] for row in rows):
        series = [row["goodput_per_s"] for row in rows if row["policy"] == policy]
        medians = [statistics.median(values) for values in zip(*series, strict=True)]
        times = [index * _BIN_S for index in range(len(medians))]
        axes.plot(times, medians, label=policy, linewidth=1.0)
    axes.axvspan(
        scenario.surge_start / 1000.0,
        scenario.surge_end / 1000.0,
        color="0.92",
        label="surge",
    )
    possible = statistics.median(row["possible_per_s"] for row in rows)
    axes.axhline(possible, color="0.4", linestyle=":", label="maximum in the surge")
    axes.set_xlabel("time of the first attempt (s)")
    axes.set_ylabel("requests answered in time per second")
    axes.set_title(graph)
    axes.legend(fontsize=7, ncol=2)
    fig.tight_layout()
    fig.savefig(path, metadata={"Date": None})
    plt.close(fig)


def main(argv: list[str]) -> int:
    """Write one SVG file per service graph.

    Parameters
    ----------
    argv : list of str
        JSON file written by `rounds`, and output directory.

    Returns
    -------
    int
        Exit status.
    """
    results = json.loads(Path(argv[0]).read_text())
    folder = Path(argv[1])
    plt.rcParams["svg.hashsalt"] = "fuchsiagap"
    for graph in dict.fromkeys(row["graph"] for row in results):
        plot(results, graph, folder / f"overload-{graph}.svg")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
