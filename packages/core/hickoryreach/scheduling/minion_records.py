"""What the owner knows of one minion, and of its present incarnation."""

from __future__ import annotations

import dataclasses
import typing

from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps

if typing.TYPE_CHECKING:
    from hickoryreach.scheduling import state


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class MinionRecord:
    """A minion with its runs and its health.

    Attributes:
        minion: Its registration.
        incarnation: Incarnation that last answered a poll, or 0.
        incarnation_known_ms: When that one answered first, on the owner's
            clock.
        kind_since: Incarnation that was the first one to register its present
            service and labels, as far as this owner has seen.
        polled: Whether it has listed its running tasks since its last lease
            expired.
        reachable: Whether it answers polls.
        unregistered: Whether its registration was removed.
        leaves_ms: Earliest time, on the owner's clock, at which it leaves if
            it is draining; -1 if it is not known to leave.
        runs: Runs that occupy capacity, by task and number.
        used: Occupied capacity.
        orphan_count: Number of its runs of unknown size; no task is placed
            beside them.
        quarantined_until_ms: Time, on the owner's clock, before which no task
            is placed on it.
        failed_jobs: Ids of the jobs of its latest consecutive failures.
        speed: Moving average of its tasks' progress relative to their
            estimates.
    """

    minion: cells.Minion
    incarnation: int = 0
    incarnation_known_ms: int = 0
    kind_since: int = 0
    polled: bool = False
    reachable: bool = False
    unregistered: bool = False
    leaves_ms: int = -1
    runs: dict[tuple[steps.TaskKey, int], state.Run] = dataclasses.field(
        default_factory=dict
    )
    used: resources.Resources = resources.ZERO
    orphan_count: int = 0
    quarantined_until_ms: int = 0
    failed_jobs: dict[str, None] = dataclasses.field(default_factory=dict)
    speed: float = 1.0

    @property
    def is_open(self) -> bool:
        """Whether tasks may be placed on it unless it is quarantined."""
        return (
            self.polled
            and self.reachable
            and self.is_registration_current
            and not self.unregistered
            and not self.minion.draining
            and not self.orphan_count
        )

    def register(self, minion: cells.Minion) -> None:
        """Records a registration."""
        present = self.minion.service, self.minion.labels
        if (minion.service, minion.labels) != present:
            self.kind_since = minion.incarnation
        self.minion = minion
        self.unregistered = False

    def set_incarnation(self, incarnation: int, now_ms: int) -> None:
        """Records the incarnation that has answered a poll."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.incarnation_known_ms = now_ms

    @property
    def is_registration_current(self) -> bool:
        """Whether the incarnation that answers polls is the registered one.

        Another one may be of another kind; which of the two is the later one
        shows only once both agree.
        """
        registered = self.minion.incarnation
        return registered == self.incarnation or not (
            registered and self.incarnation
        )
