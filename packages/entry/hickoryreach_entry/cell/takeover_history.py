"""Takeovers that may have hidden crashes of minions, recorded in the store.

A new owner doesn't see what ran on a minion that has crashed. Without this
record it would count no crash that an owner before it has missed.
"""

from collections.abc import Callable
import logging

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import store_reads

log = logging.getLogger(__name__)

SAVE_INTERVAL_S = 0.5
MAX_TAKEOVERS = 50


class TakeoverHistory:
    """Incarnations of the minions, and takeovers since which some changed.

    Attributes:
        earlier: What earlier owners have recorded.
        hiding_ms: When takeovers may have hidden crashes, in ms since 1970.
        hides: Whether this takeover may have hidden one.
        kept: The value that the store holds; None if unknown.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        revision: int,
        get_incarnations: Callable[[], dict[str, int]],
    ) -> None:
        """Creates a history that was not read yet.

        Args:
            client: The store.
            revision: Revision of the owner's key; every write requires that
                the key still has it.
            get_incarnations: Returns the incarnations of the minions that have
                answered this owner, by id.
        """
        self.client = client
        self.revision = revision
        self.get_incarnations = get_incarnations
        self.earlier = records.Takeovers()
        self.hiding_ms: tuple[int, ...] = ()
        self.hides = False
        self.kept: bytes | None = None

    def read(self) -> None:
        """Reads what earlier owners have recorded, retrying until it works."""
        item = store_reads.read_key(self.client, records.TAKEOVERS_KEY)
        decoded = records.decode_takeovers(item.data)
        if isinstance(decoded, result.Failure):
            log.error(
                "takeovers_unreadable",
                extra={"revision": item.revision, "reason": decoded.failure()},
            )
            return
        self.kept = item.data
        self.earlier = decoded.unwrap()
        self.hiding_ms = self.earlier.hiding_ms

    def record(self, unpolled: list[str], wall_ms: int) -> None:
        """Records whether this takeover may have hidden crashes.

        Args:
            unpolled: Minions that have not answered this owner.
            wall_ms: Time of the takeover, in ms since 1970.
        """
        present = self.get_incarnations()
        restarted = [
            minion_id
            for minion_id, incarnation in self.earlier.incarnations.items()
            if present.get(minion_id, incarnation) != incarnation
        ]
        self.hides = bool(unpolled or restarted)
        if not self.hides:
            return
        self.hiding_ms = (*self.hiding_ms, wall_ms)[-MAX_TAKEOVERS:]
        log.info(
            "takeover_hides_crashes",
            extra={
                "silent": ",".join(unpolled),
                "restarted": ",".join(restarted),
                "takeovers": len(self.hiding_ms),
            },
        )

    def count_hiding(self, accepted_ms: int) -> int:
        """Returns how many earlier takeovers may have hidden a job's crashes.

        Args:
            accepted_ms: When the job was accepted, in ms since 1970.
        """
        earlier = self.hiding_ms[:-1] if self.hides else self.hiding_ms
        return sum(taken_ms >= accepted_ms for taken_ms in earlier)

    def save_forever(self) -> None:
        """Stores the history periodically, if it has changed."""
        while True:
            self.save()
            gevent.sleep(SAVE_INTERVAL_S)

    def save(self) -> None:
        """Stores the history if it has changed since the last write."""
        data = records.encode_takeovers(
            records.Takeovers(
                incarnations=self.get_incarnations(),
                hiding_ms=self.hiding_ms,
            )
        )
        if data == self.kept:
            return
        written = self.client.write(
            puts=(store.Put(key=records.TAKEOVERS_KEY, data=data),),
            expected=((records.OWNER_KEY, self.revision),),
        )
        if isinstance(written, result.Success):
            self.kept = data
            return
        log.warning(
            "takeovers_write_failed",
            extra={"reason": written.failure().reason},
        )
