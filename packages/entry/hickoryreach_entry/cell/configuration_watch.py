"""Watch of the operator's configuration."""

from collections.abc import Callable
import logging
import time

import gevent
from returns import result

from hickoryreach.platform import documents
from hickoryreach.platform import store
from hickoryreach.structure import cells
from hickoryreach_entry.cell import prefix_watcher

log = logging.getLogger(__name__)

WATCH_WAIT_S = 1.8
ANSWER_MARGIN_S = 0.6
MAX_SILENCE_S = 1.0  # well below the time in which a limit must be in force
CHECK_INTERVAL_S = 0.25


class ConfigurationWatch:
    """Passes on each configuration that is newer than the last one.

    Attributes:
        client: Client of the store.
        on_configuration: Called with each new configuration.
        version: Version of the last one; -1 before the first.
        watcher: Watch of the configuration's key.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        on_configuration: Callable[[cells.Configuration], None],
    ) -> None:
        """Creates a watch that is not started yet."""
        self.client = client
        self.on_configuration = on_configuration
        self.version = -1
        self.watcher = prefix_watcher.PrefixWatcher(
            client=client,
            prefix=documents.CONFIGURATION_KEY,
            wait_s=WATCH_WAIT_S,
            on_item=self.handle_item,
        )

    def start(self) -> None:
        """Starts the watch."""
        self.watcher.start()

    def refresh(self) -> bool:
        """Reads the configuration once, besides the watch.

        Returns:
            Whether the store answered.
        """
        read = self.client.get(documents.CONFIGURATION_KEY)
        if isinstance(read, result.Failure):
            log.warning(
                "configuration_unconfirmed",
                extra={
                    "version": self.version,
                    "reason": read.failure().reason,
                },
            )
            return False
        self.watcher.answered_at = time.monotonic()
        self.watcher.handle_item(read.unwrap())
        return True

    def confirm_forever(self) -> None:
        """Reads the configuration whenever the watch has been silent.

        Its connection may be dead without a sign while the store serves others,
        and a limit that has fallen must not be used for long.
        """
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            if not self.is_current(MAX_SILENCE_S):
                self.refresh()

    def is_current(
        self, max_age_s: float = WATCH_WAIT_S + ANSWER_MARGIN_S
    ) -> bool:
        """Returns whether a newer configuration would be known by now.

        The store answers the watch when there is a change, and otherwise at
        regular intervals.

        Args:
            max_age_s: Longest time since the last answer, in s.
        """
        return time.monotonic() - self.watcher.answered_at < max_age_s

    def handle_item(self, item: store.Item) -> None:
        """Passes a configuration on unless it is invalid or an older one."""
        if item.key != documents.CONFIGURATION_KEY or item.data is None:
            return
        parsed = documents.parse_configuration(item.data)
        if isinstance(parsed, result.Failure):
            log.error(
                "configuration_unreadable",
                extra={
                    "revision": item.revision,
                    "reason": parsed.failure(),
                },
            )
            return
        configuration = parsed.unwrap()
        if configuration.version <= self.version:
            return
        self.version = configuration.version
        log.info(
            "configuration_in_force",
            extra={
                "version": configuration.version,
                "revision": item.revision,
                "queues": len(configuration.queues),
                "workspaces": len(configuration.workspaces),
            },
        )
        self.on_configuration(configuration)
