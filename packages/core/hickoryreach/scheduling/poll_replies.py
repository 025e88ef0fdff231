"""What minions list: runs, ends, and runs that are missing."""

from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import orphans
from hickoryreach.scheduling import pace
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.scheduling import throttling
from hickoryreach.structure import resources

ENDS_LIMIT = 500
LATE_MARGIN_MS = 300


def take(
    cell: state.CellState, event: events.MinionPolled
) -> Iterator[effects.Effect]:
    """Takes in a minion's lists."""
    minion = cell.minions.get(event.minion_id)
    if minion is None:
        return
    look = event.reply
    reborn = bool(minion.incarnation) and look.incarnation != minion.incarnation
    if not minion.is_open or reborn:
        cell.dirty = True
    if minion.incarnation and not minion.reachable:
        closed_ms = cell.now_ms + cell.settings.return_ms
        minion.blamed_until_ms = max(minion.blamed_until_ms, closed_ms)
    minion.incarnation = look.incarnation
    minion.looked = True
    minion.reachable = True
    for end in look.ends:
        yield from _take_end(cell, minion, end)
    pace.measure(cell, minion, look.running)
    listed = set()
    orphans = 0
    for row in look.running:
        listed.add((row.key, row.run))
        yield from _take_running(cell, minion, row)
        run = minion.runs.get((row.key, row.run))
        if run is not None and run.need == resources.ZERO:
            orphans += run.step is None
    minion.strays = orphans
    yield from throttling.adjust(minion, look.running)
    for name, run in list(minion.runs.items()):
        if name in listed or name not in minion.runs:
            continue
        reason = _explain_absence(cell, run, event, reborn=reborn)
        if reason:
            yield from lifecycle.give_up_run(cell, run, reason, void=reborn)


def _take_end(
    cell: state.CellState, minion: state.MinionRecord, end: minions.TaskEnd
) -> Iterator[effects.Effect]:
    run = minion.runs.get((end.key, end.run))
    step = runs.find_step(cell, end.key)
    if run is not None:
        runs.free(cell, run)
    if orphans.is_unknown(cell, end.key.job_id):
        yield from orphans.hold(cell, minion, end)
        return
    counts = (
        step is not None
        and not step.job.state.is_final
        and (end.key.index, end.run) not in step.void
    )
    if not counts:
        yield effects.AcknowledgeEnd(
            minion_id=minion.minion.minion_id,
            incarnation=minion.incarnation,
            end=end,
            must_store=False,
        )
        return
    lifecycle.note_checkpoint(step, end.key.index, end.checkpoint)
    _learn(cell, minion, end)
    if end.kind is minions.EndKind.FAILED:
        step.shunned.add(minion.minion.minion_id)
    yield effects.AcknowledgeEnd(
        minion_id=minion.minion.minion_id,
        incarnation=minion.incarnation,
        end=end,
        must_store=_must_record(end),
    )
    yield from lifecycle.note_begun(step.job)
    yield from lifecycle.take_outcome(
        cell, step, end.key.index, end.run, end.kind
    )
    if end.kind is minions.EndKind.DONE:
        yield from _stop_others(cell, step, end)
    elif run is not None:
        yield from lifecycle.break_gang(cell, step, "member_ended")


def _stop_others(
    cell: state.CellState, step: state.StepRecord, end: minions.TaskEnd
) -> Iterator[effects.Effect]:
    """Stops later runs of a task whose end was learned of late."""
    for run in list(step.runs.values()):
        if run.number != end.run and run.key.index in step.done:
            yield from lifecycle.stop(cell, run, "done_elsewhere")


def _must_record(end: minions.TaskEnd) -> bool:
    return bool(end.checkpoint) or end.kind in (
        minions.EndKind.DONE,
        minions.EndKind.FAILED,
    )


def _learn(
    cell: state.CellState, minion: state.MinionRecord, end: minions.TaskEnd
) -> None:
    """Counts failures of different jobs in a row against the minion."""
    if end.kind is minions.EndKind.DONE:
        minion.failed_jobs.clear()
    elif end.kind is minions.EndKind.FAILED:
        minion.failed_jobs[end.key.job_id] = None
        if len(minion.failed_jobs) >= cell.settings.blame_failures:
            minion.failed_jobs.clear()
            minion.blamed_until_ms = cell.now_ms + cell.settings.blame_ms


def _take_running(
    cell: state.CellState,
    minion: state.MinionRecord,
    row: minions.RunningTask,
) -> Iterator[effects.Effect]:
    run = minion.runs.get((row.key, row.run))
    if run is None:
        yield from _adopt(cell, minion, row)
        return
    if run.phase is state.Phase.SENT:
        run.phase = state.Phase.RUNNING
        run.confirmed_ms = cell.now_ms
        run.progress_ms = cell.now_ms
        if run.step is not None:
            yield from lifecycle.note_begun(run.step.job)
    if row.percent > run.percent or row.checkpoint != run.checkpoint:
        run.progress_ms = cell.now_ms
    run.percent = row.percent
    run.listed_ms = cell.now_ms
    run.checkpoint = row.checkpoint
    if run.step is not None:
        lifecycle.note_checkpoint(run.step, row.key.index, row.checkpoint)


def _adopt(
    cell: state.CellState,
    minion: state.MinionRecord,
    row: minions.RunningTask,
) -> Iterator[effects.Effect]:
    """Takes over a run that another owner started, or stops it."""
    step = runs.find_step(cell, row.key)
    wanted = (
        step is not None
        and not step.job.state.is_final
        and row.key.index not in step.done
        and row.key.index not in step.runs
        and (row.key.index, row.run) not in step.void
    )
    run = state.Run(
        key=row.key,
        number=row.run,
        minion_id=minion.minion.minion_id,
        step=step if wanted else None,
        need=step.need if step else resources.ZERO,
        workspace=step.job.job.workspace if step else "",
        phase=state.Phase.RUNNING,
        sent_ms=cell.now_ms,
        confirmed_ms=cell.now_ms,
        percent=row.percent,
        progress_ms=cell.now_ms,
        checkpoint=row.checkpoint,
    )
    runs.add(cell, minion, run)
    yield effects.LogDecision(
        event_name="run_adopted" if wanted else "run_unwanted",
        subject=minions.format_task(row.key),
        detail=f"run={row.run} minion={minion.minion.minion_id}",
    )
    if wanted:
        lifecycle.note_checkpoint(step, row.key.index, row.checkpoint)
        yield from lifecycle.note_begun(step.job)
    elif orphans.is_unknown(cell, row.key.job_id):
        yield from orphans.seek(cell, row.key.job_id)
    else:
        yield from lifecycle.stop(cell, run, "unwanted")


def take_found(cell: state.CellState, job_id: str) -> Iterator[effects.Effect]:
    """Takes what minions listed of a job before it was known."""
    for held in cell.sought.pop(job_id, ()):
        minion = cell.minions.get(held.minion_id)
        if minion is not None and minion.incarnation == held.incarnation:
            yield from _take_end(cell, minion, held.end)
    for minion, run in orphans.list_runs(cell, job_id):
        runs.free(cell, run)
        row = minions.RunningTask(
            key=run.key,
            run=run.number,
            checkpoint=run.checkpoint,
            percent=run.percent,
        )
        yield from _adopt(cell, minion, row)


def _explain_absence(
    cell: state.CellState,
    run: state.Run,
    event: events.MinionPolled,
    *,
    reborn: bool,
) -> str:
    """Returns why a run that is not listed can't run, or an empty text."""
    settings = cell.settings
    valid_ms = settings.start_ms * (1 + settings.drift) + LATE_MARGIN_MS
    if run.phase in (state.Phase.RUNNING, state.Phase.STOPPING) and (
        run.confirmed_ms >= 0
    ):
        if reborn:
            return "minion_reborn"
        if (
            event.sent_ms > run.confirmed_ms
            and len(event.reply.ends) < ENDS_LIMIT
        ):
            return "not_listed"
        return ""
    if 0 <= run.stopped_ms < event.sent_ms:
        return "stopped_before_start"
    if event.sent_ms > run.sent_ms + valid_ms:
        return "start_expired"
    return ""


def lapse(
    cell: state.CellState, event: events.LeaseExpired
) -> Iterator[effects.Effect]:
    """Frees every run of a minion whose lease is over."""
    minion = cell.minions.get(event.minion_id)
    if minion is None:
        return
    minion.looked = False
    for run in list(minion.runs.values()):
        yield from lifecycle.give_up_run(cell, run, "lease_lapsed", void=True)
    if minion.gone:
        del cell.minions[event.minion_id]
