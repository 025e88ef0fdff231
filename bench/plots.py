"""Draws docs/img from build/bench_details.json: `python -m bench.plots`."""

import pathlib

import matplotlib
from matplotlib import axes
from matplotlib import pyplot
import orjson

from bench import __main__ as bench

FOLDER = pathlib.Path("docs/img")
LOAD = "surge"
DEPLOYMENTS = ("cedarline", "association")
COLORS = {"hickoryreach": "#1b6ca8", "fifo_first_fit": "#c0562f"}
SIZE_INCHES = (9.0, 3.6)
SHARE_TARGET = 0.05


def find_run(runs: list[dict], deployment: str, policy: str) -> dict:
    """Returns the run of one deployment and policy under LOAD."""
    return next(
        run
        for run in runs
        if run["row"]["deployment"] == deployment
        and run["row"]["policy"] == policy
        and run["row"]["load"] == LOAD
    )


def draw_waiting(area: axes.Axes, runs: list[dict], deployment: str) -> None:
    """Draws how many tasks of small workspaces waited no longer than that."""
    for policy, color in COLORS.items():
        values = find_run(runs, deployment, policy)["small_wait_quantiles_ms"]
        seconds = [max(value, 1) / 1000 for value in values]
        area.plot(seconds, range(101), color=color, label=policy)
    area.set_xscale("log")
    area.set_xlabel("waiting time of a task, s")
    area.set_ylabel("tasks, %")


def draw_share(area: axes.Axes, runs: list[dict], deployment: str) -> None:
    """Draws the largest gap between part and entitlement over time."""
    for policy, color in COLORS.items():
        samples = find_run(runs, deployment, policy)["samples"]
        seconds = [sample["at_ms"] / 1000 for sample in samples]
        gaps = [
            max(
                abs(part - sample["held"].get(name, 0.0))
                for name, part in sample["entitled"].items()
            )
            for sample in samples
        ]
        area.plot(seconds, gaps, color=color, label=policy)
    area.axhline(SHARE_TARGET, color="#777777", linestyle=":", label="target")
    area.set_ylim(bottom=0)
    area.set_xlabel("virtual time, s")
    area.set_ylabel("largest gap to entitlement")


def main() -> None:
    """Draws both pictures; the same rows give the same files."""
    matplotlib.use("Agg")
    runs = orjson.loads(bench.DETAILS_PATH.read_bytes())
    matplotlib.rcParams["svg.hashsalt"] = "hickoryreach"
    matplotlib.rcParams["svg.fonttype"] = "none"
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, draw in (("waiting", draw_waiting), ("share", draw_share)):
        figure, areas = pyplot.subplots(1, 2, figsize=SIZE_INCHES)
        for area, deployment in zip(areas, DEPLOYMENTS, strict=True):
            draw(area, runs, deployment)
            area.set_title(f"{deployment}, {LOAD}")
            area.grid(alpha=0.3)
            area.legend()
        figure.tight_layout()
        path = FOLDER / f"{name}.svg"
        figure.savefig(path, metadata={"Date": None})
        pyplot.close(figure)
        print(path)


if __name__ == "__main__":
    main()
