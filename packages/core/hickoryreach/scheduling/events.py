"""Events that the reducer turns into effects."""

import dataclasses

from hickoryreach.platform import minions
from hickoryreach.structure import cells
from hickoryreach.structure import steps


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationChanged:
    """The operator put a configuration in force."""

    configuration: cells.Configuration


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinionRegistered:
    """A minion registered itself, or its registration changed."""

    minion: cells.Minion


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinionUnregistered:
    """A minion's registration was removed."""

    minion_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinionPolled:
    """A minion listed what runs and what has ended.

    Attributes:
        minion_id: The minion.
        reply: Its lists.
        sent_ms: When they were asked for.
    """

    minion_id: str
    reply: minions.PollReply
    sent_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinionUnreachable:
    """A minion did not answer."""

    minion_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseExpired:
    """A minion's lease is over by any clock, or it is dropped.

    Nothing that this owner started runs there.
    """

    minion_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartAnswered:
    """A start was confirmed, refused or left without an answer.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Where it was started.
        failure: Why it was not confirmed, or None.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    failure: minions.OrderFailure | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopAnswered:
    """A stop was confirmed or not.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Where it was started.
        confirmed: Whether the minion confirmed it.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    confirmed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobOffered:
    """A job is being written to the store; none of it may start yet."""

    job: steps.Job


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAccepted:
    """A job is kept in the store."""

    job: steps.Job


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobNotFound:
    """The store holds no job of an id that was sought."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled:
    """A caller cancelled a job."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordedEnd:
    """An end that an earlier owner recorded.

    Attributes:
        key: The task.
        number: Number of the run.
        kind: How it ended.
        checkpoint: Its newest checkpoint, or empty.
    """

    key: steps.TaskKey
    number: int
    kind: minions.EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobRecovered:
    """A job read back from the store by a new owner.

    Attributes:
        job: The job.
        ends: Recorded ends of its tasks.
        cancelled: Whether it was cancelled.
        unconfirmed_until_ms: Start nothing of it before; an earlier owner's
            run may be on a minion that can't be asked.
    """

    job: steps.Job
    ends: tuple[RecordedEnd, ...] = ()
    cancelled: bool = False
    unconfirmed_until_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAlreadyEnded:
    """A job that an earlier owner brought to its final state."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EarlierRunsConfirmed:
    """Every run of an earlier owner is accounted for."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceCallEnded:
    """A call for advice has ended.

    Attributes:
        job_id: The job.
        repeat: Which repeat.
        position: The step.
        asked: Minions asked about.
        tickets: Tickets by minion; None if the call failed.
        valid_ms: How long the tickets may be used from now on.
        from_earlier_owner: Whether an earlier owner asked for it.
    """

    job_id: str
    repeat: int
    position: int
    asked: tuple[str, ...]
    tickets: dict[str, str] | None
    valid_ms: int = 0
    from_earlier_owner: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Time passed.

    Attributes:
        wall_ms: Wall clock, in ms since 1970.
    """

    wall_ms: int


Event = (
    ConfigurationChanged
    | MinionRegistered
    | MinionUnregistered
    | MinionPolled
    | MinionUnreachable
    | LeaseExpired
    | StartAnswered
    | StopAnswered
    | JobOffered
    | JobAccepted
    | JobNotFound
    | JobCancelled
    | JobRecovered
    | JobAlreadyEnded
    | EarlierRunsConfirmed
    | AdviceCallEnded
    | Ticked
)
