"""Jobs made of steps, as callers hand them in."""

import dataclasses

from hickoryreach.structure import cells
from hickoryreach.structure import resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Tasks of one size that become due together.

    Attributes:
        count: Number of tasks.
        need: What one task takes up.
        estimate_ms: Rough run time of a task, or 0.
        after: Positions of earlier steps that must be done first.
        saves: Whether its tasks write checkpoints.
        gang: Whether its tasks only work all together.
        same_rack: Whether it runs slower on more than one rack.
        label: Label that a minion must carry, or empty.
        rack: Rack where its data lies, or empty.
        minion_limit: Most of its tasks on one minion; 0 for no limit.
        speculative: Whether copies of a task may run at once.
        lasting: Whether its tasks run until the job is cancelled.
        image: Name of what its tasks run.
        latency_limit_ms: Tail latency that lasting tasks must keep, or 0.
        filler: Whether it takes only processor time that others leave.
        away_limit: Lasting tasks that may be away at once by our doing.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A job as it is kept in the store.

    Attributes:
        job_id: Id chosen by the caller.
        workspace: Workspace whose key came with it; empty for open queues.
        queue: The queue that it came through, as it was then.
        payload: What its tasks are given.
        steps: Its steps.
        accepted_ms: Wall clock when its hand-in arrived, in ms since 1970.
        repeats: Times that the steps run; 0 for a plain job.
        first_ms: When the first repeat is due, in ms since 1970.
        interval_ms: Time between two repeats.
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
        repeat: Which repeat of the job, from 0.
        step: Position of the step in the job.
        index: Position of the task in the step.
    """

    job_id: str
    repeat: int
    step: int
    index: int
