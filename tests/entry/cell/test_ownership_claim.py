"""Tests of the conditional write of the owner's key."""

import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import ownership_claim
from hickoryreach_entry.cell import records
from tests.entry.cell import cases


class ClaimOwnershipTest(cases.StoreCase):
    """An entry writes the owner's key, and answers may be lost."""

    def setUp(self) -> None:
        """Serves a store whose key names another owner."""
        super().setUp()
        self.revision = self.model.put(records.OWNER_KEY, b"{}")
        self.wanted = records.Ownership(name="me", address="", epoch=2)

    def claim_ownership(
        self, revision: int
    ) -> result.Result[int, store.StoreFailure]:
        """Writes the key if it has the given revision."""
        return ownership_claim.claim_ownership(
            self.client, self.wanted, revision
        )

    def test_returns_the_fencing_token(self) -> None:
        token = self.claim_ownership(self.revision).unwrap()
        read = self.client.get(records.OWNER_KEY).unwrap()
        self.assertEqual(read.revision, token)

    def test_reads_the_key_while_the_answer_is_late(self) -> None:
        self.model.faults.lost_share = 1.0
        gevent.spawn_later(0.1, setattr, self.model.faults, "lost_share", 0.0)
        started_at = time.monotonic()
        token = self.claim_ownership(self.revision).unwrap()
        self.assertLess(time.monotonic() - started_at, 0.5)
        self.assertEqual(self.model.items[records.OWNER_KEY].revision, token)

    def test_fails_if_another_owner_has_written_the_key(self) -> None:
        self.model.put(records.OWNER_KEY, b"{}")
        failure = self.claim_ownership(self.revision).failure()
        self.assertFalse(failure.effect_unknown)
        self.assertEqual(len(failure.conflict), 1)
