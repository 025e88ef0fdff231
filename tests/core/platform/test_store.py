"""Tests of the store's client against its stand-in."""

import unittest

import gevent

from hickoryreach.platform import store
from standins.users import servers
from standins.users import store as standin


class StoreTest(unittest.TestCase):
    """Reads, writes and watches, and what their failures say."""

    def setUp(self) -> None:
        """Serves an empty store."""
        self.model = standin.KeyValueStore()

        def answer(method, path, words, body, environ):
            return self.model.answer(method, path, words, body, "me")

        self.server = servers.serve("127.0.0.1:0", answer)
        self.addCleanup(self.server.stop, 0)
        self.client = store.Store(
            address=f"127.0.0.1:{self.server.server_port}"
        )

    def put(self, key: str, data: bytes = b"1", **words):
        """Writes one key."""
        return self.client.write(puts=(store.Put(key=key, data=data),), **words)

    def test_what_is_written_is_read(self) -> None:
        revision = self.put("a", b"\x00\xff").unwrap()
        item = self.client.get("a").unwrap()
        self.assertEqual((item.data, item.revision), (b"\x00\xff", revision))

    def test_absent_key_has_no_revision(self) -> None:
        item = self.client.get("a").unwrap()
        self.assertEqual((item.data, item.revision), (None, 0))

    def test_conflict_tells_the_present_state(self) -> None:
        self.put("a", b"1")
        failure = self.put("a", b"2", expected=(("a", 0),)).failure()
        self.assertEqual([item.data for item in failure.conflict], [b"1"])
        self.assertFalse(failure.effect_unknown)

    def test_nothing_of_a_refused_write_stands(self) -> None:
        self.put("a")
        self.client.write(
            puts=(store.Put(key="b", data=b"1"),),
            removed=("a",),
            expected=(("a", 99),),
        )
        self.assertEqual(self.client.get("b").unwrap().revision, 0)
        self.assertNotEqual(self.client.get("a").unwrap().revision, 0)

    def test_long_prefix_is_read_page_by_page(self) -> None:
        for index in range(standin.PAGE_LIMIT + 7):
            self.model.put(f"p/{index:05d}", b"1")
        page = self.client.get_prefix("p/").unwrap()
        self.assertEqual(len(page.items), standin.PAGE_LIMIT + 7)

    def test_watch_tells_writes_and_removals(self) -> None:
        revision = self.put("p/a").unwrap()
        gevent.spawn_later(0.05, self.model.delete, "p/a")
        page = self.client.watch("p/", revision=revision, wait_s=1.0).unwrap()
        self.assertEqual([item.data for item in page.items], [None])
        self.assertGreater(page.revision, revision)

    def test_watch_without_a_change_returns_nothing(self) -> None:
        page = self.client.watch("p/", revision=1, wait_s=0.05).unwrap()
        self.assertEqual(page.items, ())

    def test_watch_tells_that_history_is_gone(self) -> None:
        self.put("p/a")
        self.model.forget_history()
        failure = self.client.watch("p/", revision=1, wait_s=0.05).failure()
        self.assertTrue(failure.history_gone)

    def test_a_busy_store_has_done_nothing(self) -> None:
        self.model.faults.busy.add("*")
        self.assertFalse(self.put("a").failure().effect_unknown)

    def test_a_lost_answer_leaves_the_effect_unknown(self) -> None:
        self.model.faults.lost_share = 1.0
        self.assertTrue(self.put("a").failure().effect_unknown)
        self.assertIn("a", self.model.items)

    def test_a_closed_port_has_done_nothing(self) -> None:
        self.server.stop(0)
        self.assertFalse(self.put("a").failure().effect_unknown)
