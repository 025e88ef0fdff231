"""Tests of reports that concern an ownership that has ended."""

from unittest import mock

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import owner as owner_module
from hickoryreach_entry.cell import ownership_claim
from hickoryreach_entry.cell import records
from tests.entry.cell import ownership_cases

LATER_S = 0.3


class EarlierReportTest(ownership_cases.OwnershipCase):
    """An entry owns the cell again, and is told of its earlier ownership."""

    def replace(self, first: owner_module.Owner) -> owner_module.Owner:
        """Ends an ownership; returns the next one of this entry."""
        first.on_deposed(first, "owner_key_changed")
        self.wait(lambda: self.member.owner is None)
        return self.begin(2)

    def check_lasts(self, owner: owner_module.Owner) -> None:
        """Checks that an ownership goes on."""
        gevent.sleep(LATER_S)
        self.assertIs(self.member.owner, owner)
        self.assertFalse(owner.stopped)

    # Guards against an entry that ends each of its ownerships by what it
    # learns of an earlier one, and so runs nothing.
    def test_a_check_that_ends_late(self) -> None:
        first = self.begin(1)
        second = self.replace(first)
        first.ownership_validity.confirm()
        self.check_lasts(second)

    # Guards against the same by a write that a later owner's key refuses.
    def test_a_write_that_ends_late(self) -> None:
        first = self.begin(1)
        second = self.replace(first)
        first.progress.on_deposed("progress_conflict")
        self.check_lasts(second)

    # Guards against a handover that ends an ownership begun meanwhile.
    def test_a_release_under_way(self) -> None:
        first = self.begin(1)
        first.effect_executor.pending_starts = 1
        releasing = gevent.spawn(self.member.release_ownership, first)
        gevent.sleep(0)
        second = self.replace(first)
        releasing.join(2.0)
        self.check_lasts(second)

    # Guards against a review that releases the cell for an owner of before.
    def test_a_release_that_begins_late(self) -> None:
        first = self.begin(1)
        second = self.replace(first)
        self.member.release_ownership(first)
        self.assertFalse(second.leaving)
        self.check_lasts(second)


class LateClaimTest(ownership_cases.OwnershipCase):
    """The owner's key is written as the entry begins to stop."""

    # Guards against an owner that ends with its process, without a handover.
    def test_the_ownership_is_released(self) -> None:
        owners: list[owner_module.Owner] = []

        def claim(client, ownership, revision):
            data = records.encode_ownership(ownership)
            written = self.users.store.put(records.OWNER_KEY, data)
            self.member.draining = True
            self.member.release_ownership(self.member.owner)
            return result.Success(written)

        def record(owner: owner_module.Owner) -> None:
            owners.append(owner)
            self.addCleanup(owner.close)

        item = store.Item(key=records.OWNER_KEY, data=None, revision=0)
        with (
            mock.patch.object(ownership_claim, "claim_ownership", claim),
            mock.patch.object(owner_module.Owner, "start", record),
        ):
            self.assertTrue(self.member.election.take_over(item, None))
        self.assertIsNone(self.member.owner)
        self.assertTrue(owners[0].stopped)
