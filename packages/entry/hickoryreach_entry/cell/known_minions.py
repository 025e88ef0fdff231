"""Keeps in the store which minions the owner knows.

A registration may be gone while its minion works on, so that the next owner
would not ask it what runs there.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

KEEP_EACH_S = 0.5
READ_RETRY_S = 0.1


class KnownMinions:
    """The minions of one ownership, and those that the last one knew.

    Attributes:
        known: Minions that an earlier owner knew, for as long as something
            that it started may run there.
        kept: The minions that are kept in the store; None before the first
            reading.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        revision: int,
        get_names: Callable[[], Iterable[str]],
    ) -> None:
        """Creates a census that has read nothing.

        Args:
            client: The store.
            revision: Revision of the owner's key, which guards each write.
            get_names: Returns the minions that this owner has links to.
        """
        self.client = client
        self.revision = revision
        self.get_names = get_names
        self.known: set[str] = set()
        self.kept: set[str] | None = None

    def read(self) -> None:
        """Reads what the last owner knew, until the store answers."""
        while True:
            read = self.client.get(records.MINIONS_KEY)
            if isinstance(read, result.Success):
                break
            log.warning(
                "census_read_failed", extra={"reason": read.failure().reason}
            )
            gevent.sleep(READ_RETRY_S)
        names = records.decode_minion_ids(read.unwrap().data)
        if isinstance(names, result.Failure):
            log.error("census_unreadable", extra={"reason": names.failure()})
        self.known = set(names.value_or([]))
        self.kept = set(self.known)

    def list_unlinked(self) -> list[str]:
        """Returns the minions that only an earlier owner knew."""
        return sorted(self.known - set(self.get_names()))

    def forget(self) -> None:
        """Forgets the earlier owner's minions, as nothing runs there."""
        self.known.clear()

    def keep_forever(self) -> None:
        """Keeps the minions whenever they have changed."""
        while True:
            self.keep()
            gevent.sleep(KEEP_EACH_S)

    def keep(self) -> None:
        """Writes the minions if they have changed since the last time."""
        names = set(self.get_names()) | self.known
        if names == self.kept:
            return
        begun = time.monotonic()
        written = self.client.write(
            puts=(
                store.Put(
                    key=records.MINIONS_KEY,
                    data=records.encode_minion_ids(names),
                ),
            ),
            expected=((records.OWNER_KEY, self.revision),),
        )
        if isinstance(written, result.Success):
            self.kept = names
            return
        log.warning(
            "census_write_failed",
            extra={
                "minions": len(names),
                "reason": written.failure().reason,
                "took_ms": int((time.monotonic() - begun) * 1000),
            },
        )
