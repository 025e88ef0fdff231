"""Splits an envelope into the parts meant for each shard."""

import logging

from hickoryreach.wire import messages
from hickoryreach_entry import assignment

log = logging.getLogger(__name__)

OWNER_FIELDS = ("submissions", "queries", "cancellations", "outcomes")


def split(envelope: messages.Envelope) -> dict[int, messages.Envelope]:
    """Returns the part of an envelope that is meant for each shard.

    Messages whose job id names no shard are left out.
    """
    parts: dict[int, messages.Envelope] = {}
    for field in OWNER_FIELDS:
        for message in getattr(envelope, field) or ():
            shard = find_shard(message, envelope.sender)
            if shard is None:
                continue
            if shard not in parts:
                parts[shard] = build_part(envelope.sender)
            getattr(parts[shard], field).append(message)
    return parts


def find_shard(message, sender: str) -> int | None:
    """Returns the shard that a message concerns, or None."""
    job = getattr(message, "job", None)
    job_id = job.job_id if job is not None else message.job_id
    try:
        return assignment.shard_of_job(job_id)
    except ValueError:
        log.warning("job_id_malformed", extra={"sender": sender})
        return None


def build_part(sender: str) -> messages.Envelope:
    """Returns an envelope with a list of its own in each owner's field."""
    return messages.Envelope(
        sender=sender, **{field: [] for field in OWNER_FIELDS}
    )
