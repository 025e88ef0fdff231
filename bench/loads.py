"""Seeded loads: what arrives, what it truly needs, and what fails."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import random

from bench import cells
from hickoryreach.decisions import registry
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

CORE = 1000
DAY_MS = 90_000
DRAIN_MS = 240_000
FLEET_DRAIN_MS = 5_000
SURGE_FROM_MS = 20_000
SURGE_TO_MS = 60_000
ORDINARY_PART = 0.7
SURGE_PART = 1.7
SURGE_LARGE = 0.95
REQUESTS_PER_S = 15.0
SURGE_REQUESTS_PER_S = 450.0
SURGE_REQUESTS_MS = 6_000
URGENT_PER_S = 0.4
DECLARED_FACTOR = 5
WAVE_JOBS = 3_000
WAVE_FROM_MS = 5_000
WAVE_TO_MS = 15_000
WAVE_CANCEL_MS = 25_000
FAILING_PART = 0.25
FAULT_FROM_MS = 15_000
FAULT_TO_MS = 60_000
FLEET_STARTS_PER_S = 2_300.0
FLEET_MS = 3_000
FLEET_WARM_MS = 5_000
FLEET_RUNNING_PER_WORKER = 7
RUN_TIME_SPREAD = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """A job that arrives, with the truth only its tasks know.

    Attributes:
        at_ms: When it reaches an entry.
        job: The job as declared.
        true_need: What one task uses when nothing holds it back.
        run_ms: True run time of each task at that use; 0 until stopped.
    """

    at_ms: float
    job: jobs.Job
    true_need: resources.Resources
    run_ms: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cancellation:
    """A caller's cancel of one job, or of a wave when `wave` is set."""

    at_ms: float
    workspace: str
    job_id: str = ""
    wave: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """Workers that fail what they start, or are gone, for a while.

    Attributes:
        from_ms: When it begins.
        to_ms: When it is over.
        worker_ids: The workers.
        lost: True when the workers are gone with all they ran.
    """

    from_ms: float
    to_ms: float
    worker_ids: tuple[str, ...]
    lost: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Everything that happens to one cell.

    Attributes:
        submissions: Jobs, in order of arrival.
        cancellations: Cancels by callers.
        faults: Failures of workers.
        warm_ms: Decisions before this time are not counted.
        end_ms: When the last submission has arrived.
        drain_ms: Longest time after it to let the work end.
    """

    submissions: list[Submission]
    cancellations: tuple[Cancellation, ...] = ()
    faults: tuple[Fault, ...] = ()
    warm_ms: int = 0
    end_ms: int = DAY_MS
    drain_ms: int = DRAIN_MS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Template:
    """A command of a deployment and what its tasks truly are.

    Attributes:
        command: Its name.
        kind: Kind of work.
        tasks: Smallest and largest number of tasks.
        need: True need of one task.
        run_ms: Smallest and largest mean run time of one job's tasks.
        weight: Part of the offered processor time it takes.
        idempotent: Whether its tasks may run again.
        preemptible: Whether its tasks may be stopped for urgent work.
    """

    command: str
    kind: jobs.Kind
    tasks: tuple[int, int]
    need: resources.Resources
    run_ms: tuple[int, int]
    weight: float
    idempotent: bool = True
    preemptible: bool = False


def _need(cores: float, memory_mb: int) -> resources.Resources:
    return resources.Resources(
        cpu_millis=int(cores * CORE), memory_mb=memory_mb
    )


BATCH = {
    "cedarline": (
        Template(
            command="issuance-run",
            kind=jobs.Kind.BATCH,
            tasks=(8, 40),
            need=_need(1, 2_000),
            run_ms=(6_000, 20_000),
            weight=0.45,
            preemptible=True,
        ),
        Template(
            command="transfer-batch",
            kind=jobs.Kind.BATCH,
            tasks=(2, 8),
            need=_need(2, 3_000),
            run_ms=(4_000, 10_000),
            weight=0.3,
            idempotent=False,
        ),
        Template(
            command="reconcile",
            kind=jobs.Kind.GANG,
            tasks=(6, 10),
            need=_need(3, 5_000),
            run_ms=(8_000, 16_000),
            weight=0.25,
        ),
    ),
    "association": (
        Template(
            command="statement-run",
            kind=jobs.Kind.BATCH,
            tasks=(10, 60),
            need=_need(1, 3_000),
            run_ms=(4_000, 12_000),
            weight=0.5,
            preemptible=True,
        ),
        Template(
            command="voucher-run",
            kind=jobs.Kind.BATCH,
            tasks=(5, 30),
            need=_need(0.5, 600),
            run_ms=(3_000, 8_000),
            weight=0.3,
            idempotent=False,
        ),
        Template(
            command="year-end",
            kind=jobs.Kind.GANG,
            tasks=(4, 8),
            need=_need(3, 4_000),
            run_ms=(6_000, 15_000),
            weight=0.2,
        ),
    ),
}

URGENT = Template(
    command="urgent-check",
    kind=jobs.Kind.BATCH,
    tasks=(1, 2),
    need=_need(2, 4_000),
    run_ms=(2_000, 4_000),
    weight=0.0,
)
SERVICE = Template(
    command="front-desk",
    kind=jobs.Kind.SERVICE,
    tasks=(8, 8),
    need=_need(1, 2_000),
    run_ms=(0, 0),
    weight=0.0,
)
REQUEST = Template(
    command="cancel-certificate",
    kind=jobs.Kind.REQUEST,
    tasks=(1, 1),
    need=resources.Resources(slots=1),
    run_ms=(200, 600),
    weight=0.0,
    idempotent=False,
)
CHECK = dataclasses.replace(
    REQUEST, command="check-certificate", run_ms=(50, 300), idempotent=True
)

Maker = Callable[[cells.Cell, random.Random], Load]

loads: registry.Registry[str, Maker] = registry.Registry(title="loads")


class Builder:
    """Makes submissions from templates with one random source.

    Attributes:
        cell: Cell they are for.
        rng: Random source.
        factors: Factor between true and declared need, by command.
        made: Jobs made so far.
        large: Names of the large workspaces.
        small: Names of the others.
        large_share: Part of all shares that the large ones have.
    """

    def __init__(
        self,
        *,
        cell: cells.Cell,
        rng: random.Random,
        factors: dict[str, float] | None = None,
    ) -> None:
        """Creates a builder; `factors` default to true declarations."""
        self.cell = cell
        self.rng = rng
        self.factors = factors or {}
        self.made = 0
        self.large = cell.large
        self.small = cell.small
        self.large_share = cell.large_share

    def make(
        self,
        template: Template,
        at_ms: float,
        workspace: str,
        urgent: bool = False,
        wave: str = "",
    ) -> Submission:
        """Returns one job of a template with its truth."""
        self.made += 1
        count = self.rng.randint(*template.tasks)
        mean_ms = self.rng.randint(*template.run_ms)
        factor = self.factors.get(template.command, 1.0)
        request = template.kind is jobs.Kind.REQUEST
        job = jobs.Job(
            job_id=f"0.{self.made:06}",
            workspace=workspace,
            request_id=f"q{self.made}",
            kind=template.kind,
            command=template.command,
            tasks=count,
            need=_scale(template.need, factor),
            run_time_ms=int(mean_ms * factor),
            idempotent=template.idempotent,
            urgent=urgent,
            preemptible=template.preemptible,
            submitted_ms=int(at_ms),
            wave=wave,
            service=self.cell.service if request else "",
        )
        return Submission(
            at_ms=at_ms,
            job=job,
            true_need=template.need,
            run_ms=tuple(self._run_times(mean_ms, count)),
        )

    def pick_workspace(self, large_part: float | None = None) -> str:
        """Returns a workspace; a large one with the given probability.

        Without one, each workspace is as likely as its share is large.
        """
        if large_part is None:
            large_part = self.large_share
        names = self.large if self.rng.random() < large_part else self.small
        return self.rng.choice(names)

    def batch(
        self,
        from_ms: float,
        to_ms: float,
        part: float,
        large_part: float | None = None,
    ) -> Iterator[Submission]:
        """Yields batch jobs that offer `part` of the cell's processors."""
        offered = self.cell.capacity.cpu_millis * part
        for template in BATCH[self.cell.deployment]:
            work = sum(template.tasks) / 2 * sum(template.run_ms) / 2
            per_ms = offered * template.weight / work
            per_ms /= template.need.cpu_millis
            for at_ms in self.arrivals(from_ms, to_ms, per_ms):
                workspace = self.pick_workspace(large_part)
                yield self.make(template, at_ms, workspace)

    def requests(
        self, from_ms: float, to_ms: float, per_s: float
    ) -> Iterator[Submission]:
        """Yields requests, half of them idempotent."""
        for at_ms in self.arrivals(from_ms, to_ms, per_s / 1000):
            template = self.rng.choice((REQUEST, CHECK))
            yield self.make(template, at_ms, self.pick_workspace())

    def urgent(self, from_ms: float, to_ms: float) -> Iterator[Submission]:
        """Yields urgent jobs of the small workspaces."""
        for at_ms in self.arrivals(from_ms, to_ms, URGENT_PER_S / 1000):
            workspace = self.rng.choice(self.small)
            yield self.make(URGENT, at_ms, workspace, urgent=True)

    def _run_times(self, mean_ms: int, count: int) -> Iterator[int]:
        for _ in range(count):
            spread = self.rng.uniform(1 - RUN_TIME_SPREAD, 1 + RUN_TIME_SPREAD)
            yield int(mean_ms * spread)

    def arrivals(
        self, from_ms: float, to_ms: float, per_ms: float
    ) -> Iterator[float]:
        """Yields the times of a Poisson process."""
        at_ms = from_ms + self.rng.expovariate(per_ms)
        while at_ms < to_ms:
            yield at_ms
            at_ms += self.rng.expovariate(per_ms)


def _scale(need: resources.Resources, factor: float) -> resources.Resources:
    return resources.Resources(
        cpu_millis=int(need.cpu_millis * factor),
        memory_mb=int(need.memory_mb * factor),
        accelerators=need.accelerators,
        slots=need.slots,
    )


def _day(builder: Builder, part: float = ORDINARY_PART) -> list[Submission]:
    services = [
        builder.make(SERVICE, 0.0, name) for name in builder.cell.large[:2]
    ]
    return [
        *services,
        *builder.batch(0, DAY_MS, part),
        *builder.requests(0, DAY_MS, REQUESTS_PER_S),
        *builder.urgent(0, DAY_MS),
    ]


def _in_order(submissions: list[Submission]) -> list[Submission]:
    return sorted(submissions, key=lambda entry: entry.at_ms)


@loads.register("ordinary")
def make_ordinary(cell: cells.Cell, rng: random.Random) -> Load:
    """Returns an ordinary day, shortened: the cell is seldom full."""
    return Load(submissions=_in_order(_day(Builder(cell=cell, rng=rng))))


@loads.register("surge")
def make_surge(cell: cells.Cell, rng: random.Random) -> Load:
    """Returns an ordinary day with a surge of the large workspaces."""
    builder = Builder(cell=cell, rng=rng)
    surge_ms = (SURGE_FROM_MS, SURGE_TO_MS)
    requests_to_ms = SURGE_FROM_MS + SURGE_REQUESTS_MS
    return Load(
        submissions=_in_order(
            [
                *_day(builder),
                *builder.batch(
                    *surge_ms, SURGE_PART - ORDINARY_PART, SURGE_LARGE
                ),
                *builder.requests(
                    SURGE_FROM_MS, requests_to_ms, SURGE_REQUESTS_PER_S
                ),
            ]
        )
    )


@loads.register("wrong_sizes")
def make_wrong_sizes(cell: cells.Cell, rng: random.Random) -> Load:
    """Returns an ordinary day with declarations wrong by a factor of 5."""
    names = [template.command for template in BATCH[cell.deployment]]
    factors = {
        name: DECLARED_FACTOR if position % 2 == 0 else 1 / DECLARED_FACTOR
        for position, name in enumerate(names)
    }
    builder = Builder(cell=cell, rng=rng, factors=factors)
    return Load(submissions=_in_order(_day(builder)))


@loads.register("cancel_wave")
def make_cancel_wave(cell: cells.Cell, rng: random.Random) -> Load:
    """Returns a day in which one workspace cancels thousands of jobs."""
    builder = Builder(cell=cell, rng=rng)
    name = cell.large[0]
    template = dataclasses.replace(
        BATCH[cell.deployment][0], tasks=(1, 1), preemptible=False
    )
    wave = [
        builder.make(
            template,
            rng.uniform(WAVE_FROM_MS, WAVE_TO_MS),
            name,
            wave="wave" if number % 2 else "",
        )
        for number in range(WAVE_JOBS)
    ]
    single = [
        Cancellation(
            at_ms=WAVE_CANCEL_MS + number * 0.5,
            workspace=name,
            job_id=entry.job.job_id,
        )
        for number, entry in enumerate(wave[::2])
    ]
    whole = Cancellation(at_ms=WAVE_CANCEL_MS, workspace=name, wave="wave")
    return Load(
        submissions=_in_order([*_day(builder, 0.6), *wave]),
        cancellations=(whole, *single),
    )


@loads.register("failing_workers")
def make_failing_workers(cell: cells.Cell, rng: random.Random) -> Load:
    """Returns a day in which a quarter of the workers fails all it starts."""
    names = [worker.worker_id for worker in cell.workers]
    failing = rng.sample(names, int(len(names) * FAILING_PART))
    fault = Fault(
        from_ms=FAULT_FROM_MS, to_ms=FAULT_TO_MS, worker_ids=tuple(failing)
    )
    submissions = _day(Builder(cell=cell, rng=rng), 0.55)
    return Load(submissions=_in_order(submissions), faults=(fault,))


@loads.register("rack_lost")
def make_rack_lost(cell: cells.Cell, rng: random.Random) -> Load:
    """Returns a day in which one rack is lost and comes back empty."""
    lost = tuple(
        worker.worker_id for worker in cell.workers if worker.rack == "r1"
    )
    fault = Fault(
        from_ms=FAULT_FROM_MS, to_ms=FAULT_TO_MS, worker_ids=lost, lost=True
    )
    submissions = _day(Builder(cell=cell, rng=rng))
    return Load(submissions=_in_order(submissions), faults=(fault,))


@loads.register("fleet_peak")
def make_fleet_peak(cell: cells.Cell, rng: random.Random) -> Load:
    """Returns 2,300 starts/s on workers that run 7 tasks each already."""
    builder = Builder(cell=cell, rng=rng)
    running = Template(
        command="running",
        kind=jobs.Kind.BATCH,
        tasks=(20, 20),
        need=_need(1, 2_000),
        run_ms=(600_000, 900_000),
        weight=1.0,
    )
    short = dataclasses.replace(
        running, command="voucher", tasks=(1, 1), run_ms=(300, 900)
    )
    total = len(cell.workers) * FLEET_RUNNING_PER_WORKER
    names = [entry.workspace for entry in cell.entitlements]
    held = [
        builder.make(running, 0.0, names[number % len(names)])
        for number in range(total // 20)
    ]
    end_ms = FLEET_WARM_MS + FLEET_MS
    arrivals = [
        builder.make(
            rng.choice((short, REQUEST, CHECK)),
            at_ms,
            builder.pick_workspace(),
        )
        for at_ms in builder.arrivals(
            FLEET_WARM_MS, end_ms, FLEET_STARTS_PER_S / 1000
        )
    ]
    return Load(
        submissions=[*held, *arrivals],
        warm_ms=FLEET_WARM_MS,
        end_ms=end_ms,
        drain_ms=FLEET_DRAIN_MS,
    )
