"""Turns what a journal tells of a job into what a new owner takes over."""

from hickoryreach.decisions import events
from hickoryreach_entry.owner import image as journal_image


def restore_job(
    progress: journal_image.Progress, hold_until_ms: int
) -> events.JobRestored:
    """Returns the event for a job that has not finished."""
    settled = progress.done | progress.failed
    unclear = tuple(
        intent.key
        for index, intent in sorted(progress.intents.items())
        if index not in settled
    )
    return events.JobRestored(
        job=progress.job,
        done=tuple(sorted(progress.done)),
        failed=tuple(sorted(progress.failed)),
        unclear=unclear,
        attempts=tuple((key.index, key.attempt) for key in unclear),
        hold_until_ms=hold_until_ms,
    )
