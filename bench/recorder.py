"""Collects what a run shows and sums it up as one row."""

import collections
import dataclasses

from hdrh import histogram

from bench import cells
from bench import shares
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

MAX_WAIT_MS = 3_600_000
MAX_DECISION_NS = 60_000_000_000
DIGITS = 3
SETTLE_MS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One measured run, as written to build/bench.json."""

    deployment: str
    policy: str
    load: str
    workers: int
    seed: int
    wait_p50_ms: int
    wait_p99_ms: int
    urgent_start_p99_ms: int | None
    packing_ratio: float | None
    share_distance: float | None
    decision_us_p50: float
    decision_us_p99: float
    store_writes_per_s: float
    control_bytes_per_s: float
    placements: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """The cell at one moment.

    Attributes:
        at_ms: The moment.
        held: Dominant part each workspace has set aside.
        entitled: Dominant part it is entitled to.
        packing: Used part of the binding resource.
    """

    at_ms: float
    held: dict[str, float]
    entitled: dict[str, float]
    packing: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Details:
    """What targets and plots need beyond a row.

    Attributes:
        row: The row.
        small_wait_p99_ms: 99th percentile of waiting, small workspaces.
        wait_quantiles_ms: Waiting at every percent, all workspaces.
        small_wait_quantiles_ms: The same for the small workspaces.
        samples: The full cell over time.
        succeeded: Tasks that succeeded.
        failed: Tasks that failed for good or have no known outcome.
        never_started: Tasks that still waited when the run ended.
        refused_starts: Starts that a worker refused.
        refused_jobs: Jobs that admission refused.
        decision_s: Processor time of all counted decisions.
        decision_max_us: Longest decision.
        placements_per_s: Placements by processor second of decisions.
        virtual_s: Virtual length of the run.
    """

    row: Row
    small_wait_p99_ms: int
    wait_quantiles_ms: list[int]
    small_wait_quantiles_ms: list[int]
    samples: list[Sample]
    succeeded: int
    failed: int
    never_started: int
    refused_starts: int
    refused_jobs: int
    decision_s: float
    decision_max_us: float
    placements_per_s: float
    virtual_s: float


class Recorder:
    """Counts of one run.

    Attributes:
        cell: The cell.
        waits: Waiting of tasks until their first start, in ms.
        small_waits: The same for the small workspaces.
        urgent_waits: The same for urgent jobs.
        decisions: Time of each decision, in ns.
        samples: The full cell over time.
        writes: Store writes by virtual second.
        control_bytes: Bytes of syncs, both ways, all workers.
        counts: Everything that is only counted.
        full_since_ms: Since when work waits for room, or None.
    """

    def __init__(self, *, cell: cells.Cell) -> None:
        """Creates empty counts."""
        self.cell = cell
        self.waits = histogram.HdrHistogram(1, MAX_WAIT_MS, DIGITS)
        self.small_waits = histogram.HdrHistogram(1, MAX_WAIT_MS, DIGITS)
        self.urgent_waits = histogram.HdrHistogram(1, MAX_WAIT_MS, DIGITS)
        self.decisions = histogram.HdrHistogram(1, MAX_DECISION_NS, DIGITS)
        self.samples: list[Sample] = []
        self.writes: collections.Counter[int] = collections.Counter()
        self.control_bytes = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.decision_ns = 0
        self.full_since_ms: float | None = None
        self.small = frozenset(cell.small)

    def wait(self, job: jobs.Job, wait_ms: float) -> None:
        """Counts the waiting of one task."""
        if job.kind is jobs.Kind.SERVICE:
            return
        rounded = int(min(wait_ms, MAX_WAIT_MS))
        self.waits.record_value(rounded)
        if job.workspace in self.small:
            self.small_waits.record_value(rounded)
        if job.urgent:
            self.urgent_waits.record_value(rounded)

    def decide(self, took_ns: int, placed: int) -> None:
        """Counts one decision."""
        self.decisions.record_value(took_ns)
        self.decision_ns += took_ns
        self.counts["placements"] += placed

    def sample(
        self,
        at_ms: float,
        live: resources.Resources,
        held: dict[str, resources.Resources],
        used: resources.Resources,
        waiting: dict[str, resources.Resources],
        blocked: bool,
    ) -> None:
        """Samples the cell; counts it only while work waits for room."""
        if not blocked:
            self.full_since_ms = None
            return
        if self.full_since_ms is None:
            self.full_since_ms = at_ms
        if at_ms - self.full_since_ms < SETTLE_MS:
            return
        wanted = sum(waiting.values(), start=resources.ZERO)
        self.samples.append(
            Sample(
                at_ms=at_ms,
                held={
                    name: amount.dominant_share(live)
                    for name, amount in held.items()
                },
                entitled=self._entitle(live, held, waiting, wanted),
                packing=_binding_part(live, used, wanted),
            )
        )

    def _entitle(
        self,
        live: resources.Resources,
        held: dict[str, resources.Resources],
        waiting: dict[str, resources.Resources],
        wanted: resources.Resources,
    ) -> dict[str, float]:
        spent = sum(held.values(), start=resources.ZERO)
        available = resources.Resources(
            **{
                name: getattr(spent if getattr(wanted, name) else live, name)
                for name in shares.FIELDS
            }
        )
        demands = {
            entry.workspace: shares.Demand(
                share=entry.share,
                wanted=held.get(entry.workspace, resources.ZERO)
                + waiting.get(entry.workspace, resources.ZERO),
                limit_part=entry.limit.dominant_share(live)
                if entry.limit
                else 1.0,
            )
            for entry in self.cell.entitlements
        }
        return shares.fill(demands, live, available)

    def sum_up(
        self, *, policy: str, load: str, seed: int, from_ms: float, to_ms: float
    ) -> Details:
        """Returns the row and details of the run."""
        seconds = max(1e-3, (to_ms - from_ms) / 1000)
        nodes = len(self.cell.workers)
        urgent = self.urgent_waits
        row = Row(
            deployment=self.cell.deployment,
            policy=policy,
            load=load,
            workers=nodes,
            seed=seed,
            wait_p50_ms=self.waits.get_value_at_percentile(50),
            wait_p99_ms=self.waits.get_value_at_percentile(99),
            urgent_start_p99_ms=urgent.get_value_at_percentile(99)
            if urgent.get_total_count()
            else None,
            packing_ratio=self._mean_packing(),
            share_distance=self._mean_distance(),
            decision_us_p50=self.decisions.get_value_at_percentile(50) / 1000,
            decision_us_p99=self.decisions.get_value_at_percentile(99) / 1000,
            store_writes_per_s=max(self.writes.values(), default=0),
            control_bytes_per_s=round(self.control_bytes / nodes / seconds, 1),
            placements=self.counts["placements"],
        )
        return Details(
            row=row,
            small_wait_p99_ms=self.small_waits.get_value_at_percentile(99),
            wait_quantiles_ms=_quantiles(self.waits),
            small_wait_quantiles_ms=_quantiles(self.small_waits),
            samples=self.samples,
            succeeded=self.counts["succeeded"],
            failed=self.counts["failed"],
            never_started=self.counts["never_started"],
            refused_starts=self.counts["refused_starts"],
            refused_jobs=self.counts["refused_jobs"],
            decision_s=round(self.decision_ns / 1e9, 3),
            decision_max_us=self.decisions.get_max_value() / 1000,
            placements_per_s=round(
                self.counts["placements"] / max(1e-9, self.decision_ns / 1e9)
            ),
            virtual_s=round(seconds, 1),
        )

    def _mean_packing(self) -> float | None:
        if not self.samples:
            return None
        total = sum(sample.packing for sample in self.samples)
        return round(total / len(self.samples), 4)

    def _mean_distance(self) -> float | None:
        if not self.samples:
            return None
        gaps = [
            max(
                abs(part - sample.held.get(name, 0.0))
                for name, part in sample.entitled.items()
            )
            for sample in self.samples
        ]
        return round(sum(gaps) / len(gaps), 4)


def _binding_part(
    live: resources.Resources,
    used: resources.Resources,
    wanted: resources.Resources,
) -> float:
    return max(
        (
            getattr(used, name) / getattr(live, name)
            for name in shares.FIELDS
            if getattr(wanted, name) and getattr(live, name)
        ),
        default=0.0,
    )


def _quantiles(values: histogram.HdrHistogram) -> list[int]:
    return [values.get_value_at_percentile(percent) for percent in range(101)]
