"""What the other entries last told, and who is suspected of having failed."""

from collections.abc import Iterable
import dataclasses
import time

from hickoryreach.wire import messages

HEARD_S = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Told:
    """The last status of one entry.

    Attributes:
        claims: Term by shard that it owns.
        draining: Whether it gives up its shards.
        heard: Entries that answered it lately.
        declined: Shards that it does not take for now.
        told_at: When it came, in s.
        answered_at: When the entry last answered an envelope, in s.
    """

    claims: dict[int, int] = dataclasses.field(default_factory=dict)
    draining: bool = False
    heard: frozenset[str] = frozenset()
    declined: frozenset[int] = frozenset()
    told_at: float = 0.0
    answered_at: float = 0.0


class Detector:
    """Statuses of the other entries, and which of them seem to have failed.

    Attributes:
        name: Name of this entry.
        told: Last status by entry.
        started_at: When this entry began to listen, in s.
    """

    def __init__(self, *, name: str) -> None:
        """Creates a record without statuses."""
        self.name = name
        self.told: dict[str, Told] = {}
        self.started_at = time.monotonic()

    def take(
        self,
        name: str,
        status: messages.Status | None,
        now: float,
        *,
        answered: bool,
    ) -> bool:
        """Takes in a status; returns whether its claims or state changed.

        Args:
            name: The entry.
            status: What it told, or None.
            now: Time, in s.
            answered: Whether it came as an answer to this entry.
        """
        known = self.told.setdefault(name, Told())
        if answered:
            known.answered_at = now
        if status is None:
            return False
        claims = {claim.shard: claim.term for claim in status.claims or ()}
        draining = bool(status.draining)
        declined = frozenset(status.declined or ())
        changed = (claims, draining, declined) != (
            known.claims,
            known.draining,
            known.declined,
        )
        first = not known.told_at
        known.claims = claims
        known.draining = draining
        known.declined = declined
        known.heard = frozenset(status.heard or ())
        known.told_at = now
        return changed or first

    def note_refused(self, name: str) -> bool:
        """Notes an entry that does not listen; returns whether it is news."""
        known = self.told.get(name)
        if known is None or not max(known.told_at, known.answered_at):
            return False
        known.told_at = known.answered_at = 0.0
        return True

    def is_heard(self, name: str, now: float) -> bool:
        """Returns whether an entry told or answered a short while ago."""
        known = self.told.get(name)
        if known is None:
            return False
        return now - max(known.told_at, known.answered_at) < HEARD_S

    def list_heard(self, now: float) -> list[str]:
        """Returns the entries heard a short while ago."""
        return sorted(name for name in self.told if self.is_heard(name, now))

    def is_suspected(
        self, name: str, members: Iterable[str], now: float
    ) -> bool:
        """Returns whether most entries that are heard do not hear `name`.

        An entry that was never heard is not suspected: its lease decides.
        """
        known = self.told.get(name)
        if name == self.name or known is None or self.is_heard(name, now):
            return False
        others = [
            other
            for other in members
            if other not in (name, self.name) and self.is_heard(other, now)
        ]
        agreeing = 1 + sum(
            name not in self.told[other].heard for other in others
        )
        return 2 * agreeing > 1 + len(others)

    def is_settled(self, members: Iterable[str], now: float) -> bool:
        """Returns whether every member had the time to tell what it owns."""
        if now - self.started_at > HEARD_S:
            return True
        return all(
            name == self.name
            or (name in self.told and self.told[name].told_at > 0)
            for name in members
        )

    def forget(self, name: str) -> None:
        """Forgets an entry that is no member any more."""
        self.told.pop(name, None)
