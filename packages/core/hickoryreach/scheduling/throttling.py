"""Slows fillers down while they disturb the tasks that serve beside them."""

from collections.abc import Iterable
from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import state

FULL_SHARE = 100
STEP_SHARE = 25
RELIEF = 0.7


def adjust(
    state_of: state.MinionRecord, rows: Iterable[minions.RunningTask]
) -> Iterator[effects.Effect]:
    """Halves the share of fillers above the latency limit, else raises it.

    Below RELIEF of the limit the share rises again, by STEP_SHARE a look.
    """
    load = _get_load(state_of, rows)
    if load is None:
        return
    for run in state_of.runs.values():
        step = run.step
        if step is None or not step.step.filler:
            continue
        if run.phase is not state.Phase.RUNNING:
            continue
        share = _get_share(run.share, load)
        if share != run.share:
            run.share = share
            yield effects.SetTaskShare(
                key=run.key,
                number=run.number,
                minion_id=run.minion_id,
                share=share,
            )


def _get_load(
    state_of: state.MinionRecord, rows: Iterable[minions.RunningTask]
) -> float | None:
    """Returns the worst tail latency against its limit; None without one."""
    loads = []
    for row in rows:
        run = state_of.runs.get((row.key, row.run))
        if run is None or run.step is None:
            continue
        limit_ms = run.step.step.latency_limit_ms
        if limit_ms and run.step.step.lasting:
            loads.append(row.measurement / limit_ms)
    return max(loads, default=None)


def _get_share(share: int, load: float) -> int:
    if load > 1:
        return share // 2 if share > STEP_SHARE else 0
    if load < RELIEF:
        return min(FULL_SHARE, share + STEP_SHARE)
    return share
