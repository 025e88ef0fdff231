"""Estimate of the memory that jobs take of their owner."""

from hickoryreach.structure import steps

STEP_BYTES = 2_500
TASK_BYTES = 200
PREDECESSOR_BYTES = 36
CHARACTER_BYTES = 4


def estimate_bytes(job: steps.Job) -> int:
    """Returns about how much an owner holds for a job, in bytes."""
    repeats = max(1, job.repeats)
    return CHARACTER_BYTES * len(job.payload) + sum(
        _estimate_step(step, repeats) for step in job.steps
    )


def _estimate_step(step: steps.Step, repeats: int) -> int:
    """Returns the part of one step; each repeat has its own tasks."""
    texts = len(step.label) + len(step.rack) + len(step.image)
    return (
        repeats * (STEP_BYTES + TASK_BYTES * step.count)
        + PREDECESSOR_BYTES * len(step.after)
        + CHARACTER_BYTES * texts
    )
