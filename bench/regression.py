"""Plays the regression set of deployments and compares it with before.

    python -m bench.regression [--play]

Without `--play` it only compares the scores in the journal. Playing needs the
program and the folder of deployments, named by FLEETBENCH and DEPLOYMENTS.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import os
import pathlib
import statistics
import subprocess
import sys

import pydantic

JOURNAL = pathlib.Path("journal")
REGRESSION_SET = (
    "further/gfk-hickory",
    "further-grown/gfk-hickory-grown",
    "large/cedarline-goreg-large",
)
REASON = "Regression set"
QUIET = "quiet"
HEADINGS = ("deployment", "score", "gate", "quiet", "with trouble", "worst")


class DayRow(pydantic.BaseModel):
    """A played day of a journal entry; `G` is its worth."""

    name: str
    slot: str
    worth: float = pydantic.Field(alias="G")
    gate: bool


class JournalEntry(pydantic.BaseModel):
    """A journal entry of a score."""

    id: str
    at: list[str]
    cmd: str
    argv: list[str] = []
    site: str | None = None
    score: float | None = None
    days: list[DayRow] = []

    @property
    def is_whole(self) -> bool:
        """Whether all standard days of a deployment were played."""
        partial = {"--quick", "--small", "--no-cpu"} & set(self.argv)
        return self.cmd == "score" and self.score is not None and not partial


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """What one score says.

    Attributes:
        entry_id: Id of the journal entry.
        deployment: Name of the deployment.
        score: Score of its standard days.
        gate: Whether every day passed.
        quiet: Mean worth of the days without trouble.
        troubled: Mean worth of the other standard days.
        worst: Least worth of a standard day.
    """

    entry_id: str
    deployment: str
    score: float
    gate: bool
    quiet: float
    troubled: float
    worst: float


def read_entries(folder: pathlib.Path) -> Iterator[JournalEntry]:
    """Yields the whole scores in a journal, the oldest first."""
    for path in sorted(folder.glob("*.json")):
        entry = JournalEntry.model_validate_json(path.read_bytes())
        if entry.is_whole:
            yield entry


def summarize(entry: JournalEntry) -> Summary:
    """Returns what a score says; the day drawn just now counts for the gate."""
    standard = [day for day in entry.days if not day.name.startswith("fresh-")]
    quiet = [day.worth for day in standard if day.slot == QUIET]
    troubled = [day.worth for day in standard if day.slot != QUIET]
    return Summary(
        entry_id=entry.id,
        deployment=entry.site,
        score=entry.score,
        gate=all(day.gate for day in entry.days),
        quiet=statistics.fmean(quiet or [0.0]),
        troubled=statistics.fmean(troubled or [0.0]),
        worst=min(day.worth for day in standard),
    )


def pair_up(
    summaries: Iterable[Summary],
) -> Iterator[tuple[Summary | None, Summary]]:
    """Yields the last two scores of each deployment, None for a missing one."""
    by_deployment: dict[str, list[Summary]] = {}
    for summary in summaries:
        by_deployment.setdefault(summary.deployment, []).append(summary)
    for known in by_deployment.values():
        yield (known[-2] if len(known) > 1 else None), known[-1]


def format_row(summary: Summary) -> str:
    """Returns a score as a row of the table."""
    gate = "passed" if summary.gate else "FAILED"
    return (
        f"{summary.deployment:26}{summary.score:>7.3f}{gate:>8}"
        f"{summary.quiet:>8.3f}{summary.troubled:>14.3f}{summary.worst:>8.3f}"
        f"  {summary.entry_id}"
    )


def play(program: str, deployments: pathlib.Path) -> None:
    """Scores the regression set, one deployment after the other."""
    for name in REGRESSION_SET:
        site = deployments / f"{name}.toml"
        subprocess.run(
            [program, "score", str(site), "--why", REASON], check=True
        )


def main() -> None:
    """Plays the set if asked to, and prints before and after."""
    if "--play" in sys.argv[1:]:
        play(os.environ["FLEETBENCH"], pathlib.Path(os.environ["DEPLOYMENTS"]))
    title = "{:26}{:>7}{:>8}{:>8}{:>14}{:>8}  entry".format(*HEADINGS)
    print(title)
    for before, after in pair_up(map(summarize, read_entries(JOURNAL))):
        if before is not None:
            print(format_row(before))
        print(format_row(after))


if __name__ == "__main__":
    main()
