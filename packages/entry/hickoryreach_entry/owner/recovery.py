"""Turns a journal's image into the jobs that a new owner takes over."""

from collections.abc import Iterator

from hickoryreach.decisions import events
from hickoryreach_entry.owner import image as journal_image

ATTEMPTS_PER_OWNER = 100_000


def restore_jobs(
    image: journal_image.Image, hold_until_ms: int
) -> Iterator[events.JobRestored]:
    """Yields an event for each job that has not finished."""
    for progress in image.jobs.values():
        if progress.job is None or progress.finished is not None:
            continue
        yield restore_job(progress, image.generation, hold_until_ms)


def restore_job(
    progress: journal_image.Progress, generation: int, hold_until_ms: int
) -> events.JobRestored:
    """Returns the event for one job.

    Idempotent attempts are not journaled, so an owner counts its attempts
    from a number that no earlier owner of the job has reached.
    """
    settled = progress.done | progress.failed
    unclear = tuple(
        intent.key
        for index, intent in sorted(progress.intents.items())
        if index not in settled
    )
    earlier = max(0, generation - progress.generation)
    return events.JobRestored(
        job=progress.job,
        done=tuple(sorted(progress.done)),
        failed=tuple(sorted(progress.failed)),
        unclear=unclear,
        attempts=tuple((key.index, key.attempt) for key in unclear),
        attempt_floor=earlier * ATTEMPTS_PER_OWNER,
        hold_until_ms=hold_until_ms,
    )
