"""Throttling of filler tasks that raise the latency of service tasks."""

from collections.abc import Iterable
from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import state

FULL_SHARE = 100
SHARE_STEP = 25
RELIEF_FRACTION = 0.7
RETRY_MS = 1_000


def adjust_shares(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    tasks: Iterable[minions.RunningTask],
) -> Iterator[effects.Effect]:
    """Adjusts the speed shares of the fillers on a minion after a poll.

    Above the latency limit the share is halved, and set to zero at SHARE_STEP
    or less. Below RELIEF_FRACTION of the limit, and without any task that has
    one, it rises by SHARE_STEP. A share without an answer is sent again.
    """
    ratio = _get_latency_ratio(minion, tasks)
    for run in minion.runs.values():
        step = run.step
        if step is None or not step.step.filler:
            continue
        if run.phase is not state.Phase.RUNNING:
            continue
        share = _compute_share(run.share, ratio)
        if share != run.share or _is_overdue(cell, run):
            run.share = share
            run.share_answered = False
            run.share_sent_ms = cell.now_ms
            yield effects.SetTaskShare(
                key=run.key,
                number=run.number,
                minion_id=run.minion_id,
                share=share,
            )


def _is_overdue(cell: state.CellState, run: state.Run) -> bool:
    """Returns whether a run's share should have been answered by now."""
    age_ms = cell.now_ms - run.share_sent_ms
    return not run.share_answered and age_ms >= RETRY_MS


def handle_answer(
    cell: state.CellState, event: events.ShareAnswered
) -> Iterator[effects.Effect]:
    """Notes that a minion has answered, if that is about the present share.

    Sent again, a share that was refused would be refused again.
    """
    minion = cell.minions.get(event.minion_id)
    run = minion and minion.runs.get((event.key, event.number))
    if run is not None and run.share == event.share:
        run.share_answered = True
    yield from ()


def _get_latency_ratio(
    minion: minion_records.MinionRecord, tasks: Iterable[minions.RunningTask]
) -> float | None:
    """Returns the highest ratio of tail latency to its limit, or None."""
    ratios = []
    for task in tasks:
        run = minion.runs.get((task.key, task.run))
        if run is None or run.step is None:
            continue
        limit_ms = run.step.step.latency_limit_ms
        if limit_ms and run.step.step.lasting:
            ratios.append(task.measurement / limit_ms)
    return max(ratios, default=None)


def _compute_share(share: int, ratio: float | None) -> int:
    """Returns the new share for a ratio of latency to its limit, if any."""
    if ratio is not None and ratio > 1:
        return share // 2 if share > SHARE_STEP else 0
    if ratio is None or ratio < RELIEF_FRACTION:
        return min(FULL_SHARE, share + SHARE_STEP)
    return share
