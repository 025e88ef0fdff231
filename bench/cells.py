"""Workers and workspaces that the bench decides for."""

import dataclasses

from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.structure import workspaces

WORKER_CAPACITY = resources.Resources(
    cpu_millis=16_000, memory_mb=32_768, slots=8
)
WORKERS_PER_RACK = 6
DOMAINS_TODAY = 4
DOMAINS_FLEET = 10
WORKSPACES_FLEET = 640
LARGE_SHARE = 4.0
SMALL_SHARE = 1.0
LARGE_LIMIT_PART = 0.7
SMALL_LIMIT_PART = 0.4
FLEET_LIMIT_PART = 0.05
FLEET_LARGE_EVERY = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cell:
    """One deployment at one size.

    Attributes:
        deployment: cedarline, association or fleet.
        service: Service that the minions answer for.
        workers: Every worker.
        entitlements: Every workspace with its share and limit.
        large: Names of the large workspaces.
        one_way_ms: Delay of one message between owner and worker.
        sync_ms: Longest time between two syncs of one worker.
    """

    deployment: str
    service: str
    workers: tuple[workers.Worker, ...]
    entitlements: tuple[workspaces.Entitlement, ...]
    large: tuple[str, ...]
    one_way_ms: float
    sync_ms: int

    @property
    def capacity(self) -> resources.Resources:
        """What all workers offer together."""
        return WORKER_CAPACITY.times(len(self.workers))

    @property
    def small(self) -> tuple[str, ...]:
        """Names of the workspaces that are not large."""
        return tuple(
            entry.workspace
            for entry in self.entitlements
            if entry.workspace not in self.large
        )

    @property
    def large_share(self) -> float:
        """Part of all shares that the large workspaces have."""
        shares = {entry.workspace: entry.share for entry in self.entitlements}
        large = sum(shares[name] for name in self.large)
        return large / sum(shares.values())


def make_cedarline() -> Cell:
    """Returns the cell of the registry of guarantees of origin."""
    names = ("hydro", "wind", "traders", "retailers", "buyers", "auditors")
    return Cell(
        deployment="cedarline",
        service="registry",
        workers=make_workers(24, DOMAINS_TODAY, "registry"),
        entitlements=_make_entitlements(names, 2, 24),
        large=names[:2],
        one_way_ms=5.0,
        sync_ms=1000,
    )


def make_association() -> Cell:
    """Returns the cell of the voucher service."""
    names = ("eastern", "western", "coast", "ranges", "islands", "downs")
    return Cell(
        deployment="association",
        service="vouchers",
        workers=make_workers(24, DOMAINS_TODAY, "vouchers"),
        entitlements=_make_entitlements(names, 2, 24),
        large=names[:2],
        one_way_ms=3.5,
        sync_ms=1000,
    )


def make_fleet(count: int) -> Cell:
    """Returns a cell of `count` workers with the workspaces of the fleet."""
    names = tuple(f"team{number:03}" for number in range(WORKSPACES_FLEET))
    large = names[::FLEET_LARGE_EVERY]
    limit = WORKER_CAPACITY.times(max(6, int(count * FLEET_LIMIT_PART)))
    return Cell(
        deployment="fleet",
        service="vouchers",
        workers=make_workers(count, DOMAINS_FLEET, "vouchers"),
        entitlements=tuple(
            workspaces.Entitlement(
                workspace=name,
                share=LARGE_SHARE if name in large else SMALL_SHARE,
                limit=limit,
            )
            for name in names
        ),
        large=large,
        one_way_ms=5.0,
        sync_ms=2_000,
    )


def make_workers(
    count: int, domains: int, service: str
) -> tuple[workers.Worker, ...]:
    """Returns `count` workers; racks go round the failure domains."""
    return tuple(
        workers.Worker(
            worker_id=f"w{number:05}",
            failure_domain=f"d{number // WORKERS_PER_RACK % domains}",
            rack=f"r{number // WORKERS_PER_RACK}",
            capacity=WORKER_CAPACITY,
            service=service,
        )
        for number in range(count)
    )


def _make_entitlements(
    names: tuple[str, ...], large: int, count: int
) -> tuple[workspaces.Entitlement, ...]:
    return tuple(
        workspaces.Entitlement(
            workspace=name,
            share=LARGE_SHARE if position < large else SMALL_SHARE,
            limit=_part_of_cell(
                count,
                LARGE_LIMIT_PART if position < large else SMALL_LIMIT_PART,
            ),
        )
        for position, name in enumerate(names)
    )


def _part_of_cell(count: int, part: float) -> resources.Resources:
    total = WORKER_CAPACITY.times(count)
    return resources.Resources(
        cpu_millis=int(total.cpu_millis * part),
        memory_mb=int(total.memory_mb * part),
        slots=int(total.slots * part),
    )
