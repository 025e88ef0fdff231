"""Tests of advice that an earlier owner or incarnation was given."""

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from tests.core.scheduling import cases
from tests.core.scheduling import test_restarted_minions


class EarlierOwnerTest(test_restarted_minions.RestartCase):
    """Advice of an earlier owner on a minion that has restarted (ROUTE, LOST).

    Guards against advice on one incarnation that counts for the next after a
    takeover, as a ticket that is refused or as a denial for good.
    """

    minion_count = 1

    def recover_job(self) -> str:
        """Recovers a job whose advice an earlier owner has asked for."""
        self.cell.earlier_advice_until_ms = self.now_ms + 150
        job = self.build_job(cases.build_step(cpu=4_000))
        self.apply(events.JobRecovered(job=job))
        return job.job_id

    def report(self, job_id: str, *allowed: str) -> None:
        """Applies what an entry reports of the call for an earlier owner."""
        self.apply(
            events.AdviceCallEnded(
                job_id=job_id,
                repeat=0,
                position=0,
                asked=("m0",),
                tickets={name: f"t-{name}" for name in allowed},
                valid_ms=2_000,
                from_earlier_owner=True,
                earlier_incarnations={"m0": test_restarted_minions.STORED_BORN},
            )
        )

    def forget(self) -> None:
        """Makes the owner one that the minion has not answered yet."""
        self.apply(events.MinionUnregistered(minion_id="m0"))
        self.apply(events.LeaseExpired(minion_id="m0"))
        self.add_minion("m0", incarnation=test_restarted_minions.STORED_BORN)

    def test_ticket_of_an_earlier_incarnation_is_not_used(self) -> None:
        self.restart("m0")
        job_id = self.recover_job()
        self.report(job_id, "m0")
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.list_started(self.pass_time(1_000)), ["m0"])

    def test_denial_of_an_earlier_incarnation_does_not_stand(self) -> None:
        self.restart("m0")
        self.report(self.recover_job())
        self.assertEqual(self.list_started(self.pass_time(1_000)), ["m0"])

    def test_ticket_counts_once_the_minion_answers(self) -> None:
        self.forget()
        self.report(self.recover_job(), "m0")
        self.assertEqual(self.get_starts(), [])
        self.poll("m0", incarnation=test_restarted_minions.STORED_BORN)
        self.assertEqual([each.ticket for each in self.get_starts()], ["t-m0"])

    def test_ticket_does_not_count_if_another_incarnation_answers(
        self,
    ) -> None:
        self.forget()
        self.report(self.recover_job(), "m0")
        self.restart("m0")
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.list_started(self.pass_time(1_000)), ["m0"])


class EarlierDenialTest(test_restarted_minions.RestartCase):
    """A step's only minion was denied before it became of another kind (LOST).

    Guards against a wait for a minion that a new kind may have opened.
    """

    minion_count = 1

    def test_another_kind_is_asked_about_at_once(self) -> None:
        self.advise(self.ask())
        self.restart("m0", labels=("b", "r1"))
        self.assertEqual(self.list_started(self.pass_time(1_000)), ["m0"])

    def test_another_kind_is_asked_about_if_a_poll_shows_it_first(
        self,
    ) -> None:
        self.advise(self.ask())
        self.now_ms += 10
        self.poll("m0", incarnation=test_restarted_minions.LATER_BORN)
        self.pass_time(500)
        self.add_minion(
            "m0",
            incarnation=test_restarted_minions.LATER_BORN,
            labels=("b", "r1"),
        )
        self.assertEqual(self.list_started(self.pass_time(1_000)), ["m0"])

    def test_same_kind_is_not_asked_about_at_once(self) -> None:
        self.advise(self.ask())
        self.restart("m0")
        self.assertEqual(self.list_started(self.pass_time(1_000)), [])

    def test_denial_of_the_new_kind_stands(self) -> None:
        call = self.ask()
        self.advise(call)
        self.restart("m0", labels=("b", "r1"))
        self.tick()
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call)
        self.assertEqual(self.list_started(self.pass_time(10_000)), [])
