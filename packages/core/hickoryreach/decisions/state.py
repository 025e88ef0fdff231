"""State of one shard as its owner knows it."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import Any

import sortedcontainers

from hickoryreach.decisions import capacity
from hickoryreach.decisions import records
from hickoryreach.decisions import settings as settings_module
from hickoryreach.structure import jobs
from hickoryreach.structure import resources


def _make_blocked() -> sortedcontainers.SortedKeyList:
    return sortedcontainers.SortedKeyList(key=lambda lane: lane.need.cpu_millis)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class ShardState:
    """Everything one owner decides from.

    Attributes:
        settings: Bounds and delays.
        seed: Seed of the generator.
        term: Term of the owner; attempts of different terms differ by it.
        now_ms: Time of the event being reduced.
        generator: Generator for jitter.
        workers: Workers by id.
        jobs: Jobs by id, final ones until forgotten.
        workspaces: Workspaces by name.
        total: Capacity of all workers.
        capacities: Count of workers by capacity and service.
        totals_changed: Whether parts of the cell must be worked out again.
        free: Index of the room for new tasks.
        reclaim: Index of the room that displacing would give.
        pools: Workers of each minion service, the freest first.
        racks: Workers by failure domain and rack.
        lanes: Lanes by key.
        order: Heap of lanes that may have room.
        blocked: Lanes without room, by pool.
        blocked_order: Heaps of blocked lanes by pool, by order key.
        grown: Workers that gained room and are not offered yet, by pool.
        kept: Room kept for large tasks.
        served_key: Key of the queue that an ordinary task was placed from.
        served_sequence: Sequence of that task's job.
        lacking: Urgent jobs for whose tasks no room is made yet.
        limited: Urgent queues that their workspace's limit holds back.
        profiles: What is known about commands, by workspace and command.
        resized: Profiles whose learned size may have changed.
        gangs: Waiting gangs by workspace, in order.
        misfits: Gangs that the cell is too small for.
        gathering: The gang that gathers room.
        launching: Gangs whose tasks are being started.
        ready: Urgent reservations to look at.
        waves: Jobs by workspace and wave.
        cancelling: Waves being cancelled, with the last sequence meant.
        restored: Jobs on hold.
        settled: Whether all holds of an earlier owner are cleared.
        clearing: Whether holds are being cleared.
        strays: Unidentified tasks, by job.
        early_ends: Ends of attempts whose job is not restored yet.
        timers: Heap of due time, sequence, kind and subject.
        quarantined: Workers set aside or being probed.
        finals: Final jobs in the order they are forgotten.
        sequence: Last sequence given out.
        growth: Times that a worker gained room.
        rescan_ms: When slow checks run next.
        requests: Requests waiting.
        waiting: Other tasks waiting.
        weight: Sum of the shares.
    """

    settings: settings_module.Settings = dataclasses.field(
        default_factory=settings_module.Settings
    )
    seed: int = 0
    term: int = 0
    now_ms: int = 0
    generator: random.Random = dataclasses.field(default_factory=random.Random)
    workers: dict[str, records.WorkerRecord] = dataclasses.field(
        default_factory=dict
    )
    jobs: dict[str, records.JobRecord] = dataclasses.field(default_factory=dict)
    workspaces: dict[str, records.WorkspaceRecord] = dataclasses.field(
        default_factory=dict
    )
    total: resources.Resources = resources.ZERO
    capacities: collections.Counter[tuple[resources.Resources, str]] = (
        dataclasses.field(default_factory=collections.Counter)
    )
    totals_changed: bool = False
    free: capacity.RoomIndex = dataclasses.field(
        default_factory=capacity.RoomIndex
    )
    reclaim: capacity.RoomIndex = dataclasses.field(
        default_factory=capacity.RoomIndex
    )
    pools: dict[str, capacity.SlotIndex] = dataclasses.field(
        default_factory=dict
    )
    racks: dict[str, dict[str, dict[str, records.WorkerRecord]]] = (
        dataclasses.field(default_factory=dict)
    )
    lanes: dict[tuple[Any, ...], records.Lane] = dataclasses.field(
        default_factory=dict
    )
    order: list[tuple[int, float, int, records.Lane]] = dataclasses.field(
        default_factory=list
    )
    blocked: dict[str, sortedcontainers.SortedKeyList] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(_make_blocked)
    )
    blocked_order: dict[str, list[tuple[int, float, int, records.Lane]]] = (
        dataclasses.field(default_factory=dict)
    )
    grown: dict[tuple[str, str], records.WorkerRecord] = dataclasses.field(
        default_factory=dict
    )
    kept: list[records.Claim] = dataclasses.field(default_factory=list)
    served_key: float = 0.0
    served_sequence: int = 0
    lacking: dict[str, records.JobRecord] = dataclasses.field(
        default_factory=dict
    )
    limited: dict[tuple[Any, ...], records.JobQueue] = dataclasses.field(
        default_factory=dict
    )
    profiles: dict[tuple[str, str], records.Profile] = dataclasses.field(
        default_factory=dict
    )
    resized: list[records.Profile] = dataclasses.field(default_factory=list)
    gangs: dict[str, sortedcontainers.SortedDict] = dataclasses.field(
        default_factory=dict
    )
    misfits: dict[str, records.JobRecord] = dataclasses.field(
        default_factory=dict
    )
    gathering: records.JobRecord | None = None
    launching: dict[str, records.JobRecord] = dataclasses.field(
        default_factory=dict
    )
    ready: collections.deque[records.Claim] = dataclasses.field(
        default_factory=collections.deque
    )
    waves: dict[tuple[str, str], dict[str, records.JobRecord]] = (
        dataclasses.field(default_factory=dict)
    )
    cancelling: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    restored: dict[str, records.JobRecord] = dataclasses.field(
        default_factory=dict
    )
    settled: bool = False
    clearing: bool = False
    strays: dict[str, dict[jobs.TaskKey, records.Attempt]] = dataclasses.field(
        default_factory=dict
    )
    early_ends: dict[str, dict[jobs.TaskKey, Any]] = dataclasses.field(
        default_factory=dict
    )
    timers: list[tuple[int, int, str, Any]] = dataclasses.field(
        default_factory=list
    )
    quarantined: dict[str, None] = dataclasses.field(default_factory=dict)
    finals: collections.deque[tuple[int, records.JobRecord]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    sequence: int = 0
    growth: int = 0
    rescan_ms: int = 0
    requests: int = 0
    waiting: int = 0
    weight: float = 0.0

    def __post_init__(self) -> None:
        """Seeds the generator."""
        self.generator.seed(self.seed)

    @property
    def has_more(self) -> bool:
        """Whether bounded work was left over for the next event."""
        return bool(
            self.order
            or self.cancelling
            or self.clearing
            or self.launching
            or self.ready
            or self.grown
        )
