"""Tests of the watch of a prefix."""

import gevent

from hickoryreach.platform import store
from hickoryreach_entry.cell import prefix_watcher
from tests.entry.cell import cases

PREFIX = "servers/"


class UnexpectedErrorTest(cases.StoreCase):
    """A callback that fails does not end the watch."""

    def setUp(self) -> None:
        """Watches a prefix with a callback that fails at its second page."""
        super().setUp()
        self.pages: list[tuple[int, bool]] = []
        self.watcher = prefix_watcher.PrefixWatcher(
            client=self.client, prefix=PREFIX, wait_s=0.2, on_page=self.accept
        )
        self.model.put(f"{PREFIX}a", b"1")
        self.watcher.start()
        self.addCleanup(self.watcher.close)

    def accept(self, page: store.Page, complete: bool) -> None:
        """Records a page; fails at the second one."""
        self.pages.append((len(page.items), complete))
        if len(self.pages) == 2:
            raise KeyError("unexpected")

    def wait_for_pages(self, count: int) -> None:
        """Waits for a number of pages."""
        with gevent.Timeout(5.0):
            while len(self.pages) < count:
                gevent.sleep(0.01)

    def test_everything_is_read_again_after_an_error(self) -> None:
        self.wait_for_pages(1)
        self.model.put(f"{PREFIX}b", b"2")
        with self.assertLogs(prefix_watcher.log, "ERROR"):
            self.wait_for_pages(3)
        self.assertEqual(self.pages, [(1, True), (1, False), (2, True)])
