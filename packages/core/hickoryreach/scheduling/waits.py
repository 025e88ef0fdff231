"""Why waiting steps don't start, and the log lines that tell."""

from collections.abc import Iterator
import heapq

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.scheduling import unseen_usage
from hickoryreach.scheduling import wait_causes
from hickoryreach.structure import resources

REPORT_PERIOD_MS = 1_000
MAX_REPORTS_PER_PERIOD = 10
MIN_AGE_MS = 3_000
REPEAT_INTERVAL_MS = 10_000


def report(cell: state.CellState) -> Iterator[effects.Effect]:
    """Logs, once a period, why some of the steps that wait long don't start.

    A workspace at its limit gets one line for all of its steps that wait for
    it. Of the others at most MAX_REPORTS_PER_PERIOD are logged, none again
    within REPEAT_INTERVAL_MS; those come first whose last line, and then whose
    last consideration by a pass, is the oldest.
    """
    if cell.now_ms < cell.next_wait_report_ms:
        return
    cell.next_wait_report_ms = cell.now_ms + REPORT_PERIOD_MS
    blocked: dict[str, list[state.StepRecord]] = {}
    others: list[state.StepRecord] = []
    for step in _list_due(cell):
        if _waits_for_limit(cell, step):
            blocked.setdefault(step.job.job.workspace, []).append(step)
        else:
            others.append(step)
    for workspace, steps in blocked.items():
        yield _describe_blocked(cell, workspace, steps)
    for step in heapq.nsmallest(
        MAX_REPORTS_PER_PERIOD,
        others,
        key=lambda step: (step.wait_reported_ms, step.considered_ms),
    ):
        step.wait_reported_ms = cell.now_ms
        yield describe(cell, step)


def _list_due(cell: state.CellState) -> Iterator[state.StepRecord]:
    """Yields the steps that wait long and have no recent line."""
    for step in cell.ready.values():
        if (
            step.waiting
            and cell.now_ms - step.waiting_since_ms >= MIN_AGE_MS
            and cell.now_ms - step.wait_reported_ms >= REPEAT_INTERVAL_MS
        ):
            yield step


def _waits_for_limit(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether a recent pass found a step's workspace at its limit."""
    return (
        step.wait_cause is wait_causes.WaitCause.LIMIT
        and cell.now_ms - step.considered_ms < REPORT_PERIOD_MS
    )


def _describe_blocked(
    cell: state.CellState, workspace: str, steps: list[state.StepRecord]
) -> effects.LogDecision:
    """Returns the log line of a workspace whose limit keeps steps waiting."""
    for step in steps:
        step.wait_reported_ms = cell.now_ms
    oldest = min(steps, key=lambda step: step.waiting_since_ms)
    used = cell.usage.get(workspace, resources.ZERO)
    limit = runs.get_limit(cell, workspace)
    unseen = unseen_usage.get_earlier_usage(cell, workspace)
    return effects.LogDecision(
        event_name="workspace_waits",
        subject=workspace,
        detail=(
            f"cause={wait_causes.WaitCause.LIMIT} steps={len(steps)} "
            f"oldest={_format_name(oldest)} "
            f"waiting_ms={cell.now_ms - oldest.waiting_since_ms} "
            f"used_cpu={used.cpu_millis} limit_cpu={limit.cpu_millis} "
            f"used_memory={used.memory_mb} limit_memory={limit.memory_mb} "
            f"unseen_cpu={unseen.cpu_millis}"
        ),
    )


def _format_name(step: state.StepRecord) -> str:
    return minions.format_step(step.job.job.job_id, step.repeat, step.position)


def describe(
    cell: state.CellState, step: state.StepRecord
) -> effects.LogDecision:
    """Returns the log line of one step.

    `cause` is what the last pass found that considered the step, which is
    `considered_ms` ago.
    """
    advice_age_ms = (
        cell.now_ms - step.advice_call.asked_ms
        if step.advice_call.asked_ms >= 0
        else -1
    )
    considered_ms = (
        cell.now_ms - step.considered_ms if step.considered_ms >= 0 else -1
    )
    return effects.LogDecision(
        event_name="step_waits",
        subject=_format_name(step),
        detail=(
            f"cause={step.wait_cause} "
            f"waiting_ms={cell.now_ms - step.waiting_since_ms} "
            f"considered_ms={considered_ms} waiting={len(step.waiting)} "
            f"runs={len(step.runs)} held={_count_held(step)} "
            f"reservations={len(cell.crashes.reservations)} "
            f"allowed={len(step.allowed or ())} "
            f"denied={len(step.denied)} tickets={len(step.tickets)} "
            f"advice_pending={step.advice_call.pending} "
            f"advice_ms={advice_age_ms}"
        ),
    )


def _count_held(step: state.StepRecord) -> int:
    """Returns how many tasks wait until a crash is certain and stored."""
    return sum(
        task.must_wait and index not in step.done
        for index, task in step.crashes.items()
    )
