"""Events that the reducer handles."""

import dataclasses

from hickoryreach.platform import minions
from hickoryreach.scheduling import predecessors
from hickoryreach.structure import cells
from hickoryreach.structure import steps


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationChanged:
    """The operator activated a configuration."""

    configuration: cells.Configuration


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinionRegistered:
    """A minion registered, or its registration changed."""

    minion: cells.Minion


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinionUnregistered:
    """A minion's registration was removed."""

    minion_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinionPolled:
    """A minion answered a poll.

    Attributes:
        minion_id: Id of the minion.
        reply: Its running tasks and ends.
        sent_ms: When the poll was sent, on the owner's clock.
        lists_all_ends: Whether the minion had no further end to list. Only
            then does a run that is neither running nor ended not exist.
    """

    minion_id: str
    reply: minions.PollReply
    sent_ms: int
    lists_all_ends: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinionUnreachable:
    """A minion did not answer a poll."""

    minion_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseExpired:
    """A minion's lease has expired on every clock, or the minion was removed.

    No run that this owner started executes there any more.
    """

    minion_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartAnswered:
    """A start was confirmed or refused, or got no answer.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Id of the minion.
        failure: Why it was not confirmed, or None if it was.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    failure: minions.OrderFailure | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartContacted:
    """A minion answered a poll right before a start is sent to it.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Id of the minion.
    """

    key: steps.TaskKey
    number: int
    minion_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareAnswered:
    """A minion has confirmed or refused a share of its speed for a run.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Id of the minion.
        share: The share, in percent.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    share: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopAnswered:
    """A stop was confirmed, or not.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Id of the minion.
        confirmed: Whether the minion confirmed it.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    confirmed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobOffered:
    """A job is being written to the store; its tasks may not start yet."""

    job: steps.Job


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAccepted:
    """A job is in the store."""

    job: steps.Job


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobNotFound:
    """A job that was looked up is not in the store."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled:
    """A caller cancelled a job."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordedEnd:
    """An end of a run that an earlier owner recorded.

    Attributes:
        key: The task.
        number: Number of the run.
        kind: How the run ended.
        checkpoint: The newest checkpoint of the task, or empty.
        proven: Whether the minion crashed for certain while the run was at
            work there, if this tells of a crash.
    """

    key: steps.TaskKey
    number: int
    kind: minions.EndKind
    checkpoint: str
    proven: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashStored:
    """The crash of a minion under a run is in the store.

    Attributes:
        key: The task.
        number: Number of the run.
    """

    key: steps.TaskKey
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobRecovered:
    """A new owner has read a job from the store.

    Attributes:
        job: The job.
        ends: Recorded ends of its tasks.
        cancelled: Whether it was cancelled.
        unconfirmed: Whether none of its tasks may start before
            `EarlierRunsConfirmed`, because a run of an earlier owner may still
            execute, or have ended, unseen.
        hiding_epochs: Epochs whose takeovers may each have hidden a crash under
            each of its tasks.
    """

    job: steps.Job
    ends: tuple[RecordedEnd, ...] = ()
    cancelled: bool = False
    unconfirmed: bool = False
    hiding_epochs: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAlreadyEnded:
    """A job is already in a final state, recorded by an earlier owner.

    Attributes:
        job_id: Id of the job.
        ended: What its record tells of it.
    """

    job_id: str
    ended: predecessors.EndedJob = predecessors.EndedJob()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EarlierRunsUnconfirmed:
    """Runs of earlier owners may execute on minions that don't answer.

    Attributes:
        until_ms: When they have ended for certain, on the owner's clock, by id
            of the minion.
        elsewhere_until_ms: The same for minions whose ids are not known; 0 if
            all are.
    """

    until_ms: dict[str, int]
    elsewhere_until_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EarlierRunsConfirmed:
    """Each run of an earlier owner is known or has ended without effect."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdviceCallEnded:
    """A call for advice has ended.

    Attributes:
        job_id: Id of the job.
        repeat: Number of the repeat, from 0.
        position: Position of the step in the job.
        asked: Ids of the minions that the call named.
        tickets: Tickets by minion id; None if the call failed.
        valid_ms: How long the tickets are valid from now on.
        started_ms: When an entry began the call, on the owner's clock; -1 means
            when it was requested.
        from_earlier_owner: Whether an earlier owner made the call.
        earlier_incarnations: Incarnations, by id, of the minions that an
            earlier owner asked about; those it lacks are not known.
    """

    job_id: str
    repeat: int
    position: int
    asked: tuple[str, ...]
    tickets: dict[str, str] | None
    valid_ms: int = 0
    started_ms: int = -1
    from_earlier_owner: bool = False
    earlier_incarnations: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Time has passed.

    Attributes:
        wall_ms: Wall-clock time, in ms since 1970.
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
    | StartContacted
    | ShareAnswered
    | StopAnswered
    | JobOffered
    | JobAccepted
    | JobNotFound
    | JobCancelled
    | CrashStored
    | JobRecovered
    | JobAlreadyEnded
    | EarlierRunsUnconfirmed
    | EarlierRunsConfirmed
    | AdviceCallEnded
    | Ticked
)
