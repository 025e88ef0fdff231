"""Watch of a prefix of the store, with a new read if history is gone."""

from collections.abc import Callable
import logging
import math
import time

import gevent
from returns import result

from hickoryreach.platform import store

log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.15


def ignore_page(page: store.Page, complete: bool) -> None:
    """Does nothing after a page."""


class PrefixWatcher:
    """Passes each change of the items under a prefix to a callback.

    An item that the callback fails on is logged and passed by, so that it
    spoils neither the other items nor the watch.

    Attributes:
        prefix: The prefix.
        skipped: Revisions of the items that were passed by, by key.
        ahead: Revisions of the items that the last read of the prefix showed
            newer than its first page, by key.
        revision: Revision up to which changes were passed on; -1 before the
            first read.
        healthy: Whether the last call was answered.
        answered_at: When a call was last answered, on the monotonic clock in s.
        healthy_since: When a call was last answered after a failed one, on the
            monotonic clock in s.
        greenlet: Greenlet of the watch, or None before it is started. It ends
            with the ownership in whose scope `spawn` starts it.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        prefix: str,
        wait_s: float,
        on_item: Callable[[store.Item], None],
        on_page: Callable[[store.Page, bool], None] = ignore_page,
        pause_s: float = 0.0,
        spawn: Callable[..., gevent.Greenlet] = gevent.spawn,
    ) -> None:
        """Creates a watcher that is not started yet.

        Args:
            client: The store.
            prefix: Prefix to watch.
            wait_s: Longest time that the store holds one watch call, in s.
            on_item: Called with each item of a page.
            on_page: Called with a page and whether it holds all items, after
                its items were handled.
            pause_s: Time between two calls, in s.
            spawn: Starts the greenlet of the watch.
        """
        self.client = client
        self.prefix = prefix
        self.wait_s = wait_s
        self.on_item = on_item
        self.on_page = on_page
        self.pause_s = pause_s
        self.spawn = spawn
        self.revision = -1
        self.skipped: dict[str, int] = {}
        self.ahead: dict[str, int] = {}
        self.healthy = True
        self.answered_at = -math.inf
        self.healthy_since = -math.inf
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the watch."""
        self.greenlet = self.spawn(self.watch_forever)

    def watch_forever(self) -> None:
        """Reads the prefix, then watches it.

        After an unexpected error it reads the whole prefix again, as changes
        may have been missed.
        """
        while True:
            try:
                self.handle_result(self.read())
            except Exception:  # without the watch the entry would go stale
                log.exception("watch_failed", extra={"prefix": self.prefix})
                self.revision = -1
                gevent.sleep(RETRY_DELAY_S)

    def read(self) -> result.Result[store.Page, store.StoreFailure]:
        """Reads the whole prefix, or waits for changes to it."""
        if self.revision < 0:
            return self.client.get_prefix(self.prefix)
        return self.client.watch(
            self.prefix, revision=self.revision, wait_s=self.wait_s
        )

    def handle_result(
        self, read: result.Result[store.Page, store.StoreFailure]
    ) -> None:
        """Passes a page on, or retries later after a failure."""
        if isinstance(read, result.Failure):
            failure = read.failure()
            self.note_health(healthy=False, reason=failure.reason)
            if failure.history_gone:
                self.revision = -1
                return
            gevent.sleep(RETRY_DELAY_S)
            return
        self.note_health(healthy=True, reason="")
        self.answered_at = time.monotonic()
        self.accept(read.unwrap())
        if self.pause_s:
            gevent.sleep(self.pause_s)

    def accept(self, page: store.Page) -> None:
        """Passes a page on; the first one holds all items."""
        complete = self.revision < 0
        if complete:
            self.ahead.clear()
        for item in page.items:
            if item.revision >= self.ahead.get(item.key, 0):
                self.handle_item(item)
            if complete and item.revision > page.revision:
                self.ahead[item.key] = item.revision
        if page.items or complete:
            self.on_page(page, complete)
        self.revision = max(self.revision, page.revision)

    def handle_item(self, item: store.Item) -> None:
        """Passes one item on; logs one that can't be handled, once."""
        try:
            self.on_item(item)
        except Exception as error:  # one item must not stop the others
            if self.skipped.get(item.key) != item.revision:
                log.exception(
                    "item_skipped",
                    extra={
                        "key": item.key,
                        "revision": item.revision,
                        "reason": f"{type(error).__name__}: {error}",
                    },
                )
            self.skipped[item.key] = item.revision
            return
        self.skipped.pop(item.key, None)

    def note_health(self, *, healthy: bool, reason: str) -> None:
        """Updates the health of the watch and logs a change of it."""
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
