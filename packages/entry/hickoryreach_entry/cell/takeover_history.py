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
UNKNOWN_EPOCH = 0  # before any run


class TakeoverHistory:
    """Incarnations of the minions, and takeovers since which some changed.

    Attributes:
        earlier: What earlier owners have recorded.
        hiding_ms: When takeovers may have hidden crashes, in ms since 1970.
        hiding_epochs: Epochs that these takeovers began.
        hides: Whether this takeover may have hidden one.
        kept: The value that the store holds; None if unknown.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        epoch: int,
        revision: int,
        get_incarnations: Callable[[], dict[str, int]],
    ) -> None:
        """Creates a history that was not read yet.

        Args:
            client: The store.
            epoch: Number of the ownership.
            revision: Revision of the owner's key; every write requires that
                the key still has it.
            get_incarnations: Returns the incarnations of the minions that have
                answered this owner, by id.
        """
        self.client = client
        self.epoch = epoch
        self.revision = revision
        self.get_incarnations = get_incarnations
        self.earlier = records.Takeovers()
        self.hiding_ms: tuple[int, ...] = ()
        self.hiding_epochs: tuple[int, ...] = ()
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
        self.inherit(decoded.unwrap())

    def inherit(self, earlier: records.Takeovers) -> None:
        """Takes over what earlier owners have recorded."""
        self.earlier = earlier
        self.hiding_ms = earlier.hiding_ms
        self.hiding_epochs = earlier.hiding_epochs
        if len(self.hiding_epochs) != len(self.hiding_ms):
            self.hiding_epochs = (UNKNOWN_EPOCH,) * len(self.hiding_ms)

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
        epochs = (*self.hiding_epochs, self.epoch)
        self.hiding_epochs = epochs[-MAX_TAKEOVERS:]
        log.info(
            "takeover_hides_crashes",
            extra={
                "silent": ",".join(unpolled),
                "restarted": ",".join(restarted),
                "takeovers": len(self.hiding_ms),
            },
        )

    def list_hiding(self, accepted_ms: int) -> tuple[int, ...]:
        """Returns the epochs whose takeovers may have hidden a job's crashes.

        Args:
            accepted_ms: When the job was accepted, in ms since 1970.
        """
        taken = zip(self.hiding_epochs, self.hiding_ms, strict=True)
        return tuple(
            epoch for epoch, taken_ms in taken if taken_ms >= accepted_ms
        )

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
                hiding_epochs=self.hiding_epochs,
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
