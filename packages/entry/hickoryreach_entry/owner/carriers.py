"""Carries out the effects that the reducer asks for."""

from collections.abc import Callable
import dataclasses
import time

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import registry
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.trial import workers as platform_workers
from hickoryreach.wire import messages
from hickoryreach_entry import metrics
from hickoryreach_entry.owner import notices
from hickoryreach_entry.owner import records
from hickoryreach_entry.owner import requests

CALLER_GONE = "caller gone"
LIMIT_MARGIN_S = 2.0
CONNECTIONS_PER_MINION = 64

carriers: registry.Registry[type, Callable] = registry.Registry(
    title="effect carriers"
)


def is_unjournaled(job: jobs.Job) -> bool:
    """Returns whether a job leaves no trace in the journal."""
    return job.kind is jobs.Kind.REQUEST and job.idempotent


def is_current(owner, key: jobs.TaskKey) -> bool:
    """Returns whether an attempt is still to be carried out."""
    record = owner.state.jobs.get(key.job_id)
    attempt = record and record.running.get(key.index)
    return bool(attempt) and attempt.key == key and not attempt.stopping


def report_not_run(
    owner, key: jobs.TaskKey, worker_id: str, reason: str
) -> None:
    """Queues the end of an attempt that was never sent."""
    owner.emit(
        events.TaskEnded(
            key=key,
            worker_id=worker_id,
            result=jobs.TaskResult.NOT_RUN,
            reason=reason,
        )
    )


def record_intent(owner, effect, send: Callable) -> None:
    """Keeps the intent of a non-idempotent attempt, then sends it."""
    if effect.job.idempotent:
        send(owner, effect)
        return
    entry = getattr(effect, "entry", "")
    owner.journal.append(
        records.IntentRecorded(
            key=effect.key, worker_id=effect.worker_id, entry=entry
        ),
        lambda kept: (
            owner.call(lambda e: send(owner, e), effect) if kept else None
        ),
    )


@carriers.register(effects.StartTask)
def start_task(owner, effect: effects.StartTask) -> None:
    """Sends a start, after its intent is kept where that is needed."""
    metrics.placements.labels(str(effect.job.kind)).inc()
    record_intent(owner, effect, send_start)


def send_start(owner, effect: effects.StartTask) -> None:
    """Hands a start to the worker's link."""
    worker_link = owner.roster.links.get(effect.worker_id)
    if worker_link is None or not is_current(owner, effect.key):
        report_not_run(owner, effect.key, effect.worker_id, "withdrawn")
        return
    worker_link.send(
        platform_workers.Operation(
            verb="start",
            key=effect.key,
            need=effect.need,
            command=effect.job.command,
            arguments=effect.job.arguments,
            workspace=effect.job.workspace,
            service=effect.job.kind is jobs.Kind.SERVICE,
        )
    )


@carriers.register(effects.DispatchRequest)
def dispatch_request(owner, effect: effects.DispatchRequest) -> None:
    """Sends a dispatch, after its intent is kept where that is needed."""
    metrics.placements.labels(str(effect.job.kind)).inc()
    begin_dispatch(owner, effect)


def begin_dispatch(owner, effect: effects.DispatchRequest) -> None:
    """Finds the entry that holds the caller, and keeps the intent."""
    job_id = effect.key.job_id
    entry = owner.requests.holders.get(job_id, effect.entry)
    if not entry:
        owner.requests.unheld[job_id] = (effect, time.monotonic())
        return
    record_intent(
        owner, dataclasses.replace(effect, entry=entry), send_dispatch
    )


def send_dispatch(owner, effect: effects.DispatchRequest) -> None:
    """Tells the caller's entry where to send a request.

    A non-idempotent one goes to the entry that its intent names.
    """
    key = effect.key
    worker_link = owner.roster.links.get(effect.worker_id)
    if worker_link is None or not is_current(owner, key):
        report_not_run(owner, key, effect.worker_id, "withdrawn")
        return
    entry = effect.entry
    if not owner.is_member(entry):
        report_not_run(owner, key, effect.worker_id, CALLER_GONE)
        owner.emit(events.JobCancelled(job_id=key.job_id))
        return
    now = time.monotonic()
    owner.requests.add(
        requests.Dispatched(
            key=key,
            worker_id=effect.worker_id,
            entry=entry,
            valid_until=now,
            limit=now + requests.get_timeout_s(effect.job) + LIMIT_MARGIN_S,
        )
    )
    hand_out(owner, effect.job)


def drop_unheld(owner, now: float) -> None:
    """Gives up dispatches that no entry came to hold a caller for."""
    for job_id, (effect, since) in list(owner.requests.unheld.items()):
        if now - since < requests.HOLDER_GRACE_S:
            continue
        del owner.requests.unheld[job_id]
        report_not_run(owner, effect.key, effect.worker_id, CALLER_GONE)
        owner.emit(events.JobCancelled(job_id=job_id))


def void_intent(owner, key: jobs.TaskKey) -> None:
    """Journals that a non-idempotent attempt was not carried out."""
    record = owner.state.jobs.get(key.job_id)
    if record is not None and not record.job.idempotent:
        owner.journal.append(records.IntentVoided(key=key))


def repeat_dispatch(owner, sender: str, job: jobs.Job) -> None:
    """Sends a dispatch again to the entry that has it, or lacks it."""
    if job.job_id in owner.requests.unheld:
        effect, _ = owner.requests.unheld.pop(job.job_id)
        begin_dispatch(owner, effect)
        return
    live = owner.requests.live.get(job.job_id)
    if live is None or live.adopted or live.entry != sender:
        return
    if live.unclear is None and is_current(owner, live.key):
        hand_out(owner, job)


def hand_out(owner, job: jobs.Job) -> None:
    """Sends a live dispatch, valid while the owner may act.

    Without authority nothing is sent; the entry's repeated submission
    brings it about again.
    """
    live = owner.requests.live[job.job_id]
    worker_link = owner.roster.links.get(live.worker_id)
    now = time.monotonic()
    until = owner.roster.authority.until(now)
    if worker_link is None or until <= now:
        return
    granted = min(until, now + owner.roster.lengths.grant_s)
    live.valid_until = max(live.valid_until, granted)
    live.limit = live.valid_until + requests.get_timeout_s(job) + LIMIT_MARGIN_S
    owner.send(
        live.entry,
        "dispatches",
        messages.Dispatch(
            job_id=job.job_id,
            attempt=live.key.attempt,
            worker_id=live.worker_id,
            address=worker_link.worker.minion_address,
            term=owner.journal.term,
            valid_ms=int((granted - now) * 1000),
            connections=max(
                1, CONNECTIONS_PER_MINION // max(1, owner.count_entries())
            ),
        ),
    )


@carriers.register(effects.StopTask)
def stop_task(owner, effect: effects.StopTask) -> None:
    """Sends a stop, or takes back a start that was never sent.

    A request can't be stopped: its entry waits for the answer.
    """
    worker_link = owner.roster.links.get(effect.worker_id)
    if worker_link is None or effect.key.job_id in worker_link.requests:
        return
    record = owner.state.jobs.get(effect.key.job_id)
    if record is not None and record.job.kind is jobs.Kind.REQUEST:
        return
    if worker_link.commands.withdraw(effect.key):
        report_not_run(owner, effect.key, effect.worker_id, "withdrawn")
        return
    worker_link.send(
        platform_workers.Operation(
            verb="stop", key=effect.key, reason=effect.reason
        )
    )


@carriers.register(effects.CheckpointTask)
def checkpoint_task(owner, effect: effects.CheckpointTask) -> None:
    """Sends a checkpoint."""
    worker_link = owner.roster.links.get(effect.worker_id)
    if worker_link is not None:
        worker_link.send(
            platform_workers.Operation(verb="checkpoint", key=effect.key)
        )


@carriers.register(effects.ThrottleTask)
def throttle_task(owner, effect: effects.ThrottleTask) -> None:
    """Sends a throttle."""
    worker_link = owner.roster.links.get(effect.worker_id)
    if worker_link is not None:
        worker_link.send(
            platform_workers.Operation(
                verb="throttle",
                key=effect.key,
                need=resources.Resources(cpu_millis=effect.cpu_millis),
            )
        )


@carriers.register(effects.TaskSettled)
def settle_task(owner, effect: effects.TaskSettled) -> None:
    """Journals a task's final result, then lets its worker forget it."""
    record = owner.state.jobs.get(effect.key.job_id)
    if record is None or is_unjournaled(record.job):
        return
    ending = owner.ending
    reported = ending is not None and ending.key == effect.key
    worker_id = ending.worker_id if reported else ""
    owner.journal.append(
        records.TaskSettled(key=effect.key, result=effect.result),
        lambda kept: owner.acknowledge(worker_id, effect.key) if kept else None,
    )


@carriers.register(effects.JobChanged)
def change_job(owner, effect: effects.JobChanged) -> None:
    """Journals a final state, then tells who waits.

    While the store does not answer, who waits is told at once of work that
    has ended: the answer is true whether or not its record is kept. A
    cancelled job might be taken up again, so that news waits.
    """
    record = owner.state.jobs.get(effect.job_id)
    notice = notices.describe_change(record, effect)
    if not effect.state.is_final or record is None:
        owner.tell(effect.job_id, notice)
        return
    if is_unjournaled(record.job):
        owner.intake.answers.put(notice)
        owner.tell(effect.job_id, notice)
        return
    owner.unkept[effect.job_id] = notice
    told = not owner.journal.healthy and (
        effect.state is not jobs.JobState.CANCELLED
    )
    if told:
        owner.tell(effect.job_id, notice)
    owner.journal.append(
        notices.build_finished(record, effect),
        lambda kept: (
            owner.call(lambda told: tell_kept(owner, notice, told=told), told)
            if kept
            else None
        ),
    )


def tell_kept(owner, notice: messages.Notice, *, told: bool) -> None:
    """Tells who waits for a job once its end is kept."""
    owner.unkept.pop(notice.job_id, None)
    if not told:
        owner.tell(notice.job_id, notice)
