"""Tests of the watch of a prefix."""

import unittest
from unittest import mock

import gevent

from hickoryreach.platform import store
from hickoryreach_entry.cell import ownership_scope
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
            client=self.client,
            prefix=PREFIX,
            wait_s=0.2,
            on_item=lambda item: None,
            on_page=self.accept,
        )
        self.model.put(f"{PREFIX}a", b"1")
        self.watcher.start()
        self.addCleanup(self.watcher.greenlet.kill)

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


class OddItemTest(cases.StoreCase):
    """An item that can't be handled spoils neither others nor the watch."""

    def setUp(self) -> None:
        """Watches a prefix with a callback that fails on some items."""
        super().setUp()
        self.handled: list[str] = []
        self.complete = 0
        self.watcher = prefix_watcher.PrefixWatcher(
            client=self.client,
            prefix=PREFIX,
            wait_s=0.2,
            on_item=self.handle_item,
            on_page=self.count_page,
        )
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.watcher.spawn = self.scope.spawn
        self.addCleanup(self.scope.close)

    def handle_item(self, item: store.Item) -> None:
        """Records an item; fails on odd ones."""
        if item.data == b"odd":
            raise OverflowError("too large")
        self.handled.append(item.key.removeprefix(PREFIX))

    def count_page(self, page: store.Page, complete: bool) -> None:
        """Counts the pages that hold all items."""
        self.complete += complete

    def put(self, **items: str) -> None:
        """Writes items."""
        for name, value in items.items():
            self.model.put(PREFIX + name, value.encode())

    def wait_for(self, name: str) -> None:
        """Waits until an item was handled."""
        with gevent.Timeout(5.0):
            while name not in self.handled:
                gevent.sleep(0.01)

    def list_skipped(self, logged) -> list[tuple[str, int, str]]:
        """Returns key, revision and reason of each item logged as skipped."""
        return [
            (record.key, record.revision, record.reason)
            for record in logged.records
            if record.msg == "item_skipped"
        ]

    def test_the_others_on_a_page_are_handled(self) -> None:
        self.put(a="1", b="odd", c="3")
        self.watcher.accept(self.client.get_prefix(PREFIX).unwrap())
        self.assertEqual(self.handled, ["a", "c"])

    def test_the_watch_goes_on_without_reading_everything_again(self) -> None:
        self.put(a="1", b="odd")
        self.watcher.start()
        self.wait_for("a")
        self.put(c="odd", d="4")
        self.wait_for("d")
        self.put(e="5")
        self.wait_for("e")
        self.assertEqual(self.complete, 1)
        self.assertEqual(self.handled, ["a", "d", "e"])

    def test_an_odd_item_is_logged_once(self) -> None:
        self.put(a="odd")
        revision = self.model.revision
        with self.assertLogs(prefix_watcher.log, "ERROR") as logged:
            self.watcher.start()
            self.put(b="2")
            self.wait_for("b")
            self.put(c="3")
            self.model.forget_history()
            self.wait_for("c")
        self.assertEqual(self.complete, 2)
        self.assertEqual(
            self.list_skipped(logged),
            [(f"{PREFIX}a", revision, "OverflowError: too large")],
        )

    def test_an_item_that_is_mended_is_handled(self) -> None:
        self.put(a="odd")
        self.watcher.start()
        self.put(a="1")
        self.wait_for("a")
        self.assertEqual(self.watcher.skipped, {})


class UnevenPagesTest(unittest.TestCase):
    """A read of several pages may show changes that the watch repeats."""

    def test_an_older_change_does_not_follow_a_newer_one(self) -> None:
        handled: list[tuple[str, int]] = []
        watcher = prefix_watcher.PrefixWatcher(
            client=mock.Mock(),
            prefix=PREFIX,
            wait_s=0.2,
            on_item=lambda item: handled.append((item.key, item.revision)),
        )

        def read(revision: int, **revisions: int) -> None:
            items = tuple(
                store.Item(key=key, data=b"1", revision=each)
                for key, each in revisions.items()
            )
            watcher.accept(store.Page(items=items, revision=revision))

        read(5, a=4, z=9)
        read(6, a=6)
        read(7, z=7)
        read(9, z=9)
        read(12, z=12)
        self.assertEqual(
            handled, [("a", 4), ("z", 9), ("a", 6), ("z", 9), ("z", 12)]
        )
