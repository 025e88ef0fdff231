"""Checks of stored jobs, which every new owner recovers."""

from collections.abc import Iterator

from hickoryreach.platform import callers
from hickoryreach.platform import documents
from hickoryreach.structure import steps


def find_fault(job: steps.Job) -> str:
    """Returns the first thing that no job of a caller has, or ""."""
    return next(_find_faults(job), "")


def _find_faults(job: steps.Job) -> Iterator[str]:
    numbers = [job.accepted_ms, job.repeats, job.first_ms, job.interval_ms]
    numbers += [job.queue.rank, job.queue.attempts]
    numbers += [job.queue.stretch, job.queue.objective_ms]
    if (advice := job.queue.advice) is not None:
        numbers += [advice.call_ms, advice.minion_ms, advice.valid_ms]
    limit = documents.MAX_INT64
    if not all(-limit <= number <= limit for number in numbers):
        yield "a number of the job or its queue is out of range"
    tasks = sum(step.count for step in job.steps) * max(1, job.repeats)
    if not 0 < tasks <= callers.TASKS_LIMIT:
        yield f"steps: {len(job.steps)} have no tasks or too many"
    for position, step in enumerate(job.steps):
        if step.count < 1 or not _is_in_range(step):
            yield f"steps.{position}: a number is out of range"
        if not all(0 <= each < position for each in step.after):
            yield f"steps.{position}.after: names no earlier step"


def _is_in_range(step: steps.Step) -> bool:
    """Returns whether amounts and estimate of a step can be calculated with."""
    need = step.need
    limit = documents.MAX_AMOUNT
    return (
        0 <= step.estimate_ms <= limit
        and 0 <= need.cpu_millis <= limit
        and 0 <= need.memory_mb <= limit
        and 0 <= need.accelerators <= limit
    )
