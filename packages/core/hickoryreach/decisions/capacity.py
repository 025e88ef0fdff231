"""Indexes of the room on workers.

Sizes are grouped into levels, four to each doubling, so that a worker moves
only when its room changes by a fair part, and a search visits groups instead
of workers.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import sortedcontainers

from hickoryreach.structure import resources

GROUPS_PER_SEARCH = 10
WORKERS_PER_GROUP = 4
WORKERS_PER_EDGE_GROUP = 24


def get_level(amount: int) -> int:
    """Returns the level of an amount; levels rise with amounts."""
    if amount <= 0:
        return 0
    shift = amount.bit_length() - 3
    if shift <= 0:
        return amount
    return shift * 4 + (amount >> shift)


def get_group(room: resources.Resources) -> tuple[int, int, int]:
    """Returns the group of workers with about this room."""
    return (
        room.accelerators,
        get_level(room.cpu_millis),
        get_level(room.memory_mb),
    )


class RoomIndex:
    """Workers grouped by accelerators, processor time and memory.

    Attributes:
        planes: Nested sorted maps to a group's members by worker id.
        groups: Group of each worker.
    """

    def __init__(self) -> None:
        """Creates an empty index."""
        self.planes = sortedcontainers.SortedDict()
        self.groups: dict[str, tuple[int, int, int]] = {}

    def put(
        self, worker_id: str, record: Any, room: resources.Resources
    ) -> None:
        """Adds a worker or moves it to the group of its room."""
        group = get_group(room)
        if self.groups.get(worker_id) == group:
            return
        self.remove(worker_id)
        self.groups[worker_id] = group
        accelerators, cpu, memory = group
        plane = self.planes.get(accelerators)
        if plane is None:
            plane = sortedcontainers.SortedDict()
            self.planes[accelerators] = plane
        row = plane.get(cpu)
        if row is None:
            row = sortedcontainers.SortedDict()
            plane[cpu] = row
        row.setdefault(memory, {})[worker_id] = record

    def remove(self, worker_id: str) -> None:
        """Takes a worker out, if it is in."""
        group = self.groups.pop(worker_id, None)
        if group is None:
            return
        accelerators, cpu, memory = group
        plane = self.planes[accelerators]
        row = plane[cpu]
        members = row[memory]
        del members[worker_id]
        if members:
            return
        del row[memory]
        if not row:
            del plane[cpu]
        if not plane:
            del self.planes[accelerators]

    def search(
        self,
        need: resources.Resources,
        get_room: Callable[[Any], resources.Resources],
    ) -> Iterator[Any]:
        """Yields workers with room, tight groups first.

        A quick pass over a bounded part of the groups comes first; only when
        it finds nobody is every group that may fit looked through.
        """
        found = False
        for record in self._scan(need, get_room, bounded=True):
            found = True
            yield record
        if not found:
            yield from self._scan(need, get_room, bounded=False)

    def list_roomiest(self, accelerators: int) -> Iterator[Any]:
        """Yields workers with so many accelerators, most processors first."""
        for count in self.planes.irange(accelerators):
            plane = self.planes[count]
            for level in reversed(plane):
                row = plane[level]
                for memory_level in reversed(row):
                    yield from row[memory_level].values()

    def _scan(
        self,
        need: resources.Resources,
        get_room: Callable[[Any], resources.Resources],
        *,
        bounded: bool,
    ) -> Iterator[Any]:
        cpu = get_level(need.cpu_millis)
        memory = get_level(need.memory_mb)
        groups = 0
        for accelerators in self.planes.irange(need.accelerators):
            plane = self.planes[accelerators]
            for level in plane.irange(cpu):
                row = plane[level]
                for memory_level in row.irange(memory):
                    edge = level == cpu or memory_level == memory
                    hits = 0
                    for record in _scan_group(
                        row[memory_level], need, get_room, edge, bounded
                    ):
                        hits += 1
                        yield record
                    groups += hits > 0
                    if hits and bounded:
                        break
                if bounded and groups >= GROUPS_PER_SEARCH:
                    return


def _scan_group(
    members: dict[str, Any],
    need: resources.Resources,
    get_room: Callable[[Any], resources.Resources],
    edge: bool,
    bounded: bool,
) -> Iterator[Any]:
    tries = WORKERS_PER_EDGE_GROUP if edge else WORKERS_PER_GROUP
    hits = 0
    for record in members.values():
        if bounded:
            tries -= 1
            if tries < 0 or hits >= WORKERS_PER_GROUP:
                return
        if need.fits_in(get_room(record)):
            hits += 1
            yield record


class SlotIndex:
    """Workers of one minion service, the freest and least failing first.

    Attributes:
        rows: Sorted tuples of negative free slots, turn and worker id.
        entries: Row of each worker.
        slots: Slots of all members.
    """

    def __init__(self) -> None:
        """Creates an empty index."""
        self.rows = sortedcontainers.SortedList()
        self.entries: dict[str, tuple[int, int, str]] = {}
        self.sizes: dict[str, int] = {}
        self.slots = 0

    def put(self, worker_id: str, score: int, turn: int, slots: int) -> None:
        """Adds a worker or moves it to its new score."""
        row = (-score, turn, worker_id)
        if self.entries.get(worker_id) == row:
            return
        self.remove(worker_id)
        self.entries[worker_id] = row
        self.rows.add(row)
        self.sizes[worker_id] = slots
        self.slots += slots

    def remove(self, worker_id: str) -> None:
        """Takes a worker out, if it is in."""
        row = self.entries.pop(worker_id, None)
        if row is not None:
            self.rows.remove(row)
            self.slots -= self.sizes.pop(worker_id)

    def list_freest(self) -> Iterator[str]:
        """Yields worker ids, the freest first."""
        for row in self.rows:
            yield row[2]
