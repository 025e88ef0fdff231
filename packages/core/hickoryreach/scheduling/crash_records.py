"""What is known of the minions that crashed while they ran a task."""

import dataclasses

from hickoryreach.platform import minions
from hickoryreach.structure import steps

SUSPECT_CRASHES = 2
SOLITARY_CRASHES = 3
PROVEN_CRASHES = 2  # without which no job is given up
NO_RUN = -1


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class CrashedTask:
    """Crashes of minions that were running one task.

    Attributes:
        runs: Numbers of the runs under which a minion crashed.
        unstored: Those of them that the store doesn't hold yet.
        proven: Those of them that were at work on a minion which has crashed
            for certain. The others may have met one that was away already.
        solitary_run: Number of the latest run that was started alone on its
            minion, or -1.
        doubtful_run: Number of the run that was alone on a minion of which it
            is uncertain whether it crashed, or -1; the task waits meanwhile.
        inconclusive: Whether a minion crashed under it since it must run alone,
            which did not show that it is the cause.
        hidden_limit: Number of further crashes that takeovers may have hidden.
    """

    runs: set[int] = dataclasses.field(default_factory=set)
    unstored: set[int] = dataclasses.field(default_factory=set)
    proven: set[int] = dataclasses.field(default_factory=set)
    solitary_run: int = NO_RUN
    doubtful_run: int = NO_RUN
    inconclusive: bool = False
    hidden_limit: int = 0

    @property
    def count(self) -> int:
        """Number of crashes, with those that takeovers may have hidden."""
        return len(self.runs) + self.hidden_limit if self.runs else 0

    @property
    def is_suspect(self) -> bool:
        """Whether the task is kept apart from other suspects."""
        return self.count >= SUSPECT_CRASHES

    @property
    def needs_solitude(self) -> bool:
        """Whether the task runs only alone on a minion."""
        return self.count >= SOLITARY_CRASHES

    @property
    def is_convictable(self) -> bool:
        """Whether enough minions have crashed under it to give its job up."""
        return len(self.proven) >= PROVEN_CRASHES

    @property
    def must_wait(self) -> bool:
        """Whether its crashes must be certain and stored before it starts."""
        return self.doubtful_run != NO_RUN or (
            self.is_suspect and bool(self.unstored)
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LapsedRuns:
    """Runs that count as crashed because their minion's lease expired.

    Attributes:
        incarnation: Incarnation of the minion; if it answers again, the runs
            don't count any longer.
        lapsed_ms: When the lease expired, on the owner's clock.
        runs: The runs, by task and number.
        at_work: Those of them that were at work on the minion.
        solitary: Those of them that were alone on the minion.
    """

    incarnation: int
    lapsed_ms: int
    runs: tuple[tuple[steps.TaskKey, int], ...]
    at_work: tuple[tuple[steps.TaskKey, int], ...] = ()
    solitary: tuple[tuple[steps.TaskKey, int], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Minions that are left to empty for a task that must run alone.

    Attributes:
        key: The first task of the step that they are reserved for.
        minion_ids: Ids of the minions.
        reserved_ms: When they were reserved, on the owner's clock.
    """

    key: steps.TaskKey
    minion_ids: tuple[str, ...]
    reserved_ms: int


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class CrashState:
    """Crashes and their consequences in the whole cell.

    Attributes:
        lapsed: Runs that counted when a lease expired, by id of the minion.
        solitary_minion_ids: Ids of the minions on which a task runs alone.
        reservations: The present reservations, by their key.
        calm_services: Services of whose capacity less than half was in use when
            that was last measured.
    """

    lapsed: dict[str, LapsedRuns] = dataclasses.field(default_factory=dict)
    solitary_minion_ids: set[str] = dataclasses.field(default_factory=set)
    reservations: dict[steps.TaskKey, Reservation] = dataclasses.field(
        default_factory=dict
    )
    calm_services: set[str] = dataclasses.field(default_factory=set)


def is_crash_row(kind: minions.EndKind, checkpoint: str) -> bool:
    """Returns whether a recorded end tells of a counted or retracted crash.

    A lease's end without a checkpoint counts a crash, and a stop without one
    retracts it. No other such ends are recorded, and owners that know nothing
    of crashes merely start the task again.
    """
    return not checkpoint and kind in (
        minions.EndKind.LEASE_EXPIRED,
        minions.EndKind.STOPPED,
    )


def apply_row(
    tasks: dict[int, CrashedTask],
    index: int,
    number: int,
    kind: minions.EndKind,
    hidden_limit: int,
    *,
    proven: bool,
) -> None:
    """Applies a row of an earlier owner to the crashed tasks of a step.

    The takeover itself may have hidden one crash at least, as the task was in
    danger. A crash beyond SOLITARY_CRASHES that ended no job has not shown
    whether the task is the cause.
    """
    task = tasks.setdefault(
        index, CrashedTask(hidden_limit=max(1, hidden_limit))
    )
    if kind is minions.EndKind.STOPPED:
        task.runs.discard(number)
        task.proven.discard(number)
    else:
        task.runs.add(number)
        if proven:
            task.proven.add(number)
    task.inconclusive = len(task.runs) > SOLITARY_CRASHES
