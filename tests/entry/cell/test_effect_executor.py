"""Tests of the execution of effects."""

import types
from unittest import mock

import gevent

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import settings
from hickoryreach.scheduling import state
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from hickoryreach_entry.cell import effect_executor
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import progress
from hickoryreach_entry.cell import records
from tests.entry.cell import cases

JOB = "a072a0f6de83e5b3"


class EffectExecutorTest(cases.StoreCase):
    """Effects of an owner whose store may be unavailable."""

    def setUp(self) -> None:
        """Serves a store and creates an executor with a fake owner."""
        super().setUp()
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.addCleanup(self.scope.close)
        self.progress = progress.ProgressWriter(
            scope=self.scope,
            client=self.client,
            epoch=1,
            revision=self.model.put(records.OWNER_KEY, b"{}"),
            on_deposed=lambda reason: None,
        )
        self.link = mock.Mock()
        self.emitted: list[events.Event] = []
        self.owner = types.SimpleNamespace(
            scope=self.scope,
            progress=self.progress,
            serving=False,
            emit=self.emitted.append,
            published_states=mock.Mock(workspaces={JOB: "hydro"}),
            fleet=types.SimpleNamespace(links={"m0": self.link}),
            state=state.CellState(settings=settings.Settings(), epoch=1),
        )
        self.executor = effect_executor.EffectExecutor(owner=self.owner)

    def execute_unstored_end(self) -> None:
        """Executes the acknowledgement of an end that need not be stored."""
        end = minions.TaskEnd(
            number=1,
            key=steps.TaskKey(job_id=JOB, repeat=0, step=0, index=0),
            run=1,
            kind=minions.EndKind.DONE,
            checkpoint="",
        )
        self.executor.execute(
            effects.AcknowledgeEnd(
                minion_id="m0", incarnation=1, end=end, must_store=False
            )
        )

    def test_end_of_cancelled_job_waits_for_stored_cancellation(self) -> None:
        self.model.faults.busy.add("*")
        self.executor.execute(
            effects.JobChanged(job_id=JOB, state=state.JobState.CANCELLED)
        )
        self.execute_unstored_end()
        gevent.sleep(0.2)
        self.link.acknowledge_end.assert_not_called()
        self.model.faults.busy.clear()
        with gevent.Timeout(5.0):
            while not self.link.acknowledge_end.called:
                gevent.sleep(0.01)
        self.owner.published_states.publish.assert_called_once_with(
            JOB, state.JobState.CANCELLED
        )

    def test_end_is_acknowledged_at_once_if_all_rows_are_stored(self) -> None:
        self.execute_unstored_end()
        self.link.acknowledge_end.assert_called_once_with(1, 1)

    def test_final_record_tells_the_sizes_of_the_steps(self) -> None:
        step = steps.Step(
            count=3, need=resources.Resources(cpu_millis=700), filler=True
        )
        job = mock.Mock(steps=(step,), repeats=0)
        self.owner.state.jobs[JOB] = state.JobRecord(job=job)
        stored = mock.Mock()
        self.progress.on_final = stored
        self.executor.execute(
            effects.JobChanged(job_id=JOB, state=state.JobState.CANCELLED)
        )
        with gevent.Timeout(5.0):
            while not stored.called:
                gevent.sleep(0.01)
        item = self.client.get(records.build_job_key(JOB)).unwrap()
        final = records.decode_stored_job(item.data).unwrap()
        self.assertEqual(
            final.step_sizes,
            (steps.StepSize(count=3, need=step.need, filler=True),),
        )

    def read_rows(self) -> list[records.Row]:
        """Returns the stored rows of the progress."""
        parts = self.client.get_prefix(records.PROGRESS_PREFIX).unwrap()
        return [
            row.unwrap()
            for item in parts.items
            for row in records.decode_rows(item.data)
        ]

    def test_a_crash_is_announced_only_once_it_is_stored(self) -> None:
        key = steps.TaskKey(job_id=JOB, repeat=0, step=0, index=3)
        self.model.faults.busy.add("*")
        self.executor.execute(effects.RecordCrash(key=key, number=7))
        gevent.sleep(0.2)
        self.assertEqual(self.emitted, [])
        self.model.faults.busy.clear()
        with gevent.Timeout(5.0):
            while not self.emitted:
                gevent.sleep(0.01)
        self.assertEqual(self.emitted, [events.CrashStored(key=key, number=7)])
        (row,) = self.read_rows()
        self.assertEqual(row.end.key, key)
        self.assertEqual(row.end.number, 7)
        self.assertEqual(row.end.kind, minions.EndKind.LEASE_EXPIRED)

    def test_it_is_stored_whether_a_crash_is_proven(self) -> None:
        key = steps.TaskKey(job_id=JOB, repeat=0, step=0, index=3)
        for number, proven in ((7, False), (8, True)):
            self.executor.execute(
                effects.RecordCrash(key=key, number=number, proven=proven)
            )
        with gevent.Timeout(5.0):
            while len(self.emitted) < 2:
                gevent.sleep(0.01)
        self.assertEqual(
            [row.end.proven for row in self.read_rows()], [False, True]
        )

    def test_a_retracted_crash_is_stored_after_the_crash(self) -> None:
        key = steps.TaskKey(job_id=JOB, repeat=0, step=0, index=3)
        for retracted in (False, True):
            self.executor.execute(
                effects.RecordCrash(key=key, number=7, retracted=retracted)
            )
        with gevent.Timeout(5.0):
            while len(self.emitted) < 2:
                gevent.sleep(0.01)
        self.assertEqual(
            [row.end.kind for row in self.read_rows()],
            [minions.EndKind.LEASE_EXPIRED, minions.EndKind.STOPPED],
        )

    def build_start(self) -> effects.StartTask:
        """Returns the decision to start a task on the only minion."""
        return effects.StartTask(
            key=steps.TaskKey(job_id=JOB, repeat=0, step=0, index=0),
            number=7,
            minion_id="m0",
            payload="",
            checkpoint="",
            ticket="",
            valid_until_ms=0,
        )

    def await_event(self) -> events.Event:
        """Returns the only event, which comes in time."""
        with gevent.Timeout(5.0):
            while not self.emitted:
                gevent.sleep(0.01)
        (event,) = self.emitted
        return event

    def test_a_start_that_breaks_is_answered_as_unclear(self) -> None:
        self.link.orders.start.side_effect = RuntimeError("broken")
        self.executor.execute(self.build_start())
        event = self.await_event()
        self.assertEqual((event.number, event.minion_id), (7, "m0"))
        self.assertTrue(event.failure.effect_unknown)
        self.assertEqual(self.executor.pending_starts, 0)

    def test_a_stop_that_breaks_is_answered_as_not_confirmed(self) -> None:
        self.link.orders.stop.side_effect = RuntimeError("broken")
        key = self.build_start().key
        self.executor.execute(
            effects.StopTask(key=key, number=7, minion_id="m0", reason="done")
        )
        self.assertEqual(
            self.await_event(),
            events.StopAnswered(
                key=key, number=7, minion_id="m0", confirmed=False
            ),
        )
