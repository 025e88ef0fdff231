"""Execution of the effects that the reducer returns."""

import logging

from hickoryreach.decisions import registry
from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach_entry import clock
from hickoryreach_entry.cell import metrics
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import recovery

log = logging.getLogger(__name__)

handlers: registry.Registry = registry.Registry(title="effect handlers")


class EffectExecutor:
    """Executes the effects of one owner.

    Attributes:
        owner: The owner.
        pending_starts: Number of start orders without a result yet.
    """

    def __init__(self, *, owner) -> None:
        """Creates an executor."""
        self.owner = owner
        self.pending_starts = 0

    def execute(self, effect: effects.Effect) -> None:
        """Executes one effect."""
        handlers.find(type(effect))(self, effect)

    @handlers.register(effects.StartTask)
    def start_task(self, effect: effects.StartTask) -> None:
        """Sends a start order; it fails at once without a link."""
        link = self.owner.fleet.links.get(effect.minion_id)
        if link is None:
            self._fail_start(
                effect, minions.OrderFailure(reason="minion_unknown")
            )
            return
        self._observe_first_start(effect)
        self.pending_starts += 1
        self.owner.scope.spawn(self._start, link, effect)

    def _start(self, link, effect: effects.StartTask) -> None:
        """Sends a start order; emits its end, however it ends."""
        try:
            link.orders.start(effect)
        except Exception:  # the run would be unanswered for ever
            log.exception("order_broken", extra=describe_order(effect))
            self._fail_start(
                effect,
                minions.OrderFailure(reason="broken", effect_unknown=True),
            )
        finally:
            self.pending_starts -= 1

    def _fail_start(
        self, effect: effects.StartTask, failure: minions.OrderFailure
    ) -> None:
        self.owner.emit(
            events.StartAnswered(
                key=effect.key,
                number=effect.number,
                minion_id=effect.minion_id,
                failure=failure,
            )
        )

    def _observe_first_start(self, effect: effects.StartTask) -> None:
        record = self.owner.state.jobs.get(effect.key.job_id)
        if record is not None and not record.begun:
            wait_ms = clock.now_ms() - record.accepted_ms
            metrics.first_start_seconds.observe(max(0, wait_ms) / 1000)

    @handlers.register(effects.StopTask)
    def stop_task(self, effect: effects.StopTask) -> None:
        """Sends a stop order."""
        link = self.owner.fleet.links.get(effect.minion_id)
        if link is not None:
            self.owner.scope.spawn(self._stop, link, effect)

    def _stop(self, link, effect: effects.StopTask) -> None:
        """Sends a stop order; emits its end, however it ends."""
        try:
            link.orders.stop(effect)
        except Exception:  # else nothing tells of it
            log.exception("order_broken", extra=describe_order(effect))
            self.owner.emit(
                events.StopAnswered(
                    key=effect.key,
                    number=effect.number,
                    minion_id=effect.minion_id,
                    confirmed=False,
                )
            )

    @handlers.register(effects.SetTaskShare)
    def set_task_share(self, effect: effects.SetTaskShare) -> None:
        """Sends the share of its speed that a run may use."""
        link = self.owner.fleet.links.get(effect.minion_id)
        if link is not None:
            self.owner.scope.spawn(link.orders.pace, effect)

    @handlers.register(effects.AskAdvice)
    def request_advice(self, effect: effects.AskAdvice) -> None:
        """Queues a call for advice."""
        self.owner.advice_dispatcher.ask(effect)

    @handlers.register(effects.ReorderAdvice)
    def reorder_advice(self, effect: effects.ReorderAdvice) -> None:
        """Changes the order of a call for advice that still waits."""
        self.owner.advice_dispatcher.reorder(effect)

    @handlers.register(effects.RenameAdvice)
    def rename_advice(self, effect: effects.RenameAdvice) -> None:
        """Changes the minions that a call names if it still waits."""
        self.owner.advice_dispatcher.rename(effect)

    @handlers.register(effects.PollMinion)
    def poll_now(self, effect: effects.PollMinion) -> None:
        """Polls a minion at once."""
        link = self.owner.fleet.links.get(effect.minion_id)
        if link is not None:
            link.poll_now()

    @handlers.register(effects.FindStoredJob)
    def look_up_job(self, effect: effects.FindStoredJob) -> None:
        """Looks up in the store a job that a minion lists."""
        self.owner.scope.spawn(recovery.look_up_job, self.owner, effect.job_id)

    @handlers.register(effects.AcknowledgeEnd)
    def record_end(self, effect: effects.AcknowledgeEnd) -> None:
        """Stores the end of a run, then acknowledges it to the minion.

        An end that need not be stored is acknowledged once every earlier row
        is stored. One of these rows may be the cancellation of its job,
        without which the next owner would start the job's tasks again.
        """
        end = effect.end
        link = self.owner.fleet.links.get(effect.minion_id)
        log.info(
            "task_end",
            extra={
                "task": minions.format_task(end.key),
                "run": end.run,
                "minion": effect.minion_id,
                "how": str(end.kind),
                "recorded": effect.must_store,
            },
        )

        def acknowledge_end() -> None:
            if link is not None:
                link.acknowledge_end(effect.incarnation, end.number)

        if not effect.must_store:
            self.owner.progress.append(None, acknowledge_end)
            return
        row = records.Row(
            kind=records.END,
            job_id=end.key.job_id,
            end=events.RecordedEnd(
                key=end.key,
                number=end.run,
                kind=end.kind,
                checkpoint=end.checkpoint,
            ),
        )
        self.owner.progress.append(row, acknowledge_end)

    @handlers.register(effects.RecordCrash)
    def record_crash(self, effect: effects.RecordCrash) -> None:
        """Stores a crash under a run, or its retraction.

        Its row is that of an end which is otherwise never stored, so that
        entries of an earlier version read it as a task to start again.
        """
        kind = minions.EndKind.LEASE_EXPIRED
        if effect.retracted:
            kind = minions.EndKind.STOPPED
        row = records.Row(
            kind=records.END,
            job_id=effect.key.job_id,
            end=events.RecordedEnd(
                key=effect.key,
                number=effect.number,
                kind=kind,
                checkpoint="",
                proven=effect.proven,
            ),
        )
        stored = events.CrashStored(key=effect.key, number=effect.number)
        self.owner.progress.append(row, lambda: self.owner.emit(stored))

    @handlers.register(effects.JobChanged)
    def publish_job_state(self, effect: effects.JobChanged) -> None:
        """Publishes the state of a job.

        A final state is published once it is stored, together with the ends
        that caused it.
        """
        owner = self.owner
        if owner.serving:
            metrics.jobs.labels(str(effect.state)).inc()
            self._log_job_state(effect)
        if not effect.state.is_final:
            owner.published_states.publish(effect.job_id, effect.state)
            return
        row = None
        if effect.state is state.JobState.CANCELLED:
            row = records.Row(kind=records.CANCELLED, job_id=effect.job_id)
        owner.progress.append(
            row,
            lambda: owner.published_states.publish(effect.job_id, effect.state),
            {effect.job_id: self._encode_final_record(effect)},
        )

    def _encode_final_record(self, effect: effects.JobChanged) -> bytes:
        known = self.owner.state.jobs.get(effect.job_id)
        has_runs = known and effect.state is not state.JobState.COMPLETED
        return records.encode_final(
            records.FinalRecord(
                final=effect.state,
                step_sizes=records.list_sizes(known.job) if has_runs else (),
                workspace=self.owner.published_states.workspaces.get(
                    effect.job_id, ""
                ),
            )
        )

    def _log_job_state(self, effect: effects.JobChanged) -> None:
        """Logs a job's state with its age and the time to its deadline."""
        record = self.owner.state.jobs.get(effect.job_id)
        now_ms = clock.now_ms()
        log.info(
            "job_state",
            extra={
                "job": effect.job_id,
                "state": str(effect.state),
                "cause": effect.reason,
                "age_ms": now_ms - record.accepted_ms if record else 0,
                "slack_ms": record.due_ms - now_ms if record else 0,
            },
        )

    @handlers.register(effects.LogDecision)
    def log_decision(self, effect: effects.LogDecision) -> None:
        """Logs a decision that leads to no order."""
        log.info(
            effect.event_name,
            extra={"subject": effect.subject, "detail": effect.detail},
        )


def describe_order(
    effect: effects.StartTask | effects.StopTask,
) -> dict[str, object]:
    """Returns the task, run and minion of an order, for logs."""
    return {
        "task": minions.format_task(effect.key),
        "run": effect.number,
        "minion": effect.minion_id,
    }
