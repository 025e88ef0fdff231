"""Handling of poll replies: running tasks, ends and missing runs."""

from collections.abc import Generator
from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import crashes
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import misplaced_runs
from hickoryreach.scheduling import orphans
from hickoryreach.scheduling import pace
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.scheduling import throttling
from hickoryreach.scheduling import unseen_usage
from hickoryreach.structure import resources
from hickoryreach.structure import steps

START_MARGIN_MS = 300


def handle_reply(
    cell: state.CellState, event: events.MinionPolled
) -> Iterator[effects.Effect]:
    """Updates a minion's record from the running tasks and ends it lists."""
    minion = cell.minions.get(event.minion_id)
    if minion is None:
        yield effects.LogDecision(
            event_name="reply_without_minion",
            subject=event.minion_id,
            detail=f"ends={len(event.reply.ends)}",
        )
        return
    reply = event.reply
    restarted = (
        bool(minion.incarnation) and reply.incarnation != minion.incarnation
    )
    _note_return(cell, minion, restarted=restarted)
    previous_incarnation = minion.incarnation
    minion.set_incarnation(reply.incarnation, cell.now_ms)
    minion.polled = True
    minion.reachable = True
    unseen_usage.confirm(cell, event.minion_id)
    if cell.crashes.lapsed:
        yield from crashes.handle_return(cell, minion)
    for end in reply.ends:
        yield from _handle_end(cell, minion, end)
    pace.update_speed(cell, minion, reply.running)
    listed = yield from _update_runs(cell, minion, reply)
    yield from throttling.adjust_shares(cell, minion, reply.running)
    missing = [run for name, run in minion.runs.items() if name not in listed]
    if restarted and missing:
        yield from crashes.count(
            cell,
            minion,
            [run for run in missing if not _may_be_newer(run, event)],
            incarnation=previous_incarnation,
            reason="minion_restarted",
            is_certain=True,
        )
    for run in missing:
        if (run.key, run.number) not in minion.runs:
            continue
        reason = _explain_absence(cell, run, event, restarted=restarted)
        if reason:
            yield from lifecycle.drop_run(
                cell, run, reason, invalidate=restarted
            )
    yield from misplaced_runs.stop_all(cell, minion)


def _note_return(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    *,
    restarted: bool,
) -> None:
    """Notes that a minion answers again, or as another incarnation."""
    if not minion.is_open or restarted:
        cell.dirty = True
    if minion.incarnation and not minion.reachable:
        until_ms = cell.now_ms + cell.settings.return_quarantine_ms
        minion.quarantined_until_ms = max(minion.quarantined_until_ms, until_ms)
    if restarted:
        minion.failed_jobs.clear()
        pace.forget_speed(cell, minion)


def _update_runs(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    reply: minions.PollReply,
) -> Generator[effects.Effect, None, set[tuple[steps.TaskKey, int]]]:
    """Updates or adopts all listed runs.

    Returns:
        The listed runs, by task and number.
    """
    listed = set()
    was_empty = not minion.runs
    for task in reply.running:
        name = (task.key, task.run)
        listed.add(name)
        yield from _update_run(cell, minion, task)
    if was_empty and len(minion.runs) == 1:
        solitude.adopt(cell, minion)
    return listed


def _handle_end(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    end: minions.TaskEnd,
) -> Iterator[effects.Effect]:
    """Releases a run that has ended and applies its outcome."""
    run = minion.runs.get((end.key, end.run))
    step = runs.find_step(cell, end.key)
    if run is not None:
        runs.free(cell, run)
    if orphans.is_unknown(cell, end.key.job_id):
        yield from orphans.hold(cell, minion, end)
        return
    is_valid = (
        step is not None
        and not step.job.state.is_final
        and (end.key.index, end.run) not in step.invalidated
    )
    if not is_valid:
        yield effects.AcknowledgeEnd(
            minion_id=minion.minion.minion_id,
            incarnation=minion.incarnation,
            end=end,
            must_store=False,
        )
        return
    lifecycle.record_checkpoint(step, end.key.index, end.checkpoint)
    _count_failure(cell, minion, end)
    if end.kind is minions.EndKind.FAILED:
        step.avoided_minions.add(minion.minion.minion_id)
    yield effects.AcknowledgeEnd(
        minion_id=minion.minion.minion_id,
        incarnation=minion.incarnation,
        end=end,
        must_store=_must_store(end),
    )
    yield from lifecycle.mark_started(step.job)
    yield from lifecycle.apply_outcome(
        cell, step, end.key.index, end.run, end.kind
    )
    if end.kind is minions.EndKind.DONE:
        yield from _stop_later_runs(cell, step, end)
    elif run is not None:
        yield from lifecycle.stop_gang_members(cell, step, "member_ended")


def _stop_later_runs(
    cell: state.CellState, step: state.StepRecord, end: minions.TaskEnd
) -> Iterator[effects.Effect]:
    """Stops other runs of a task that an end has shown to be done."""
    for run in list(step.runs.values()):
        if run.number != end.run and run.key.index in step.done:
            yield from lifecycle.stop(cell, run, "done_elsewhere")


def _must_store(end: minions.TaskEnd) -> bool:
    """Returns whether an end must be stored before it is acknowledged."""
    return bool(end.checkpoint) or end.kind in (
        minions.EndKind.DONE,
        minions.EndKind.FAILED,
    )


def _count_failure(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    end: minions.TaskEnd,
) -> None:
    """Quarantines a minion after failures of several jobs in a row."""
    if end.kind is minions.EndKind.DONE:
        minion.failed_jobs.clear()
    elif end.kind is minions.EndKind.FAILED:
        minion.failed_jobs[end.key.job_id] = None
        if len(minion.failed_jobs) >= cell.settings.quarantine_failures:
            minion.failed_jobs.clear()
            minion.quarantined_until_ms = (
                cell.now_ms + cell.settings.quarantine_ms
            )


def _update_run(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    task: minions.RunningTask,
) -> Iterator[effects.Effect]:
    """Updates a listed run, or adopts it if it is new."""
    run = minion.runs.get((task.key, task.run))
    if run is None:
        yield from _adopt(cell, minion, task)
        return
    if run.phase is state.Phase.SENT:
        run.phase = state.Phase.RUNNING
        run.confirmed_ms = cell.now_ms
        run.progress_ms = cell.now_ms
        if run.step is not None:
            yield from lifecycle.mark_started(run.step.job)
    if task.percent > run.percent or task.checkpoint != run.checkpoint:
        run.progress_ms = cell.now_ms
    run.percent = task.percent
    run.listed_ms = cell.now_ms
    run.checkpoint = task.checkpoint
    if run.step is not None:
        lifecycle.record_checkpoint(run.step, task.key.index, task.checkpoint)


def _adopt(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    task: minions.RunningTask,
) -> Iterator[effects.Effect]:
    """Adopts a run that another owner started.

    The run is stopped if its task should not run. If its job is unknown, the
    store is asked first.
    """
    step = runs.find_step(cell, task.key)
    size = runs.find_size(cell, task.key)
    is_wanted = (
        step is not None
        and not step.job.state.is_final
        and task.key.index not in step.done
        and task.key.index not in step.runs
        and (task.key.index, task.run) not in step.invalidated
    )
    run = state.Run(
        key=task.key,
        number=task.run,
        minion_id=minion.minion.minion_id,
        step=step if is_wanted else None,
        need=size.need if size else resources.ZERO,
        limit_need=size.limit_need if size else resources.ZERO,
        workspace=size.workspace if size else "",
        has_known_size=size is not None,
        phase=state.Phase.RUNNING,
        sent_ms=cell.now_ms,
        confirmed_ms=cell.now_ms,
        percent=task.percent,
        progress_ms=cell.now_ms,
        checkpoint=task.checkpoint,
        share_answered=False,
    )
    runs.add(cell, minion, run)
    yield effects.LogDecision(
        event_name="run_adopted" if is_wanted else "run_unwanted",
        subject=minions.format_task(task.key),
        detail=(
            f"run={task.run} minion={minion.minion.minion_id} "
            f"workspace={run.workspace} cpu={run.limit_need.cpu_millis}"
        ),
    )
    if is_wanted:
        crashes.note_adopted(run)
        lifecycle.record_checkpoint(step, task.key.index, task.checkpoint)
        yield from lifecycle.mark_started(step.job)
    elif orphans.is_unknown(cell, task.key.job_id):
        yield from orphans.request_job(cell, task.key.job_id)
    else:
        yield from lifecycle.stop(cell, run, "unwanted")


def apply_deferred(
    cell: state.CellState, job_id: str
) -> Iterator[effects.Effect]:
    """Applies the ends and runs that were listed before their job was known."""
    for deferred in cell.deferred_ends.pop(job_id, ()):
        minion = cell.minions.get(deferred.minion_id)
        if minion is not None and minion.incarnation == deferred.incarnation:
            yield from _handle_end(cell, minion, deferred.end)
    for minion, run in orphans.list_orphaned_runs(cell, job_id):
        runs.free(cell, run)
        task = minions.RunningTask(
            key=run.key,
            run=run.number,
            checkpoint=run.checkpoint,
            percent=run.percent,
        )
        yield from _adopt(cell, minion, task)


def _may_be_newer(run: state.Run, event: events.MinionPolled) -> bool:
    """Returns whether a run may have begun only after a reply was made.

    The incarnation that has made the reply may have confirmed its start.
    """
    return max(run.sent_ms, run.confirmed_ms) > event.sent_ms


def _explain_absence(
    cell: state.CellState,
    run: state.Run,
    event: events.MinionPolled,
    *,
    restarted: bool,
) -> str:
    """Returns why an unlisted run can't execute, or "" if it still may.

    A reply that does not list all ends may lack that of the run, which is not
    given up before. Only what ran in an earlier incarnation is lost for
    certain.
    """
    settings = cell.settings
    valid_ms = (
        settings.start_valid_ms * (1 + settings.clock_drift) + START_MARGIN_MS
    )
    is_confirmed = run.confirmed_ms >= 0 and run.phase in (
        state.Phase.RUNNING,
        state.Phase.STOPPING,
    )
    if is_confirmed and restarted:
        return "" if _may_be_newer(run, event) else "minion_restarted"
    if not event.lists_all_ends:
        return ""
    if is_confirmed:
        return "not_listed" if event.sent_ms > run.confirmed_ms else ""
    if 0 <= run.stopped_ms < event.sent_ms:
        return "stopped_before_start"
    if event.sent_ms > run.sent_ms + valid_ms:
        return "start_expired"
    return ""


def expire_lease(
    cell: state.CellState, event: events.LeaseExpired
) -> Iterator[effects.Effect]:
    """Releases every run of a minion whose lease has expired."""
    minion = cell.minions.get(event.minion_id)
    if minion is None:
        return
    minion.polled = False
    if minion.runs:
        counted = yield from crashes.count(
            cell,
            minion,
            list(minion.runs.values()),
            incarnation=minion.incarnation,
            reason="lease_expired",
            is_certain=minion.unregistered,
        )
        crashes.expect_return(cell, minion, counted)
    for run in list(minion.runs.values()):
        yield from lifecycle.drop_run(
            cell, run, "lease_expired", invalidate=True
        )
    if minion.unregistered:
        del cell.minions[event.minion_id]
