"""Tests of cancelling jobs, also before they are stored."""

import time
from unittest import mock

from returns import result

from hickoryreach.platform import store
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry.cell import job_canceller
from hickoryreach_entry.cell import job_saver
from hickoryreach_entry.cell import owner_client
from hickoryreach_entry.cell import rate_limits
from hickoryreach_entry.cell import records
from tests.entry.cell import cases

JOB = "a072a0f6de83e5b3"
KEY = records.build_job_key(JOB)


class CancellerCase(cases.StoreCase):
    """A caller of an entry whose owner knows no job."""

    def setUp(self) -> None:
        """Creates a canceller and a saver on a served store."""
        super().setUp()
        member = mock.Mock(client=self.client)
        self.owner_client = owner_client.OwnerClient(
            member=member, election=mock.Mock()
        )
        self.owner_client.call = mock.Mock(
            return_value=frames.JobReport(known=False)
        )
        self.owner_client.call_once = mock.Mock(return_value=None)
        self.owner_client.is_isolated = mock.Mock(return_value=False)
        self.canceller = job_canceller.JobCanceller(
            owner_client=self.owner_client,
            limit=rate_limits.RateLimit(per_s=50),
        )

    def cancel(self, workspace: str = "hydro", limit_s: float = 1.0):
        """Cancels the job; returns what became of that."""
        deadline = time.monotonic() + limit_s
        return self.canceller.cancel(JOB, workspace, deadline)

    def save(self, workspace: str = "hydro") -> job_saver.Outcome:
        """Hands the job in."""
        job = steps.Job(
            job_id=JOB,
            workspace=workspace,
            queue=cases.QUEUE,
            accepted_ms=0,
            payload="",
            steps=(steps.Step(count=1),),
        )
        saver = job_saver.JobSaver(owner_client=self.owner_client)
        return saver.save(job, time.monotonic() + 1.0)

    def read(self) -> records.StoredRecord:
        """Returns what the store holds under the job's id."""
        item = self.client.get(KEY).unwrap()
        return records.decode_stored_job(item.data).unwrap()


class CancelledIdTest(CancellerCase):
    """Nothing is stored under the id when it is cancelled."""

    # Guards against a job that is stored, and runs, after its cancellation was
    # acknowledged.
    def test_a_late_hand_in_stores_nothing(self) -> None:
        self.assertEqual(self.cancel(), job_canceller.NO_JOB)
        for _ in range(2):
            self.assertEqual(self.save(), job_saver.Outcome.CANCELLED)
        self.assertEqual(
            self.read(), records.CancelledId(workspaces=("hydro",))
        )
        self.assertEqual(self.owner_client.unconfirmed_jobs, {})

    # Guards against the same where the write is held up on its way.
    def test_a_late_write_stores_nothing(self) -> None:
        self.cancel()
        written = self.owner_client.write_record(JOB, b"{}")
        self.assertIsNotNone(written.failure().conflict)

    def test_a_second_cancellation_writes_nothing(self) -> None:
        self.cancel()
        revision = self.client.get(KEY).unwrap().revision
        self.assertEqual(self.cancel(), job_canceller.NO_JOB)
        self.assertEqual(self.client.get(KEY).unwrap().revision, revision)

    def test_it_keeps_no_job_of_another_workspace_out(self) -> None:
        self.cancel("wind")
        self.assertEqual(self.save("hydro"), job_saver.Outcome.KEPT)
        self.assertEqual(self.read().workspace, "hydro")
        self.assertEqual(self.save("wind"), job_saver.Outcome.OTHER_WORKSPACE)

    def test_a_caller_without_a_key_keeps_no_job_of_a_workspace_out(
        self,
    ) -> None:
        self.cancel("")
        self.assertEqual(self.save(""), job_saver.Outcome.CANCELLED)
        self.assertEqual(self.save("hydro"), job_saver.Outcome.KEPT)

    def test_each_workspace_that_cancels_it_is_kept(self) -> None:
        for workspace in ("wind", "hydro"):
            self.assertEqual(self.cancel(workspace), job_canceller.NO_JOB)
        for workspace in ("wind", "hydro"):
            self.assertEqual(self.save(workspace), job_saver.Outcome.CANCELLED)

    def test_nothing_is_acknowledged_without_a_write(self) -> None:
        self.owner_client.write_record = mock.Mock(
            return_value=result.Failure(
                store.StoreFailure(reason="timeout", effect_unknown=True)
            )
        )
        self.assertEqual(self.cancel(limit_s=0.2), job_canceller.UNCLEAR)

    def test_a_lost_answer_of_the_store_is_made_up_for(self) -> None:
        write = self.owner_client.write_record
        lost = result.Failure(
            store.StoreFailure(reason="reset", effect_unknown=True)
        )
        answers = [lambda *words: write(*words) and lost, write]
        self.owner_client.write_record = mock.Mock(
            side_effect=lambda *words: answers.pop(0)(*words)
        )
        self.assertEqual(self.cancel(), job_canceller.NO_JOB)
        self.assertEqual(answers, [])
        self.owner_client.write_record = write
        self.assertEqual(self.save(), job_saver.Outcome.CANCELLED)

    def test_too_many_of_a_workspace_are_refused(self) -> None:
        self.canceller.limit = rate_limits.RateLimit(per_s=0.01)
        self.assertEqual(self.cancel(), job_canceller.NO_JOB)
        refused = self.cancel().outcome
        self.assertEqual(refused, job_canceller.Outcome.REFUSED)
        self.assertEqual(self.cancel("wind"), job_canceller.NO_JOB)


class CancelStoredJobTest(CancellerCase):
    """The stored job decides the response if the owner does not know it."""

    def put_final(self) -> None:
        """Stores that a job of one workspace is completed."""
        final = records.FinalRecord(
            final=state.JobState.COMPLETED, workspace="hydro"
        )
        self.model.put(KEY, records.encode_final(final))

    def test_an_unreadable_job_is_not_reported_as_gone(self) -> None:
        self.model.put(KEY, b"{")
        self.assertEqual(self.cancel(), job_canceller.UNCLEAR)

    def test_a_caller_without_a_workspace_sees_any_job(self) -> None:
        self.put_final()
        self.assertEqual(self.cancel("").final, state.JobState.COMPLETED)

    def test_absent_and_foreign_jobs_get_the_same_response(self) -> None:
        absent = self.cancel("wind")
        self.model.delete(KEY)
        self.put_final()
        self.assertEqual(self.cancel("wind"), absent)
        self.assertEqual(absent, job_canceller.NO_JOB)

    def test_a_job_that_the_owner_does_not_know_yet_is_cancelled(self) -> None:
        self.save()
        self.owner_client.unconfirmed_jobs.clear()
        self.owner_client.call = mock.Mock(
            side_effect=[
                frames.JobReport(known=False),
                frames.JobReport(known=True, state="cancelled"),
            ]
        )
        self.assertEqual(self.cancel().final, state.JobState.CANCELLED)
        self.assertEqual(set(self.owner_client.unconfirmed_jobs), {JOB})
