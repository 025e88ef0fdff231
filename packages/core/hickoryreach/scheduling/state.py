"""What the owner believes of its cell."""

from __future__ import annotations

import collections
import dataclasses
import enum

from hickoryreach.platform import minions
from hickoryreach.scheduling import settings as settings_module
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps


class Phase(enum.StrEnum):
    """Phases of a run.

    Attributes:
        SENT: The start is under way.
        UNCLEAR: The start had no answer; a stop is under way.
        RUNNING: The minion confirmed or listed it.
        STOPPING: It runs and a stop is under way.
    """

    SENT = "sent"
    UNCLEAR = "unclear"
    RUNNING = "running"
    STOPPING = "stopping"


class JobState(enum.StrEnum):
    """States of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """One start of a task, which takes up room until its end is known.

    Attributes:
        key: The task.
        number: Number of the run; rises with each start of the task.
        minion_id: Where it was started.
        step: The step, or None when its job is not known.
        need: Room that it takes up.
        workspace: Workspace that it counts for.
        phase: What is known of it.
        sent_ms: When the start was sent.
        confirmed_ms: When it was first known to run.
        stop_sent_ms: When a stop was last sent, or -1.
        stopped_ms: When the minion confirmed the stop, or -1.
        percent: Last known progress.
        progress_ms: When the progress last rose.
        listed_ms: When it was last listed, or -1.
        checkpoint: Last known checkpoint.
        share: Share of its speed that a filler may work at, in percent.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    step: StepRecord | None
    need: resources.Resources
    workspace: str
    phase: Phase
    sent_ms: int
    confirmed_ms: int = -1
    stop_sent_ms: int = -1
    stopped_ms: int = -1
    percent: int = 0
    progress_ms: int = 0
    listed_ms: int = -1
    checkpoint: str = ""
    share: int = 100


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Permission to start a step's tasks on one minion.

    Attributes:
        text: What a start carries.
        until_ms: When it expires.
        incarnation: Life of the minion that it was given for.
    """

    text: str
    until_ms: int
    incarnation: int


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class StepRecord:
    """A step of one repeat of a job.

    Attributes:
        job: The job.
        repeat: Which repeat.
        position: Position of the step in the job.
        step: The step.
        ready_ms: When its tasks became due, or -1.
        waiting: Positions of tasks to start, in order.
        runs: Runs that take up room, by position.
        done: Positions of tasks that have ended done.
        failures: Failed runs by position; a gang counts under 0.
        failed_runs: Failed runs that were counted, by position and number;
            those of a gang under 0.
        numbers: Highest run number by position.
        checkpoints: Newest checkpoint by position.
        allowed: Minions that may run it, or None if no advice was had.
        denied: Minions that may not run it.
        tickets: Tickets by minion.
        asking: Whether advice is being asked.
        asked_ms: When advice was last asked.
        shunned: Minions on which one of its runs failed or stood still.
        void: Runs, by position and number, whose lease was over; an end of
            one of them does not count.
    """

    job: JobRecord
    repeat: int
    position: int
    step: steps.Step
    ready_ms: int = -1
    waiting: dict[int, None] = dataclasses.field(default_factory=dict)
    runs: dict[int, Run] = dataclasses.field(default_factory=dict)
    done: set[int] = dataclasses.field(default_factory=set)
    failures: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    failed_runs: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    numbers: dict[int, int] = dataclasses.field(default_factory=dict)
    checkpoints: dict[int, str] = dataclasses.field(default_factory=dict)
    allowed: set[str] | None = None
    denied: set[str] = dataclasses.field(default_factory=set)
    tickets: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    asking: bool = False
    asked_ms: int = -1
    shunned: set[str] = dataclasses.field(default_factory=set)
    void: set[tuple[int, int]] = dataclasses.field(default_factory=set)

    @property
    def is_done(self) -> bool:
        """Whether each of its tasks has ended done."""
        return len(self.done) == self.step.count

    @property
    def rank(self) -> int:
        """Rank of its job; lower goes first."""
        return self.job.job.queue.rank

    @property
    def need(self) -> resources.Resources:
        """Room that one of its tasks takes up on a minion."""
        if not self.step.filler:
            return self.step.need
        return dataclasses.replace(self.step.need, cpu_millis=0)

    def get_key(self, index: int) -> steps.TaskKey:
        """Returns the key of a task."""
        return steps.TaskKey(
            job_id=self.job.job.job_id,
            repeat=self.repeat,
            step=self.position,
            index=index,
        )


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class JobRecord:
    """A job and its progress.

    Attributes:
        job: The job.
        state: Its state.
        accepted_ms: When it was handed in, on the owner's clock.
        due_ms: When it should be completed, on the owner's clock.
        steps: Step records by repeat and position.
        repeats_begun: Repeats whose steps have become due.
        begun: Whether one of its tasks has started.
        kept: Whether it is kept in the store; nothing starts before.
        excess: Whether its workspace had handed in more than its share of
            jobs; such jobs wait for the others.
        unconfirmed_until_ms: Start none of its tasks that may run unseen
            before.
        restored: Whether it was taken over from an earlier owner.
    """

    job: steps.Job
    state: JobState = JobState.QUEUED
    accepted_ms: int = 0
    due_ms: int = 0
    steps: dict[tuple[int, int], StepRecord] = dataclasses.field(
        default_factory=dict
    )
    repeats_begun: int = 0
    begun: bool = False
    kept: bool = True
    excess: bool = False
    unconfirmed_until_ms: int = 0
    restored: bool = False


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Allowance:
    """A token bucket of jobs.

    Attributes:
        jobs: Jobs that may be handed in now.
        at_ms: When that was so.
    """

    jobs: float
    at_ms: int


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class MinionRecord:
    """A minion, what runs on it and how it answers.

    Attributes:
        minion: How it registered itself.
        incarnation: When its present life began, as far as is known.
        looked: Whether it has listed what runs on it.
        reachable: Whether its last call was answered.
        gone: Whether its registration was removed.
        runs: Runs that take up room, by task and number.
        used: Room taken up.
        strays: Listed runs of unknown jobs; nothing is placed beside them.
        blamed_until_ms: Nothing is placed before.
        failed_jobs: Jobs of its latest failures in a row.
        speed: Work done by its tasks against their estimates, of late.
    """

    minion: cells.Minion
    incarnation: int = 0
    looked: bool = False
    reachable: bool = False
    gone: bool = False
    runs: dict[tuple[steps.TaskKey, int], Run] = dataclasses.field(
        default_factory=dict
    )
    used: resources.Resources = resources.ZERO
    strays: int = 0
    blamed_until_ms: int = 0
    failed_jobs: dict[str, None] = dataclasses.field(default_factory=dict)
    speed: float = 1.0

    @property
    def is_open(self) -> bool:
        """Whether tasks may be placed on it."""
        return (
            self.looked
            and self.reachable
            and not self.gone
            and not self.minion.draining
            and not self.strays
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldEnd:
    """An end of a job that is being sought in the store.

    Attributes:
        minion_id: The minion that listed it.
        incarnation: Life of the minion.
        end: The end.
    """

    minion_id: str
    incarnation: int
    end: minions.TaskEnd


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class CellState:
    """The state that the reducer works on.

    Attributes:
        settings: Figures of the deployment.
        epoch: Number of the ownership; run numbers are built from it.
        now_ms: Time of the latest event, on the owner's clock.
        wall_ms: Wall clock at `now_ms`, in ms since 1970.
        configuration: The configuration in force, or None.
        minions: Minions by id.
        jobs: Jobs by id.
        ready: Steps with tasks to start.
        usage: Room taken up by workspace.
        unclear: Runs that need a stop sent again until it is confirmed.
        timed: Jobs with repeats that are not due yet.
        offered: Jobs that are not kept yet.
        usual_speed: Median of the minions' speeds.
        allowed_parts: Part of the minions that steps were allowed, by queue.
        allowances: Jobs that each workspace may hand in within its share.
        ended_job_ids: Jobs that an earlier owner brought to an end, which have
            no record.
        earlier_advice_until_ms: Until when entries may tell of advice that an
            earlier owner asked for; none is asked for restored jobs before.
        sought: Ends that wait for their job to be found in the store, by job.
        dirty: Whether something changed that may let a task start.
    """

    settings: settings_module.Settings
    epoch: int
    now_ms: int = 0
    wall_ms: int = 0
    configuration: cells.Configuration | None = None
    minions: dict[str, MinionRecord] = dataclasses.field(default_factory=dict)
    jobs: dict[str, JobRecord] = dataclasses.field(default_factory=dict)
    ready: dict[int, StepRecord] = dataclasses.field(default_factory=dict)
    usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    unclear: dict[int, Run] = dataclasses.field(default_factory=dict)
    timed: dict[str, JobRecord] = dataclasses.field(default_factory=dict)
    offered: dict[str, JobRecord] = dataclasses.field(default_factory=dict)
    usual_speed: float = 1.0
    allowed_parts: dict[str, float] = dataclasses.field(default_factory=dict)
    allowances: dict[str, Allowance] = dataclasses.field(default_factory=dict)
    ended_job_ids: set[str] = dataclasses.field(default_factory=set)
    earlier_advice_until_ms: int = 0
    sought: dict[str, list[HeldEnd]] = dataclasses.field(default_factory=dict)
    dirty: bool = False
