"""Tests of how an entry names itself the owner."""

import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import ownership_claim
from hickoryreach_entry.cell import records
from tests.entry.cell import cases


class ClaimTest(cases.StoreCase):
    """One entry names itself, while answers may be lost."""

    def setUp(self) -> None:
        """Serves a store that names another owner."""
        super().setUp()
        self.revision = self.model.put(records.OWNER_KEY, b"{}")
        self.wanted = records.Ownership(name="me", address="", epoch=2)

    def claim(self, revision: int) -> result.Result[int, store.StoreFailure]:
        """Names the entry if the key has a revision."""
        return ownership_claim.claim(self.client, self.wanted, revision)

    def test_a_claim_gives_the_fencing_token(self) -> None:
        token = self.claim(self.revision).unwrap()
        read = self.client.get(records.OWNER_KEY).unwrap()
        self.assertEqual(read.revision, token)

    def test_a_lost_answer_is_not_waited_for(self) -> None:
        self.model.faults.lost_share = 1.0
        gevent.spawn_later(0.1, setattr, self.model.faults, "lost_share", 0.0)
        begun = time.monotonic()
        token = self.claim(self.revision).unwrap()
        self.assertLess(time.monotonic() - begun, 0.5)
        self.assertEqual(self.model.items[records.OWNER_KEY].revision, token)

    def test_another_owner_is_left_in_place(self) -> None:
        self.model.put(records.OWNER_KEY, b"{}")
        failure = self.claim(self.revision).failure()
        self.assertFalse(failure.effect_unknown)
        self.assertEqual(len(failure.conflict), 1)
