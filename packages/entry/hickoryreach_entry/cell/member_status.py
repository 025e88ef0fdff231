"""What an entry tells its peers of itself: as the owner, or as a follower."""

import time

from hickoryreach.wire import frames
from hickoryreach_entry import clock
from hickoryreach_entry.cell import election
from hickoryreach_entry.cell import succession

MS_PER_S = 1_000


def build_status(member) -> frames.Status:
    """Returns the status that an owner sends to its followers.

    Args:
        member: The entry as a member of the cell.
    """
    owner = member.owner
    successors = succession.list_peers(member)
    return frames.Status(
        epoch=owner.epoch if owner else 0,
        pending=owner.published_states.count_pending()
        if owner and owner.serving
        else {},
        succession=successors[: succession.MAX_PEERS],
        leaving=bool(owner and owner.leaving),
        silent=owner.fleet.list_silent() if owner else {},
        serving=bool(owner and owner.serving),
        cell_ms=member.cell_clock.now_ms(),
        sent_ms=int(clock.boot_s() * MS_PER_S),
        followers=len(successors),
        job_bytes=owner.published_states.held_bytes if owner else 0,
    )


def build_pulse(member) -> frames.Pulse:
    """Returns the pulse that a follower sends to the owner."""
    age_s = time.monotonic() - member.client.health.answered_at
    return frames.Pulse(
        store_age_ms=int(age_s * MS_PER_S),
        wall_ms=clock.wall_ms(),
        epoch=member.election.highest_epoch,
        echoed_ms=get_echoed_ms(member.election),
        leaving=member.draining and not member.election.claiming,
    )


def get_echoed_ms(followed: election.Election) -> int:
    """Returns when the owner sent its last status, on its clock.

    Args:
        followed: The election of this entry.

    Returns:
        The time in ms; 0 if this entry may have taken over since, or knows of
        a later owner.
    """
    last = followed.last_status
    newest = last.epoch == followed.highest_epoch
    return last.sent_ms if newest and not followed.claiming else 0
