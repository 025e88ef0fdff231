"""Room of the minions within one pass over what waits."""

import dataclasses

from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.structure import resources

FIRST_RANK = 0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Rooms:
    """Room that may be filled, by minion, and what is kept for others.

    Attributes:
        free: Room that may be filled, by minion id.
        total_cpu: Processor capacity of all open minions.
        free_cpu: Processor room of all open minions.
        claimed_cpu: Processor room that gangs keep for themselves.
        claims: Gangs that keep room for themselves.
        late_keeps: Late gangs that keep room while they ask for tickets.
        open_ids: Minions that tasks may be placed on, by service, also those
            that are avoided at present.
        sizes: Capacity of one minion of each service.
        most_cpu: Most processor room on one minion at the start of the pass.
    """

    free: dict[str, resources.Resources]
    total_cpu: int
    free_cpu: int
    claimed_cpu: int = 0
    claims: int = 0
    late_keeps: int = 0
    open_ids: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    sizes: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    most_cpu: int = 0

    def take(self, minion_id: str, need: resources.Resources) -> None:
        """Counts room as filled."""
        self.free[minion_id] = self.free[minion_id] - need
        self.free_cpu -= need.cpu_millis

    def keep(self, minion_id: str, need: resources.Resources) -> None:
        """Counts room as kept for a step that can't start yet."""
        self.free[minion_id] = self.free[minion_id] - need
        self.claimed_cpu += need.cpu_millis


def measure(cell: state.CellState) -> Rooms:
    """Returns the room of every minion that tasks may be placed on."""
    rooms = Rooms(free={}, total_cpu=0, free_cpu=0)
    for minion_id, minion in cell.minions.items():
        if not minion.is_open:
            continue
        size = minion.minion.capacity
        service = minion.minion.service
        rooms.total_cpu += size.cpu_millis
        rooms.open_ids.setdefault(service, []).append(minion_id)
        rooms.sizes.setdefault(service, size)
        if minion.blamed_until_ms > cell.now_ms:
            continue
        room = size - minion.used
        rooms.free[minion_id] = room
        rooms.free_cpu += max(0, room.cpu_millis)
        rooms.most_cpu = max(rooms.most_cpu, room.cpu_millis)
    return rooms


def is_fit(minion: state.MinionRecord, step: state.StepRecord) -> bool:
    """Returns whether a minion may ever run a step's tasks."""
    wanted = step.step.label
    return not wanted or wanted in minion.minion.labels


def count_limit(step: state.StepRecord, minion_id: str, most: int) -> int:
    """Returns how many more tasks a step may have on a minion."""
    if not step.step.minion_limit:
        return most
    present = sum(run.minion_id == minion_id for run in step.runs.values())
    return max(0, min(most, step.step.minion_limit - present))


def count_slots(
    rooms: Rooms, step: state.StepRecord, minion_id: str, most: int
) -> int:
    """Returns how many of a step's tasks fit on a minion now."""
    room = rooms.free.get(minion_id)
    if room is None:
        return 0
    return count_limit(
        step, minion_id, runs.count_fitting(room, step.need, most)
    )


def may_start(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: Rooms,
    count: int = 1,
) -> bool:
    """Returns whether limits let that many tasks of a step start."""
    need = step.need.times(count)
    if not runs.is_within_limit(cell, step.job.job.workspace, need):
        return False
    if step.rank == FIRST_RANK:
        return True
    kept = cell.settings.urgent_part * rooms.total_cpu
    return rooms.free_cpu - need.cpu_millis >= kept
