"""Follows a prefix of the store, and reads it anew where history is gone."""

from collections.abc import Callable
import logging
import math
import time

import gevent
from returns import result

from hickoryreach.platform import store

log = logging.getLogger(__name__)

RETRY_S = 0.15


class PrefixWatcher:
    """Hands on each change of the items under a prefix.

    Attributes:
        prefix: The prefix.
        revision: Revision up to which changes were handed on; -1 before the
            first reading.
        healthy: Whether the last call was answered.
        healthy_since: When a call was last answered after others were not, in
            s.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        prefix: str,
        wait_s: float,
        on_page: Callable[[store.Page, bool], None],
        pause_s: float = 0.0,
    ) -> None:
        """Creates a watcher that is not started yet.

        Args:
            client: The store.
            prefix: What to follow.
            wait_s: Longest wait of one call.
            on_page: Called with items and whether they are all there are.
            pause_s: Time between two calls.
        """
        self.client = client
        self.prefix = prefix
        self.wait_s = wait_s
        self.on_page = on_page
        self.pause_s = pause_s
        self.revision = -1
        self.healthy = True
        self.healthy_since = -math.inf
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to follow."""
        self.greenlet = gevent.spawn(self.follow_forever)

    def follow_forever(self) -> None:
        """Follows the prefix."""
        while True:
            if self.revision < 0:
                read = self.client.get_prefix(self.prefix)
            else:
                read = self.client.watch(
                    self.prefix, revision=self.revision, wait_s=self.wait_s
                )
            self.take(read)

    def take(self, read: result.Result[store.Page, store.StoreFailure]) -> None:
        """Hands on what was read."""
        if isinstance(read, result.Failure):
            failure = read.failure()
            self.note_health(healthy=False, reason=failure.reason)
            if failure.history_gone:
                self.revision = -1
                return
            gevent.sleep(RETRY_S)
            return
        self.note_health(healthy=True, reason="")
        self.accept(read.unwrap())
        if self.pause_s:
            gevent.sleep(self.pause_s)

    def accept(self, page: store.Page) -> None:
        """Hands on a page; the first one is all there is."""
        complete = self.revision < 0
        if page.items or complete:
            self.on_page(page, complete)
        self.revision = max(self.revision, page.revision)

    def note_health(self, *, healthy: bool, reason: str) -> None:
        """Logs when the store is lost or regained."""
        if healthy and not self.healthy:
            self.healthy_since = time.monotonic()
        if healthy != self.healthy:
            log.warning(
                "watch_health",
                extra={
                    "prefix": self.prefix,
                    "healthy": healthy,
                    "reason": reason,
                },
            )
        self.healthy = healthy

    def close(self) -> None:
        """Stops following."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
