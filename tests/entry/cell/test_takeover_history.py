"""Tests of the record of takeovers that may have hidden crashes."""

import itertools

from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import takeover_history
from tests.entry.cell import cases

TAKEN_MS = 1_700_000_000_000


class TakeoverHistoryTest(cases.StoreCase):
    """Successive owners of one cell with two minions."""

    def setUp(self) -> None:
        """Serves a store without a record."""
        super().setUp()
        self.epochs = itertools.count(2)

    def take_over(
        self,
        incarnations: dict[str, int],
        unpolled: tuple[str, ...] = (),
        at_ms: int = TAKEN_MS,
    ) -> takeover_history.TakeoverHistory:
        """Returns the history of a new owner after it has stored it."""
        history = takeover_history.TakeoverHistory(
            client=self.client,
            epoch=next(self.epochs),
            revision=self.model.put(records.OWNER_KEY, b"{}"),
            get_incarnations=lambda: incarnations,
        )
        history.read()
        history.record(list(unpolled), at_ms)
        history.save()
        return history

    def test_takeover_without_a_crash_hides_nothing(self) -> None:
        self.take_over({"a": 1, "b": 1})
        second = self.take_over({"a": 1, "b": 1})
        self.assertFalse(second.hides)
        self.assertEqual(second.list_hiding(0), ())

    def test_minion_that_restarted_meanwhile_may_hide_crashes(self) -> None:
        self.take_over({"a": 1, "b": 1})
        second = self.take_over({"a": 1, "b": 2})
        self.assertTrue(second.hides)

    def test_minion_that_has_not_answered_may_hide_crashes(self) -> None:
        self.take_over({"a": 1, "b": 1})
        self.assertTrue(self.take_over({"a": 1}, ("b",)).hides)

    def test_later_owners_count_earlier_takeovers_since_a_job(self) -> None:
        for number in (1, 2):
            self.take_over({"a": number}, ("b",), TAKEN_MS + number)
        third = self.take_over({"a": 2})
        self.assertFalse(third.hides)
        self.assertEqual(third.list_hiding(TAKEN_MS), (2, 3))
        self.assertEqual(third.list_hiding(TAKEN_MS + 2), (3,))
        self.assertEqual(third.list_hiding(TAKEN_MS + 3), ())

    def test_takeovers_of_an_earlier_version_have_no_epoch(self) -> None:
        self.model.put(records.TAKEOVERS_KEY, b'{"hiding_ms":[1,2]}')
        history = self.take_over({"a": 1})
        unknown = takeover_history.UNKNOWN_EPOCH
        self.assertEqual(history.list_hiding(1), (unknown, unknown))

    def test_the_present_takeover_counts_under_its_epoch(self) -> None:
        history = self.take_over({}, ("b",))
        self.assertTrue(history.hides)
        self.assertEqual(history.list_hiding(0), (history.epoch,))

    def test_an_unreadable_record_is_replaced(self) -> None:
        for odd in (b"", b"5", b'{"hiding_ms":["x"]}', b"[" * 1_000):
            with self.subTest(odd):
                self.model.put(records.TAKEOVERS_KEY, odd)
                with self.assertLogs(takeover_history.log, "ERROR"):
                    self.take_over({"a": 1})
                self.assertFalse(self.take_over({"a": 1}).hides)

    def test_a_replaced_owner_stores_nothing(self) -> None:
        first = self.take_over({"a": 1})
        self.model.put(records.OWNER_KEY, b"{}")
        first.hiding_ms = (TAKEN_MS,)
        with self.assertLogs(takeover_history.log, "WARNING"):
            first.save()
        self.assertEqual(self.take_over({"a": 1}).list_hiding(0), ())
