"""Why waiting steps don't start, and the log lines that tell."""

from collections.abc import Iterator
import heapq

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import state

REPORT_PERIOD_MS = 1_000
MAX_REPORTS_PER_PERIOD = 10
MIN_AGE_MS = 3_000
REPEAT_INTERVAL_MS = 10_000


def report(cell: state.CellState) -> Iterator[effects.Effect]:
    """Logs, once a period, why some of the steps that wait long don't start.

    At most MAX_REPORTS_PER_PERIOD steps are logged, those first whose last line
    is the oldest, and none again within REPEAT_INTERVAL_MS.
    """
    if cell.now_ms < cell.next_wait_report_ms:
        return
    cell.next_wait_report_ms = cell.now_ms + REPORT_PERIOD_MS
    due = (
        step
        for step in cell.ready.values()
        if step.waiting
        and cell.now_ms - step.waiting_since_ms >= MIN_AGE_MS
        and cell.now_ms - step.wait_reported_ms >= REPEAT_INTERVAL_MS
    )
    for step in heapq.nsmallest(
        MAX_REPORTS_PER_PERIOD, due, key=lambda step: step.wait_reported_ms
    ):
        step.wait_reported_ms = cell.now_ms
        yield _describe(cell, step)


def _describe(
    cell: state.CellState, step: state.StepRecord
) -> effects.LogDecision:
    """Returns the log line of one step.

    `cause` is what the last pass found that considered the step, which is
    `considered_ms` ago.
    """
    name = minions.format_step(step.job.job.job_id, step.repeat, step.position)
    advice_age_ms = (
        cell.now_ms - step.advice_asked_ms if step.advice_asked_ms >= 0 else -1
    )
    considered_ms = (
        cell.now_ms - step.considered_ms if step.considered_ms >= 0 else -1
    )
    return effects.LogDecision(
        event_name="step_waits",
        subject=name,
        detail=(
            f"cause={step.wait_cause} "
            f"waiting_ms={cell.now_ms - step.waiting_since_ms} "
            f"considered_ms={considered_ms} waiting={len(step.waiting)} "
            f"runs={len(step.runs)} allowed={len(step.allowed or ())} "
            f"denied={len(step.denied)} tickets={len(step.tickets)} "
            f"advice_pending={step.advice_pending} "
            f"advice_ms={advice_age_ms}"
        ),
    )
