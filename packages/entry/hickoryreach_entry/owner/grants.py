"""Until when an owner may start work and renew leases.

An owner has authority while it holds unexpired grants on a majority of the
shard's journaled workers. Once it has held such a majority, a journal segment
that was kept a short while ago serves as well: whoever takes the shard next
has to take the journal first.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

CLOCK_RATE_MARGIN = 0.02
SAFETY_MARGIN_S = 0.25


def majority_until(
    worker_ids: Iterable[str], granted_until: Mapping[str, float]
) -> float:
    """Returns the time, in s, until which a majority of grants holds.

    Args:
        worker_ids: The worker set; the majority of an empty one never lapses.
        granted_until: Lapse of each grant held, in s.
    """
    ends = sorted(
        (granted_until.get(worker_id, 0.0) for worker_id in worker_ids),
        reverse=True,
    )
    if not ends:
        return math.inf
    return ends[len(ends) // 2]


def shorten(length_s: float) -> float:
    """Returns a length as it is counted by the holder of a lease."""
    return length_s * (1 - CLOCK_RATE_MARGIN)


def lengthen(length_s: float) -> float:
    """Returns a length as it is counted by who waits for a lease's lapse."""
    return length_s * (1 + CLOCK_RATE_MARGIN) + SAFETY_MARGIN_S


class Authority:
    """What an owner's right to act rests on.

    Attributes:
        grant_s: Length of a grant, in s.
        sets: The journaled worker set, and one whose record is under way;
            a majority of each is needed.
        granted_until: Lapse of each worker's grant, in s.
        proven_until: Time, in s, until which the last kept segment counts.
        majority_since: When a majority was first held, in s, or 0.
    """

    def __init__(self, *, grant_s: float) -> None:
        """Creates an authority that holds nothing."""
        self.grant_s = grant_s
        self.sets: list[frozenset[str]] = []
        self.granted_until: dict[str, float] = {}
        self.proven_until = 0.0
        self.majority_since = 0.0
        self.majority_end = 0.0

    def take_grant(self, worker_id: str, sent: float, now: float) -> None:
        """Counts a grant from when its renewal was sent, in s."""
        self.granted_until[worker_id] = sent + shorten(self.grant_s)
        if now >= self.majority_end:
            self.count(now)

    def count(self, now: float) -> None:
        """Works the end of the majority out again."""
        if not self.sets:
            return
        self.majority_end = min(
            majority_until(members, self.granted_until) for members in self.sets
        )
        if not self.majority_since and now < self.majority_end:
            self.majority_since = now

    def take_proof(self, sent: float) -> None:
        """Counts a kept segment from when its write was first sent, in s."""
        self.proven_until = max(self.proven_until, sent + shorten(self.grant_s))

    def propose(self, members: frozenset[str]) -> None:
        """Asks for a majority of a set whose record is under way as well."""
        self.sets.append(members)
        self.majority_end = 0.0

    def settle(self, members: frozenset[str], now: float) -> None:
        """Counts on a set alone, once its record is kept."""
        self.sets = [members]
        self.count(now)

    def until(self, now: float) -> float:
        """Returns the time, in s, until which the owner may act."""
        if now + self.grant_s / 2 > self.majority_end:
            self.count(now)
        if not self.majority_since:
            return 0.0
        return max(self.majority_end, self.proven_until)

    def holds(self, now: float) -> bool:
        """Returns whether the owner may act now."""
        return now < self.until(now)

    def admits(self, worker_id: str, now: float) -> bool:
        """Returns whether a worker may be counted in for work.

        Whoever takes the shard next must know of the worker, so only those
        of the journaled set are.
        """
        known = all(worker_id in members for members in self.sets)
        return known and bool(self.sets) and self.holds(now)

    def count_grants(self, now: float) -> int:
        """Returns the number of unexpired grants."""
        return sum(end > now for end in self.granted_until.values())
