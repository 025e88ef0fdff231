"""Jobs made of steps, as callers submit them."""

import dataclasses

from hickoryreach.structure import cells
from hickoryreach.structure import resources


def get_minion_need(
    need: resources.Resources, *, filler: bool
) -> resources.Resources:
    """Returns what a task occupies of a minion's capacity.

    A filler's processor time is not counted.
    """
    return dataclasses.replace(need, cpu_millis=0) if filler else need


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Tasks of one size that become ready together.

    Attributes:
        count: Number of tasks.
        need: Resources of one task.
        estimate_ms: Estimated run time of a task, in ms; 0 if unknown.
        after: Positions of earlier steps that must be done first.
        saves: Whether its tasks write checkpoints.
        gang: Whether its tasks can only run all at the same time.
        same_rack: Whether the step runs slower on more than one rack.
        label: Label that a minion must have, or empty.
        rack: Rack that holds the data of the step, or empty.
        minion_limit: Maximum number of its tasks on one minion; 0 for no
            limit.
        speculative: Whether copies of a task may run at the same time.
        lasting: Whether its tasks run until the job is cancelled.
        image: Name of the image that its tasks run.
        latency_limit_ms: Maximum tail latency of its lasting tasks, in ms; 0
            for no limit.
        filler: Whether its tasks use only processor time that other tasks
            leave unused.
        away_limit: Maximum number of its lasting tasks that the scheduler
            may interrupt at the same time.
    """

    count: int = 1
    need: resources.Resources = resources.ZERO
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    minion_limit: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    latency_limit_ms: int = 0
    filler: bool = False
    away_limit: int = 0

    @property
    def minion_need(self) -> resources.Resources:
        """What one task occupies of a minion's capacity."""
        return get_minion_need(self.need, filler=self.filler)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StepSize:
    """Size of a step of a job that is in a final state.

    Attributes:
        count: Number of tasks.
        need: Resources of one task.
        filler: Whether its tasks use only processor time that other tasks
            leave unused.
    """

    count: int
    need: resources.Resources
    filler: bool = False

    @property
    def minion_need(self) -> resources.Resources:
        """What one task occupies of a minion's capacity."""
        return get_minion_need(self.need, filler=self.filler)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A job as it is stored.

    The store holds it under these field names.

    Attributes:
        job_id: Id chosen by the caller.
        workspace: Workspace whose key was used for the submission; empty for
            an open queue.
        queue: Queue that the job was submitted to, as configured then.
        payload: Input of its tasks.
        steps: Steps of the job.
        accepted_ms: Wall clock when the submission arrived, in ms since
            1970.
        repeats: Number of times that the steps run; 0 for a job that does
            not repeat.
        first_ms: Time at which the first repeat is due, in ms since 1970.
        interval_ms: Time between two repeats, in ms.
    """

    job_id: str
    workspace: str
    queue: cells.Queue
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int
    repeats: int = 0
    first_ms: int = 0
    interval_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class TaskKey:
    """Identity of a task.

    Attributes:
        job_id: The job.
        repeat: Number of the repeat of the job, from 0.
        step: Position of the step in the job.
        index: Position of the task in the step.
    """

    job_id: str
    repeat: int
    step: int
    index: int
