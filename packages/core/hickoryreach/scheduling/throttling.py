"""Throttling of filler tasks that raise the latency of service tasks."""

from collections.abc import Iterable
from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import state

FULL_SHARE = 100
SHARE_STEP = 25
RELIEF_FRACTION = 0.7


def adjust_shares(
    minion: minion_records.MinionRecord, tasks: Iterable[minions.RunningTask]
) -> Iterator[effects.Effect]:
    """Adjusts the speed shares of the fillers on a minion after a poll.

    Above the latency limit the share is halved, and set to zero at SHARE_STEP
    or less. Below RELIEF_FRACTION of the limit it rises by SHARE_STEP.
    """
    ratio = _get_latency_ratio(minion, tasks)
    if ratio is None:
        return
    for run in minion.runs.values():
        step = run.step
        if step is None or not step.step.filler:
            continue
        if run.phase is not state.Phase.RUNNING:
            continue
        share = _compute_share(run.share, ratio)
        if share != run.share:
            run.share = share
            yield effects.SetTaskShare(
                key=run.key,
                number=run.number,
                minion_id=run.minion_id,
                share=share,
            )


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


def _compute_share(share: int, ratio: float) -> int:
    """Returns the new share for a ratio of latency to its limit."""
    if ratio > 1:
        return share // 2 if share > SHARE_STEP else 0
    if ratio < RELIEF_FRACTION:
        return min(FULL_SHARE, share + SHARE_STEP)
    return share
