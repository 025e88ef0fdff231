"""Counting of the minions that crash under a task.

A task may crash every minion that starts it, and takes down with it what runs
beside. From its second crash on a task is kept apart from other suspects, from
its third on it runs alone, and a crash of a minion on which it ran alone shows
that it is the cause: its job fails. It is uncertain whether a silent minion
has crashed until it answers or its registration is gone. What only may have
been a crash keeps a task apart or alone, but no job fails before two minions
have crashed for certain with a run of the task at work.
"""

from collections.abc import Generator
from collections.abc import Iterable
from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import crash_records
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.structure import steps

RETRACTION_WINDOW_MS = 600_000
DOUBT_LIMIT_MS = 5_000
SERVICE_DOUBT_LIMIT_MS = 1_000


def count(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    lost: Iterable[state.Run],
    *,
    incarnation: int,
    reason: str,
    is_certain: bool,
) -> Generator[effects.Effect, None, list[state.Run]]:
    """Counts a crash against each lost run of a minion.

    A minion that was known to leave has not crashed.

    Args:
        cell: State of the cell.
        minion: The minion, with all the runs that it had.
        lost: The runs that it lost.
        incarnation: Incarnation of the minion that had them.
        reason: How the loss was noticed, for logs.
        is_certain: Whether the minion has crashed for certain.

    Returns:
        The runs that were counted.
    """
    counted: list[state.Run] = []
    if minion.minion.draining or minion.leaves_ms >= 0:
        return counted
    for run in [each for each in lost if _can_be_cause(each)]:
        task = run.step.crashes.setdefault(
            run.key.index,
            crash_records.CrashedTask(hidden_limit=_count_hidden(run)),
        )
        if run.number in task.runs or run.step.job.state.is_final:
            continue
        is_cause = task.needs_solitude and _is_cause(cell, minion, run, task)
        task.runs.add(run.number)
        if is_certain and _was_at_work(run):
            task.proven.add(run.number)
        counted.append(run)
        detail = _describe(run.number, run.minion_id, incarnation, task)
        yield _log("crash_counted", run.key, f"{reason} {detail}")
        if is_cause and is_certain and task.is_convictable:
            yield from _convict(cell, run.step, run.key, f"{reason} {detail}")
            continue
        if is_cause:
            _defer_conviction(task, run.number, is_certain=is_certain)
        task.unstored.add(run.number)
        yield effects.RecordCrash(
            key=run.key,
            number=run.number,
            proven=run.number in task.proven,
        )
    return counted


def _defer_conviction(
    task: crash_records.CrashedTask, number: int, *, is_certain: bool
) -> None:
    """Keeps a task that seems to be the cause from being convicted yet.

    While the crash is uncertain the task waits. After a certain one too few
    crashes are proven, and the next one in a row counts as caused by it.
    """
    if is_certain:
        task.inconclusive = True
    else:
        task.doubtful_run = number


def _convict(
    cell: state.CellState,
    step: state.StepRecord,
    key: steps.TaskKey,
    detail: str,
) -> Iterator[effects.Effect]:
    """Ends the job of a task that crashed a minion for certain."""
    yield _log("crash_convicts", key, detail)
    yield from lifecycle.finish(
        cell, step.job, state.JobState.FAILED, "crashes"
    )


def expect_return(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    counted: list[state.Run],
) -> None:
    """Records which runs count no longer if a silent minion answers again."""
    if not counted:
        return
    horizon_ms = cell.now_ms - RETRACTION_WINDOW_MS
    lapsed = cell.crashes.lapsed
    for minion_id in [
        each for each, group in lapsed.items() if group.lapsed_ms < horizon_ms
    ]:
        del lapsed[minion_id]
    lapsed[minion.minion.minion_id] = crash_records.LapsedRuns(
        incarnation=minion.incarnation,
        lapsed_ms=cell.now_ms,
        runs=tuple((run.key, run.number) for run in counted),
        at_work=tuple(
            (run.key, run.number) for run in counted if _was_at_work(run)
        ),
        solitary=tuple(
            (run.key, run.number)
            for run in counted
            if run.step.crashes[run.key.index].doubtful_run == run.number
        ),
    )


def handle_return(
    cell: state.CellState, minion: minion_records.MinionRecord
) -> Iterator[effects.Effect]:
    """Retracts the crashes of a minion that was only silent or cut off.

    If it answers in another incarnation, they are certain.
    """
    minion_id = minion.minion.minion_id
    group = cell.crashes.lapsed.get(minion_id)
    if group is None:
        return
    if group.incarnation != minion.incarnation:
        yield from confirm(cell, minion_id, "minion_restarted")
        del cell.crashes.lapsed[minion_id]
        return
    del cell.crashes.lapsed[minion_id]
    for step, task, key, number in _list_counted(cell, group.runs):
        task.runs.discard(number)
        task.unstored.discard(number)
        task.proven.discard(number)
        _end_doubt(task, number)
        detail = _describe(number, minion_id, group.incarnation, task)
        yield _log("crash_retracted", key, f"minion_returned {detail}")
        yield effects.RecordCrash(key=key, number=number, retracted=True)
        _release(cell, step, key.index)


def confirm(
    cell: state.CellState, minion_id: str, reason: str
) -> Iterator[effects.Effect]:
    """Proves crashes; ends the jobs of tasks that were alone on the minion.

    A task of which too few crashes are proven starts again.

    Args:
        cell: State of the cell.
        minion_id: Id of the minion, which has crashed for certain.
        reason: Why it is certain, for logs.
    """
    group = cell.crashes.lapsed.get(minion_id)
    if group is None:
        return
    for _, task, key, number in _list_counted(cell, group.at_work):
        if number not in task.proven:
            task.proven.add(number)
            yield effects.RecordCrash(key=key, number=number, proven=True)
    for step, task, key, number in _list_counted(cell, group.solitary):
        detail = _describe(number, minion_id, group.incarnation, task)
        if task.is_convictable:
            yield from _convict(cell, step, key, f"{reason} {detail}")
        elif _end_doubt(task, number):
            _defer_conviction(task, number, is_certain=True)
            yield _log("crash_unproven", key, f"{reason} {detail}")
            _release(cell, step, key.index)


def end_doubts(cell: state.CellState) -> Iterator[effects.Effect]:
    """Lets tasks start again whose minions have been silent for long."""
    for group in cell.crashes.lapsed.values():
        age_ms = cell.now_ms - group.lapsed_ms
        for step, task, key, number in _list_counted(cell, group.solitary):
            if age_ms < _get_doubt_limit(step):
                continue
            if _end_doubt(task, number):
                yield _log(
                    "crash_doubt_over", key, f"run={number} age_ms={age_ms}"
                )
                _release(cell, step, key.index)


def _get_doubt_limit(step: state.StepRecord) -> int:
    """Returns how long a task waits for a silent minion, in ms."""
    return SERVICE_DOUBT_LIMIT_MS if step.step.lasting else DOUBT_LIMIT_MS


def _end_doubt(task: crash_records.CrashedTask, number: int) -> bool:
    """Ends the doubt about a run; returns whether there was one."""
    if task.doubtful_run != number:
        return False
    task.doubtful_run = crash_records.NO_RUN
    return True


def _list_counted(
    cell: state.CellState, names: Iterable[tuple[steps.TaskKey, int]]
) -> Iterator[
    tuple[state.StepRecord, crash_records.CrashedTask, steps.TaskKey, int]
]:
    """Yields the runs that still count, with their steps and tasks."""
    for key, number in names:
        step = runs.find_step(cell, key)
        task = step and step.crashes.get(key.index)
        if task is None or step.job.state.is_final:
            continue
        if number in task.runs:
            yield step, task, key, number


def handle_stored(
    cell: state.CellState, event: events.CrashStored
) -> Iterator[effects.Effect]:
    """Lets a task start again, as the next owner will know of its crash."""
    step = runs.find_step(cell, event.key)
    task = step and step.crashes.get(event.key.index)
    if task is None:
        return
    task.unstored.discard(event.number)
    yield _log(
        "crash_stored", event.key, f"run={event.number} count={task.count}"
    )
    _release(cell, step, event.key.index)


def _release(cell: state.CellState, step: state.StepRecord, index: int) -> None:
    """Queues a task that waited for its crash to be stored."""
    if index not in step.waiting and not step.is_done:
        lifecycle.requeue(cell, step, index)


def note_adopted(run: state.Run) -> None:
    """Notes that the takeovers since a run's start have hidden no crash."""
    task = run.step and run.step.crashes.get(run.key.index)
    if task is not None:
        task.hidden_limit = _count_hidden(run)


def _count_hidden(run: state.Run) -> int:
    """Returns how many crashes of a run's task takeovers may have hidden.

    A run that has outlived takeovers shows that they hid none.
    """
    begun_epoch = runs.get_epoch(run.number)
    return sum(epoch <= begun_epoch for epoch in run.step.job.hiding_epochs)


def _can_be_cause(run: state.Run) -> bool:
    """Returns whether a lost run may have crashed its minion.

    One whose stop was confirmed may: the next incarnation confirms the stop of
    any run.
    """
    return run.step is not None and run.key.index not in run.step.done


def _was_at_work(run: state.Run) -> bool:
    """Returns whether a run was at work on its minion until that was lost.

    A start without an answer shows it if the minion was there right before;
    else it may have met a minion that had crashed already.
    """
    return run.contacted or (run.confirmed_ms >= 0 and run.stopped_ms < 0)


def _is_cause(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    run: state.Run,
    task: crash_records.CrashedTask,
) -> bool:
    """Returns whether a run has crashed its minion.

    A start that was never answered may have met a minion that had crashed
    before, and what runs beside a task may be the cause. Yet the second crash
    in a row counts as caused by it, so that no more minions crash.
    """
    was_inconclusive = task.inconclusive
    task.inconclusive = run.confirmed_ms < 0 or not _ran_alone(
        cell, minion, run
    )
    return was_inconclusive or not task.inconclusive


def _ran_alone(
    cell: state.CellState, minion: minion_records.MinionRecord, run: state.Run
) -> bool:
    """Returns whether nothing else can have crashed a run's minion.

    Members of one gang may run together, as they stand and fall together.
    """
    return solitude.is_solitary(run) and all(
        each is run
        or (run.step.step.gang and each.step is run.step)
        or solitude.is_harmless(cell, each)
        for each in minion.runs.values()
    )


def _describe(
    number: int,
    minion_id: str,
    incarnation: int,
    task: crash_records.CrashedTask,
) -> str:
    """Returns the inputs of a decision on a crash, for logs."""
    return (
        f"run={number} minion={minion_id} incarnation={incarnation} "
        f"count={task.count} proven={len(task.proven)}"
    )


def _log(
    event_name: str, key: steps.TaskKey, detail: str
) -> effects.LogDecision:
    """Returns the log line of a decision on a crash."""
    return effects.LogDecision(
        event_name=event_name, subject=minions.format_task(key), detail=detail
    )
