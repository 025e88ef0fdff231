"""The owner of the cell: schedules jobs and stores their progress."""

from collections.abc import Callable
import logging
import time

import gevent
from gevent import queue as gevent_queue

from hickoryreach.platform import minions
from hickoryreach.platform import node as node_module
from hickoryreach.platform import store
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import predecessors
from hickoryreach.scheduling import reducer
from hickoryreach.scheduling import settings as scheduling_settings
from hickoryreach.scheduling import state
from hickoryreach.structure import cells
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry import clock
from hickoryreach_entry.cell import advisors
from hickoryreach_entry.cell import cancelled_ids
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import configuration_watch
from hickoryreach_entry.cell import effect_executor
from hickoryreach_entry.cell import fleet
from hickoryreach_entry.cell import follower_quorum
from hickoryreach_entry.cell import known_minions
from hickoryreach_entry.cell import leases
from hickoryreach_entry.cell import links
from hickoryreach_entry.cell import local_advisor
from hickoryreach_entry.cell import metrics
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import ownership_validity
from hickoryreach_entry.cell import progress
from hickoryreach_entry.cell import published_states
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import recovery
from hickoryreach_entry.cell import retention
from hickoryreach_entry.cell import stored_jobs
from hickoryreach_entry.cell import takeover_history

log = logging.getLogger(__name__)

TICK_S = 0.1
BATCH_LIMIT = 200
MAX_PASS_GAP_S = 0.05
HANDOVER_TIMEOUT_S = 0.8
HANDOVER_POLL_S = 0.02


class Owner:
    """One ownership of the cell.

    Attributes:
        scope: Runs all that the ownership starts.
        epoch: Number of the ownership.
        revision: Revision of the owner's key; the fencing token.
        state: Scheduling state that the reducer works on.
        silent: Minions that did not answer the previous owner, by id, with
            the time in ms until nothing that it started can run there.
        may_recall_advice: Whether entries may hold advice that the previous
            owner asked for.
        published_states: Job states that callers may be told.
        next_pass_at: Earliest start of the next placement pass, in s.
        serving: Whether the takeover is complete and decisions are made.
        leaving: Whether the ownership is being handed over.
        ownership_validity: Whether this may still act as the owner.
    """

    def __init__(
        self,
        *,
        settings: node_module.NodeSettings,
        client: store.Store,
        epoch: int,
        revision: int,
        configuration: cells.Configuration | None,
        configuration_source: configuration_watch.ConfigurationWatch,
        local_advisor: local_advisor.LocalAdvisor,
        get_channels: Callable[[], dict[str, channel.Channel]],
        quorum: follower_quorum.FollowerQuorum,
        silent: dict[str, int],
        get_wall_ms: Callable[[], int],
        may_recall_advice: bool,
        on_deposed: Callable[["Owner", str], None],
    ) -> None:
        """Creates an owner that has not started yet.

        Args:
            settings: Settings of the entry.
            client: The store.
            epoch: Number of the ownership.
            revision: Revision of the owner's key; the fencing token.
            configuration: The configuration in force, or None.
            configuration_source: Watch of the configuration.
            local_advisor: Advisor of this entry.
            get_channels: Returns the channels to the followers, by name.
            quorum: The entries that may take over.
            silent: Minions that did not answer the previous owner.
            get_wall_ms: Returns the time of day that the entries agree on, in
                ms since 1970.
            may_recall_advice: Whether entries may hold advice that the
                previous owner asked for.
            on_deposed: Called with this owner and the reason when the store
                names another one.
        """
        self.scope = ownership_scope.OwnershipScope(epoch=epoch)
        self.settings = settings
        self.client = client
        self.epoch = epoch
        self.revision = revision
        self.configuration = configuration
        self.configuration_source = configuration_source
        self.get_channels = get_channels
        self.silent = silent
        self.get_wall_ms = get_wall_ms
        self.may_recall_advice = may_recall_advice
        self.on_deposed = on_deposed
        self.begun_at = time.monotonic()
        self.ownership_validity = ownership_validity.OwnershipValidity(
            scope=self.scope,
            client=client,
            revision=revision,
            quorum=quorum,
            on_deposed=self.report_deposed,
        )
        self.inbox: gevent_queue.Queue = gevent_queue.Queue()
        self.next_pass_at = 0.0
        self.serving = False
        self.leaving = False
        self.stopped = False
        self.state = state.CellState(
            settings=scheduling_settings.Settings(
                stop_grace_ms=settings.bounds.stop_grace_ms
            ),
            epoch=epoch,
        )
        self.progress = progress.ProgressWriter(
            scope=self.scope,
            client=client,
            epoch=epoch,
            revision=revision,
            on_deposed=self.report_deposed,
        )
        self.advice_dispatcher = advisors.AdviceDispatcher(
            scope=self.scope,
            local=local_advisor,
            get_channels=get_channels,
            get_incarnation=self.state.get_incarnation,
            emit=self.emit,
        )
        self.fleet = fleet.Fleet(
            scope=self.scope,
            client=client,
            get_terms=self.get_terms,
            emit=self.emit,
            on_fenced=self.handle_fenced,
            heartbeat_ms=settings.heartbeat_ms,
        )
        self.known_minions = known_minions.KnownMinions(
            client=client,
            revision=revision,
            get_linked_ids=self.fleet.links.keys,
        )
        self.takeover_history = takeover_history.TakeoverHistory(
            client=client,
            epoch=epoch,
            revision=revision,
            get_incarnations=self.fleet.list_incarnations,
        )
        self.effect_executor = effect_executor.EffectExecutor(owner=self)
        self.retention = retention.Retention(
            scope=self.scope,
            client=client,
            progress=self.progress,
            retention_s=settings.bounds.keep_state_s,
            on_expired=self.drop_job,
        )
        self.cancelled_ids = cancelled_ids.CancelledIds(
            scope=self.scope,
            client=client,
            owner_revision=revision,
            retention_s=settings.bounds.keep_state_s,
        )
        self.published_states = published_states.PublishedStates(
            on_final=self.retention.record_final
        )
        self.stored_jobs = stored_jobs.StoredJobs(
            scope=self.scope,
            client=client,
            is_known=self.published_states.__contains__,
            submit=self.submit,
            on_cancelled_id=self.cancelled_ids.record,
        )

    def get_terms(self) -> leases.Terms:
        """Returns the fencing token and lease lengths for orders.

        Leases are renewed only while the ownership is confirmed, so that
        they have expired by the time at which a successor relies on it.
        """
        hold_limit_ms = self.settings.bounds.hold_limit_ms
        lease_ms = min(links.LEASE_MS, hold_limit_ms)
        if not self.may_place():
            lease_ms = 0
        return leases.Terms(
            token=self.revision, lease_ms=lease_ms, hold_limit_ms=hold_limit_ms
        )

    def start(self) -> None:
        """Starts the takeover and the scheduling loop."""
        self.scope.spawn_vital(self.run)
        self.scope.spawn_vital(self.ownership_validity.confirm_forever)

    def run(self) -> None:
        """Recovers the cell, then processes events until stopped."""
        metrics.owning.set(1)
        recovery.recover_cell(self)
        self.serving = True
        took_s = time.monotonic() - self.begun_at
        metrics.takeover_seconds.observe(took_s)
        log.info(
            "ownership_serving",
            extra={
                "epoch": self.epoch,
                "token": self.revision,
                "jobs": len(self.state.jobs),
                "minions": len(self.state.minions),
                "took_ms": int(took_s * 1000),
            },
        )
        self.scope.spawn_vital(self.known_minions.save_forever)
        self.scope.spawn_vital(self.takeover_history.save_forever)
        self.scope.spawn_vital(self.configuration_source.confirm_forever)
        self.stored_jobs.start()
        while not self.inbox.empty():
            self.apply(self.inbox.get_nowait())
        ticked_at = 0.0
        while not self.stopped:
            ticked_at = self.process_batch(ticked_at)

    def process_batch(self, ticked_at: float) -> float:
        """Processes waiting events, then runs a placement pass if one is due.

        Takes and returns the time of the last tick, in s.
        """
        due_at = ticked_at + TICK_S
        if self.state.dirty:
            due_at = min(due_at, self.next_pass_at)
        timeout = max(0.0, due_at - time.monotonic())
        try:
            event = self.inbox.get(timeout=timeout)
            self.apply(event)
            for _ in range(BATCH_LIMIT):
                if self.inbox.empty():
                    break
                self.apply(self.inbox.get_nowait())
        except gevent_queue.Empty:
            log.debug("inbox_empty", extra={})
        now = time.monotonic()
        if now >= ticked_at + TICK_S:
            self.apply(events.Ticked(wall_ms=self.get_wall_ms()))
            self.retention.run(now)
            self.cancelled_ids.run(now)
            ticked_at = now
        if self.may_place() and now >= self.next_pass_at:
            self.run_placement_pass()
        return ticked_at

    def run_placement_pass(self) -> None:
        """Runs a pass over the waiting tasks, and spaces out long passes."""
        started_at = time.monotonic()
        self.execute(reducer.advance(self.state, clock.now_ms()))
        ended = time.monotonic()
        metrics.advance_seconds.observe(ended - started_at)
        self.next_pass_at = ended + min(ended - started_at, MAX_PASS_GAP_S)

    def may_place(self) -> bool:
        """Returns whether the ownership is valid enough to start tasks."""
        return (
            not self.leaving
            and not self.stopped
            and self.ownership_validity.is_confirmed()
        )

    def emit(self, event: events.Event) -> None:
        """Queues an event for the reducer."""
        self.inbox.put(event)

    def apply(self, event: events.Event) -> None:
        """Applies one event and executes the resulting effects."""
        if isinstance(event, events.JobAccepted):
            self.published_states.record_job(event.job)
        self.execute(reducer.reduce(self.state, event, clock.now_ms()))

    def execute(self, effect_list: list[effects.Effect]) -> None:
        """Executes effects in order."""
        for effect in effect_list:
            self.effect_executor.execute(effect)

    def submit(self, job: steps.Job) -> None:
        """Accepts a job that an entry has stored."""
        if job.job_id not in self.published_states:
            self.emit(events.JobAccepted(job=job))

    def offer(self, job: steps.Job) -> None:
        """Announces a job that an entry is about to store."""
        if job.job_id not in self.published_states:
            self.emit(events.JobOffered(job=job))

    def apply_past_advice(self, advice_news: frames.AdviceNews) -> None:
        """Queues advice that an earlier owner asked for."""
        for past in advice_news.answers or ():
            key = minions.parse_task(f"{past.step}.0")
            self.emit(
                events.AdviceCallEnded(
                    job_id=key.job_id,
                    repeat=key.repeat,
                    position=key.step,
                    asked=tuple(past.minions or ()),
                    tickets=dict(past.tickets or {}),
                    valid_ms=past.left_ms,
                    from_earlier_owner=True,
                    earlier_incarnations=dict(past.incarnations or {}),
                )
            )

    def cancel(
        self, cancellation: frames.Cancellation, timeout_s: float
    ) -> frames.JobReport:
        """Cancels a job and waits until its final state is stored."""
        job_id = cancellation.job_id
        query = frames.Query(job_id=job_id, workspace=cancellation.workspace)
        report = self.published_states.query(query)
        if not report.known or state.JobState(report.state).is_final:
            return report
        self.emit(events.JobCancelled(job_id=job_id))
        kept = self.published_states.wait_until_final(job_id, timeout_s)
        report = self.published_states.query(query)
        report.kept = kept
        return report

    def record_final(self, job_id: str, final: records.FinalRecord) -> None:
        """Records a job that reached its final state under an earlier owner."""
        ended = predecessors.EndedJob(
            workspace=final.workspace, step_sizes=final.step_sizes
        )
        self.apply(events.JobAlreadyEnded(job_id=job_id, ended=ended))
        self.published_states.record_final(job_id, final)

    def drop_job(self, job_id: str) -> None:
        """Drops a job whose state is no longer retained for callers."""
        self.state.jobs.pop(job_id, None)
        self.state.ended_jobs.pop(job_id, None)
        self.published_states.drop_job(job_id)

    def change_configuration(self, configuration: cells.Configuration) -> None:
        """Applies a new configuration."""
        self.configuration = configuration
        self.emit(events.ConfigurationChanged(configuration=configuration))

    def handle_fenced(self, minion_id: str) -> None:
        """Re-confirms the ownership after a minion reported a later owner."""
        metrics.fenced_calls.inc()
        log.warning(
            "order_fenced", extra={"minion": minion_id, "token": self.revision}
        )
        self.ownership_validity.record_later_owner(minion_id)
        self.ownership_validity.confirm_soon()

    def report_deposed(self, reason: str) -> None:
        """Reports that the store names another owner."""
        self.on_deposed(self, reason)

    def hand_over(self) -> None:
        """Waits until the progress is stored and no start is pending.

        Returns after `HANDOVER_TIMEOUT_S` at the latest, or once a successor
        has deposed this owner. Minions report ends that were not stored by
        then to the successor again.
        """
        deadline = time.monotonic() + HANDOVER_TIMEOUT_S
        while time.monotonic() < deadline and not self.stopped:
            if (
                self.progress.is_empty()
                and not self.effect_executor.pending_starts
            ):
                return
            gevent.sleep(HANDOVER_POLL_S)

    def close(self) -> None:
        """Ends the ownership; no further orders are sent."""
        self.stopped = True
        metrics.owning.set(0)
        self.scope.close()
        self.fleet.close()
