"""Review of whether an owner should release the cell while it runs."""

import logging
import time

import gevent
from returns import result

from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import succession

log = logging.getLogger(__name__)

TAKEOVER_PAUSE_S = 5.0
STORE_FAILURE_TIMEOUT_S = 0.3
STORE_SILENCE_TIMEOUT_S = 1.0  # reads are made at least twice as often
LAG_MARGIN_S = 0.1
STORE_READ_TIMEOUT_S = 0.5
STRONGER_FACTOR = 1.5
MIN_STABLE_S = 1.0


class FitnessReview:
    """Releases the ownership if another entry is better placed to hold it.

    Attributes:
        member: The entry that owns the cell, as a member of it.
    """

    def __init__(self, *, member) -> None:
        """Creates a review of one entry."""
        self.member = member

    def run(self) -> None:
        """Reviews the entry once."""
        self.check_store_access()
        self.check_stronger_follower()

    def check_store_access(self) -> None:
        """Releases the ownership if the store fails for this entry only.

        A follower that the store has served since it began to fail here shows
        that. While the store fails for all entries, there is no such follower.
        A store that still answers a read here has only lost answers to writes.
        """
        owner = self.member.owner
        since = self.get_failing_since()
        if not since or owner.leaving:
            return
        served_at = max(self.member.store_served_at.values(), default=0.0)
        if served_at > since + LAG_MARGIN_S and not self.is_store_responding():
            log.warning("ownership_store_lost", extra={"epoch": owner.epoch})
            self.member.election.declined_until = (
                time.monotonic() + TAKEOVER_PAUSE_S
            )
            gevent.spawn(self.member.release_ownership, owner)

    def get_failing_since(self) -> float:
        """Returns since when the store fails here, in s; 0 if it doesn't.

        An owner that writes nothing has to notice by its other calls, or it
        would place tasks by registrations that it can't follow any more.
        """
        now = time.monotonic()
        writes_since = self.member.owner.progress.failing_since
        if writes_since and now - writes_since >= STORE_FAILURE_TIMEOUT_S:
            return writes_since
        calls_since = self.member.client.health.failing_since
        if calls_since and now - calls_since >= STORE_SILENCE_TIMEOUT_S:
            return calls_since
        return 0.0

    def check_stronger_follower(self) -> None:
        """Releases the ownership to a follower with much more processor time.

        Entries with less may take over while the others fail or are isolated.
        """
        owner = self.member.owner
        first = next(iter(succession.list_peers(self.member)), None)
        if owner is None or not owner.serving or owner.leaving or not first:
            return
        if first.processor < STRONGER_FACTOR * self.member.own_info.processor:
            return
        now = time.monotonic()
        stable_s = now - max(
            owner.begun_at, self.member.followers[first.name].opened_at
        )
        served_s = now - self.member.store_served_at.get(first.name, 0.0)
        if (
            stable_s < MIN_STABLE_S
            or served_s > succession.STORE_CONTACT_MAX_AGE_S
        ):
            return
        if self.member.client.health.failing_since:
            return
        log.info(
            "ownership_passed_on",
            extra={
                "epoch": owner.epoch,
                "processor": self.member.own_info.processor,
                "to": first.name,
                "their_processor": first.processor,
            },
        )
        self.member.election.declined_until = now + TAKEOVER_PAUSE_S
        gevent.spawn(self.member.release_ownership, owner)

    def is_store_responding(self) -> bool:
        """Returns whether the store answers a read within the timeout."""
        reading = gevent.spawn(self.member.client.get, records.OWNER_KEY)
        reading.join(STORE_READ_TIMEOUT_S)
        return reading.ready() and isinstance(reading.value, result.Success)
