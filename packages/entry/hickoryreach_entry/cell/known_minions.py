"""Minions that the owner knows, recorded in the store.

A registration may be gone while its minion still runs tasks. Without this
record, the next owner would not poll that minion for its runs.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import store_reads

log = logging.getLogger(__name__)

SAVE_INTERVAL_S = 0.5


class KnownMinions:
    """Minions of one ownership and those that an earlier owner knew.

    Attributes:
        known: Ids of minions that an earlier owner knew, for as long as
            something that it started may run there.
        kept: Ids that the store holds; None before the first read.
        complete: Whether the record named every minion that may run what an
            earlier owner started.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        revision: int,
        get_linked_ids: Callable[[], Iterable[str]],
    ) -> None:
        """Creates an instance without minions of an earlier owner.

        Args:
            client: The store.
            revision: Revision of the owner's key; every write requires that
                the key still has it.
            get_linked_ids: Returns the ids of the minions to which this owner
                has links.
        """
        self.client = client
        self.revision = revision
        self.get_linked_ids = get_linked_ids
        self.known: set[str] = set()
        self.kept: set[str] | None = None
        self.complete = True

    def read(self) -> None:
        """Reads the minions of the previous owner, retrying until it works."""
        item = store_reads.read_key(self.client, records.MINIONS_KEY)
        minion_ids, reason = records.decode_minion_ids(item.data)
        self.known = set(minion_ids)
        self.kept = set(self.known)
        if reason:
            self.complete = False
            self.kept = None
            log.error(
                "known_minions_unreadable",
                extra={"revision": item.revision, "reason": reason},
            )

    def list_unlinked(self) -> list[str]:
        """Returns ids of known minions to which this owner has no link."""
        return sorted(self.known - set(self.get_linked_ids()))

    def drop_earlier(self) -> None:
        """Drops the earlier owner's minions once nothing of it runs there."""
        self.known.clear()
        self.complete = True

    def save_forever(self) -> None:
        """Stores the minions periodically, if they have changed."""
        while True:
            self.save()
            gevent.sleep(SAVE_INTERVAL_S)

    def save(self) -> None:
        """Stores the minions if they have changed since the last write.

        A record that could not be read in full stays until it is not needed
        any more, so that the next owner doesn't rely on what is left of it.
        """
        minion_ids = set(self.get_linked_ids()) | self.known
        if minion_ids == self.kept or not self.complete:
            return
        started_at = time.monotonic()
        written = self.client.write(
            puts=(
                store.Put(
                    key=records.MINIONS_KEY,
                    data=records.encode_minion_ids(minion_ids),
                ),
            ),
            expected=((records.OWNER_KEY, self.revision),),
        )
        if isinstance(written, result.Success):
            self.kept = minion_ids
            return
        log.warning(
            "known_minions_write_failed",
            extra={
                "minions": len(minion_ids),
                "reason": written.failure().reason,
                "took_ms": int((time.monotonic() - started_at) * 1000),
            },
        )
