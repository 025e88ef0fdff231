"""State of the cell as the owner knows it."""

from __future__ import annotations

import collections
import dataclasses
import enum

from hickoryreach.scheduling import advice_calls
from hickoryreach.scheduling import advice_tickets
from hickoryreach.scheduling import crash_records
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import predecessors
from hickoryreach.scheduling import settings as settings_module
from hickoryreach.scheduling import token_buckets
from hickoryreach.scheduling import wait_causes
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps


class Phase(enum.StrEnum):
    """Phases of a run.

    Attributes:
        SENT: The start was sent and not answered yet.
        UNCLEAR: It is uncertain whether the run exists.
        RUNNING: The minion confirmed or listed the run.
        STOPPING: The run was confirmed and a stop was sent.
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
    """One start of a task, which occupies capacity until its end is known.

    All times are in ms on the owner's clock.

    Attributes:
        key: The task.
        number: Number of the run; increases with each start of the task.
        minion_id: Id of the minion that it was started on.
        incarnation: Incarnation of the minion that it was decided for; 0 if
            that is not known.
        contacted: Whether the minion answered a poll right before the start.
        step: The step, or None if the run belongs to no known step.
        need: What it occupies of the minion's capacity.
        limit_need: What it occupies of its workspace's limit.
        workspace: Workspace whose limit it counts towards.
        phase: Its phase.
        sent_ms: When the start was sent.
        confirmed_ms: When it was first known to run, or -1.
        stop_sent_ms: When a stop was last sent, or -1.
        stopped_ms: When it became certain that it is stopped or can no longer
            begin, or -1.
        percent: Last known progress.
        progress_ms: When it last made progress.
        listed_ms: When the minion last listed it, or -1.
        checkpoint: Last known checkpoint.
        share: Share of its full speed that a filler may use, in percent.
        share_answered: Whether the minion has answered to that share.
        share_sent_ms: When it was last sent.
        has_known_size: Whether `need` and `workspace` are those of its task.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    step: StepRecord | None
    need: resources.Resources
    limit_need: resources.Resources
    workspace: str
    phase: Phase
    sent_ms: int
    confirmed_ms: int = -1
    stop_sent_ms: int = -1
    stopped_ms: int = -1
    percent: int = 0
    progress_ms: int = 0
    listed_ms: int = -1
    incarnation: int = 0
    contacted: bool = False
    checkpoint: str = ""
    share: int = 100
    share_answered: bool = True
    share_sent_ms: int = 0
    has_known_size: bool = True


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class StepRecord:
    """A step of one repeat of a job.

    Attributes:
        job: The job.
        repeat: Number of the repeat, from 0.
        position: Position of the step in the job.
        step: The step.
        ready_ms: When its tasks became ready, on the owner's clock, or -1.
        waiting: Indexes of the tasks to start, in order.
        runs: Runs that occupy capacity, by index of the task.
        done: Indexes of the tasks that are done.
        failures: Number of failed runs by index of the task; those of a gang
            count under 0.
        failed_runs: Failed runs that were counted, by index of the task and
            number of the run; those of a gang under index 0.
        highest_numbers: Highest run number by index of the task.
        checkpoints: Newest checkpoint by index of the task; that of a gang
            under 0.
        allowed: Incarnations of minions that may run it, by id, or None before
            any advice.
        denied: Incarnations of minions that may not run it, by id, or 0.
        tickets: Tickets by minion id.
        advice_call: The latest call for advice.
        avoided_minions: Ids of minions on which one of its runs failed or
            stalled; other minions are preferred.
        invalidated: Runs, by index of the task and number of the run, whose
            lease expired or whose minion restarted; their ends are ignored.
        waiting_since_ms: When it last became ready, started a task or got one
            back, on the owner's clock.
        considered_ms: When a pass last considered it, on the owner's clock, or
            -1 if none has since its last advice.
        suspect_since_ms: Since when it lacks a minion that is empty, or without
            suspects, for one of its suspects, on the owner's clock, or -1.
        wait_cause: What kept it from starting then.
        wait_reported_ms: When its wait was last logged, on the owner's clock.
        crashes: Tasks under which minions crashed, by index of the task.
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
    highest_numbers: dict[int, int] = dataclasses.field(default_factory=dict)
    checkpoints: dict[int, str] = dataclasses.field(default_factory=dict)
    allowed: dict[str, int] | None = None
    denied: dict[str, int] = dataclasses.field(default_factory=dict)
    tickets: dict[str, advice_tickets.Ticket] = dataclasses.field(
        default_factory=dict
    )
    advice_call: advice_calls.AdviceCall = dataclasses.field(
        default_factory=advice_calls.AdviceCall
    )
    avoided_minions: set[str] = dataclasses.field(default_factory=set)
    invalidated: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    waiting_since_ms: int = 0
    considered_ms: int = -1
    suspect_since_ms: int = -1
    wait_cause: wait_causes.WaitCause = wait_causes.WaitCause.NOT_CONSIDERED
    wait_reported_ms: int = -(2**53)
    crashes: dict[int, crash_records.CrashedTask] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_done(self) -> bool:
        """Whether all of its tasks are done."""
        return len(self.done) == self.step.count

    @property
    def rank(self) -> int:
        """Rank of its queue; lower ranks go first."""
        return self.job.job.queue.rank

    @property
    def need(self) -> resources.Resources:
        """Capacity that one of its tasks occupies on a minion."""
        return self.step.minion_need

    @property
    def limit_need(self) -> resources.Resources:
        """Part of its workspace's limit that one of its tasks occupies.

        A filler's processor time counts, although its minion has it to spare.
        """
        return self.step.need

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
        accepted_ms: When it was submitted, on the owner's clock.
        due_ms: When it should be completed, on the owner's clock.
        steps: Step records by repeat and position.
        repeats_begun: Number of repeats that have begun.
        begun: Whether one of its tasks has started.
        kept: Whether it is in the store; its tasks can't start before.
        exceeds_share: Whether its workspace had submitted more than its share
            of jobs; such jobs are placed after all others.
        unconfirmed: Whether none of its tasks may start yet, because a run of
            an earlier owner may still execute, or have ended, unseen.
        recovered: Whether it was read from the store after a takeover.
        hiding_epochs: Epochs whose takeovers may each have hidden a crash under
            each of its tasks.
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
    exceeds_share: bool = False
    unconfirmed: bool = False
    recovered: bool = False
    hiding_epochs: tuple[int, ...] = ()


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class CellState:
    """State that the reducer updates.

    Attributes:
        settings: Parameters of the scheduler.
        epoch: Epoch of the ownership; run numbers are derived from it.
        now_ms: Time of the latest event, on the owner's clock.
        wall_ms: Wall-clock time of the latest tick, in ms since 1970.
        configuration: The active configuration, or None.
        configured_ms: When it was activated, on the owner's clock.
        minions: Minions by id.
        jobs: Jobs by id.
        ready: Steps with tasks to start, by identity of the record.
        usage: Occupied capacity by workspace.
        workspace_runs: Runs that occupy capacity, by workspace and identity of
            the run.
        unclear: Runs with an unconfirmed stop, by identity of the run.
        pending_repeats: Jobs with repeats that are not due yet, by id.
        offered: Jobs that are not stored yet, by id.
        median_speed: Median of the minions' speeds.
        allowed_fractions: Moving average of the fraction of minions that advice
            allowed, by name of the queue.
        submission_buckets: Token buckets of the submissions, by workspace.
        ended_jobs: Jobs that an earlier owner ended and that have no record,
            by id.
        earlier_runs: Runs of earlier owners that may execute unseen; None if
            there can be none.
        earlier_advice_until_ms: Time, on the owner's clock, until which entries
            may report advice that an earlier owner requested; none is
            requested for recovered jobs before.
        deferred_ends: Ends that wait for their job to be looked up in the
            store, by id of the job.
        crashes: Crashes of minions and their consequences.
        dirty: Whether a change since the last pass may let a task start.
        next_wait_report_ms: Earliest time of the next log lines on steps that
            wait, on the owner's clock.
    """

    settings: settings_module.Settings
    epoch: int
    now_ms: int = 0
    wall_ms: int = 0
    configuration: cells.Configuration | None = None
    configured_ms: int = 0
    minions: dict[str, minion_records.MinionRecord] = dataclasses.field(
        default_factory=dict
    )
    jobs: dict[str, JobRecord] = dataclasses.field(default_factory=dict)
    ready: dict[int, StepRecord] = dataclasses.field(default_factory=dict)
    usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    workspace_runs: dict[str, dict[int, Run]] = dataclasses.field(
        default_factory=dict
    )
    unclear: dict[int, Run] = dataclasses.field(default_factory=dict)
    pending_repeats: dict[str, JobRecord] = dataclasses.field(
        default_factory=dict
    )
    offered: dict[str, JobRecord] = dataclasses.field(default_factory=dict)
    median_speed: float = 1.0
    allowed_fractions: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    submission_buckets: dict[str, token_buckets.TokenBucket] = (
        dataclasses.field(default_factory=dict)
    )
    ended_jobs: dict[str, predecessors.EndedJob] = dataclasses.field(
        default_factory=dict
    )
    earlier_runs: predecessors.EarlierRuns | None = None
    earlier_advice_until_ms: int = 0
    deferred_ends: dict[str, list[predecessors.DeferredEnd]] = (
        dataclasses.field(default_factory=dict)
    )
    crashes: crash_records.CrashState = dataclasses.field(
        default_factory=crash_records.CrashState
    )
    dirty: bool = False
    next_wait_report_ms: int = 0

    def get_incarnation(self, minion_id: str) -> int:
        """Returns the incarnation that a minion last answered in, or 0."""
        record = self.minions.get(minion_id)
        return record.incarnation if record is not None else 0
