"""Free capacity of the minions during one placement pass."""

from collections.abc import Iterable
import dataclasses

from hickoryreach.scheduling import advice_calls
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.scheduling import unseen_usage
from hickoryreach.structure import resources

RESERVED_WAIT_MS = 2_000
REQUEST_FACTOR = 2.0  # advice may deny, and others may occupy, half of it


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceRoom:
    """What a workspace may still start within its limit.

    Attributes:
        used: What it occupied when this was calculated.
        reserved: What was reserved of its limit then.
        held: What steps that only wait for advice had reserved of it.
        headroom: What any step may start.
        headroom_after_wait: What steps may start that have waited long, which
            includes headroom that others have reserved; None if more than half
            of the limit is used.
    """

    used: resources.Resources
    reserved: resources.Resources
    held: resources.Resources
    headroom: resources.Resources
    headroom_after_wait: resources.Resources | None


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class FreeCapacity:
    """Free and reserved capacity of the minions.

    Attributes:
        free: Unreserved free capacity by minion id, without quarantined
            minions and those kept for tasks that must run alone.
        total_cpu: Processor capacity of all open minions, in thousandths of a
            core.
        services: Service of each minion in `free`, by minion id.
        total_cpus: Processor capacity of the open minions by service, in
            thousandths of a core.
        free_cpus: Free processor capacity of the minions in `free` by service,
            reserved capacity included, in thousandths of a core.
        requested_cpus: Processor capacity for which steps request advice or
            tickets, in thousandths of a core; by service, whether their last
            call failed, and whether their calls are slow.
        reserved_cpu: Processor capacity reserved for gangs, in thousandths of
            a core.
        claims: Number of gangs that have reserved occupied capacity.
        late_reservations: Number of late gangs that fit into free capacity and
            may want to reserve it.
        open_minion_ids: Ids of the open minions by service, quarantined ones
            included.
        minion_capacities: Capacity of one minion of each service.
        largest_free_cpu: Largest free processor capacity of one minion at the
            start of the pass, in thousandths of a core.
        reserved_headroom: Part of its limit that is reserved for steps that
            wait for it, by workspace.
        advice_headroom: Part of the reserved headroom whose steps only wait for
            advice, by workspace.
        lasting_usage: What lasting tasks occupied of the limit when it was
            first asked for, by workspace.
        workspace_rooms: What workspaces may still start, as last calculated.
        crowded: Whether suspects run on many minions of a service, by service,
            as far as it has been looked up since the last one started.
        unknown_usage: The most that runs of unknown size may occupy of any
            workspace's limit.
    """

    free: dict[str, resources.Resources]
    total_cpu: int
    services: dict[str, str] = dataclasses.field(default_factory=dict)
    total_cpus: dict[str, int] = dataclasses.field(default_factory=dict)
    free_cpus: dict[str, int] = dataclasses.field(default_factory=dict)
    requested_cpus: dict[tuple[str, bool, bool], int] = dataclasses.field(
        default_factory=dict
    )
    reserved_cpu: int = 0
    claims: int = 0
    late_reservations: int = 0
    open_minion_ids: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    minion_capacities: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    largest_free_cpu: int = 0
    reserved_headroom: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    advice_headroom: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    lasting_usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    workspace_rooms: dict[str, WorkspaceRoom] = dataclasses.field(
        default_factory=dict
    )
    crowded: dict[str, bool] = dataclasses.field(default_factory=dict)
    unknown_usage: resources.Resources = resources.ZERO

    def open_minion(
        self, minion_id: str, service: str, room: resources.Resources
    ) -> None:
        """Adds the free capacity of a minion of a service."""
        self.free[minion_id] = room
        self.services[minion_id] = service
        free_cpu = self.free_cpus.get(service, 0)
        self.free_cpus[service] = free_cpu + max(0, room.cpu_millis)

    def close_minion(self, minion_id: str) -> None:
        """Keeps a minion from other tasks for the rest of the pass."""
        room = self.free.pop(minion_id, resources.ZERO)
        if minion_id in self.services:
            service = self.services[minion_id]
            self.free_cpus[service] -= max(0, room.cpu_millis)

    def allocate(self, minion_id: str, need: resources.Resources) -> None:
        """Allocates capacity of a minion to a started task."""
        self.free[minion_id] = self.free[minion_id] - need
        self.free_cpus[self.services[minion_id]] -= need.cpu_millis

    def hold(self, minion_id: str, need: resources.Resources) -> None:
        """Holds capacity of a minion for a step that preempts runs there."""
        self.free[minion_id] = self.free[minion_id] - need

    def reserve(self, minion_id: str, need: resources.Resources) -> None:
        """Reserves capacity of a minion for a gang that can't start yet."""
        self.hold(minion_id, need)
        self.reserved_cpu += need.cpu_millis

    def get_headroom(
        self, cell: state.CellState, workspace: str
    ) -> resources.Resources:
        """Returns what a workspace may still start within its limit."""
        return self.get_workspace_room(cell, workspace).headroom

    def get_workspace_room(
        self, cell: state.CellState, workspace: str
    ) -> WorkspaceRoom:
        """Returns what a workspace may still start.

        A pass asks this for each step that waits, and it changes only with the
        starts and reservations of the workspace.
        """
        used = cell.usage.get(workspace, resources.ZERO)
        reserved = self.reserved_headroom.get(workspace, resources.ZERO)
        held = self.advice_headroom.get(workspace, resources.ZERO)
        room = self.workspace_rooms.get(workspace)
        if (
            room is None
            or room.used is not used
            or room.reserved is not reserved
            or room.held is not held
        ):
            limit = runs.get_limit(cell, workspace) - self.get_unseen_usage(
                cell, workspace
            )
            is_half_free = used.times(2).fits_in(limit)
            room = WorkspaceRoom(
                used=used,
                reserved=reserved,
                held=held,
                headroom=limit - used - reserved,
                headroom_after_wait=limit - used - held
                if is_half_free
                else None,
            )
            self.workspace_rooms[workspace] = room
        return room

    def get_unseen_usage(
        self, cell: state.CellState, workspace: str
    ) -> resources.Resources:
        """Returns the most that a workspace may use besides its known runs."""
        earlier = unseen_usage.get_earlier_usage(cell, workspace)
        return self.unknown_usage + earlier

    def reserve_headroom(
        self, workspace: str, need: resources.Resources
    ) -> None:
        """Reserves a part of a workspace's limit for a step that waits."""
        reserved = self.reserved_headroom.get(workspace, resources.ZERO)
        self.reserved_headroom[workspace] = reserved + need


def measure(cell: state.CellState) -> FreeCapacity:
    """Returns the free capacity of all open minions."""
    available = FreeCapacity(
        free={},
        total_cpu=0,
        unknown_usage=unseen_usage.sum_unknown_sizes(cell),
    )
    closed = solitude.list_closed(cell)
    used_cpus: dict[str, int] = {}
    for minion_id, minion in cell.minions.items():
        if not minion.is_open:
            continue
        size = minion.minion.capacity
        service = minion.minion.service
        available.total_cpu += size.cpu_millis
        total_cpu = available.total_cpus.get(service, 0)
        available.total_cpus[service] = total_cpu + size.cpu_millis
        available.open_minion_ids.setdefault(service, []).append(minion_id)
        available.minion_capacities.setdefault(service, size)
        used_cpu = used_cpus.get(service, 0)
        used_cpus[service] = used_cpu + minion.used.cpu_millis
        if minion.quarantined_until_ms > cell.now_ms or minion_id in closed:
            continue
        room = size - minion.used
        available.open_minion(minion_id, service, room)
        available.largest_free_cpu = max(
            available.largest_free_cpu, room.cpu_millis
        )
    cell.crashes.calm_services = {
        service
        for service, total_cpu in available.total_cpus.items()
        if 2 * used_cpus[service] < total_cpu
    }
    return available


def get_service(cell: state.CellState, step: state.StepRecord) -> str:
    """Returns the service of a step's queue as currently configured."""
    stored = step.job.job.queue
    return cell.configuration.queues.get(stored.name, stored).service


def has_label(
    minion: minion_records.MinionRecord, step: state.StepRecord
) -> bool:
    """Returns whether a minion carries the label that a step requires."""
    required_label = step.step.label
    return not required_label or required_label in minion.minion.labels


def apply_minion_limit(
    step: state.StepRecord, minion_id: str, max_count: int
) -> int:
    """Returns a count lowered to the step's remaining limit on a minion."""
    if not step.step.minion_limit:
        return max_count
    present = sum(run.minion_id == minion_id for run in step.runs.values())
    return max(0, min(max_count, step.step.minion_limit - present))


def count_slots(
    available: FreeCapacity,
    step: state.StepRecord,
    minion_id: str,
    max_count: int,
) -> int:
    """Returns how many of a step's tasks fit on a minion, within a limit."""
    room = available.free.get(minion_id)
    if room is None:
        return 0
    return apply_minion_limit(
        step, minion_id, runs.count_fitting(room, step.need, max_count)
    )


def plan_slots(
    available: FreeCapacity,
    step: state.StepRecord,
    minion_ids: Iterable[str],
    count: int,
) -> list[tuple[str, int]] | None:
    """Returns how many of a step's tasks go where, or None if not all fit.

    Minions with the most free processor capacity come first.
    """
    remaining = count
    plan: list[tuple[str, int]] = []
    ordered = sorted(
        (minion_id for minion_id in minion_ids if minion_id in available.free),
        key=lambda minion_id: -available.free[minion_id].cpu_millis,
    )
    for minion_id in ordered:
        if not remaining:
            break
        slots = count_slots(available, step, minion_id, remaining)
        if slots:
            plan.append((minion_id, slots))
            remaining -= slots
    return None if remaining else plan


def has_headroom(
    cell: state.CellState,
    step: state.StepRecord,
    available: FreeCapacity,
    count: int = 1,
) -> bool:
    """Returns whether the workspace's limit permits starts of a step.

    A step that has waited RESERVED_WAIT_MS may use headroom that is reserved
    for others while its workspace uses at most half of its limit: what the
    others wait for may run for long. Steps that only wait for advice keep
    theirs.
    """
    room = available.get_workspace_room(cell, step.job.job.workspace)
    need = step.limit_need if count == 1 else step.limit_need.times(count)
    if need.fits_in(room.headroom):
        return True
    return (
        room.headroom_after_wait is not None
        and cell.now_ms >= step.waiting_since_ms + RESERVED_WAIT_MS
        and need.fits_in(room.headroom_after_wait)
    )


def may_start(
    cell: state.CellState,
    step: state.StepRecord,
    available: FreeCapacity,
    count: int = 1,
) -> bool:
    """Returns whether the limits of workspace and service permit starts.

    What is kept for the first rank in a service must leave room for the starts
    on idle minions; else they would wait, and hold reservations, for ever.
    Lasting tasks may use it, as they would wait for others that don't end.
    """
    need = step.need.times(count)
    if not has_headroom(cell, step, available, count):
        return False
    if step.rank == ordering.FIRST_RANK or step.step.lasting:
        return True
    service = get_service(cell, step)
    total_cpu = available.total_cpus.get(service, 0)
    free_cpu = available.free_cpus.get(service, 0)
    kept = min(
        cell.settings.urgent_fraction * total_cpu, total_cpu - need.cpu_millis
    )
    return free_cpu - need.cpu_millis >= kept


def claim_request(
    cell: state.CellState, step: state.StepRecord, available: FreeCapacity
) -> bool:
    """Counts a step's request for advice or tickets, if it may make one.

    More calls than could lead to starts would only delay those that do. Steps
    of the first rank, lasting ones and gangs in time don't wait for free
    capacity. Steps whose last call failed count among themselves, as the next
    ones may fail too, and so do those with slow calls, which wait for an entry
    for longer.

    Returns:
        Whether it may.
    """
    service = get_service(cell, step)
    free_cpu = max(0, available.free_cpus.get(service, 0))
    group = (service, step.advice_call.failed, _has_slow_calls(cell, step))
    requested_cpu = available.requested_cpus.get(group, 0)
    count = step.step.count if step.step.gang else 1
    limit_cpu = REQUEST_FACTOR * free_cpu
    if (
        not _is_exempt(cell, step)
        and not step.advice_call.pending
        and requested_cpu + count * step.need.cpu_millis > limit_cpu
    ):
        return False
    wanted_cpu = step.need.cpu_millis * len(step.waiting)
    available.requested_cpus[group] = requested_cpu + min(wanted_cpu, free_cpu)
    return True


def _is_exempt(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether a step may request advice whatever is free."""
    return (
        step.rank == ordering.FIRST_RANK
        or step.step.lasting
        or (step.step.gang and ordering.is_in_time(cell, step))
    )


def _has_slow_calls(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether calls for a step's advice are slow."""
    stored = step.job.job.queue
    terms = cell.configuration.queues.get(stored.name, stored).advice
    return terms is not None and terms.call_ms > advice_calls.SLOW_MS
