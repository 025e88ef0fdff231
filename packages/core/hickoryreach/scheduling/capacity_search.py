"""What a step does for tasks that fit on no minion that it may use now."""

from collections.abc import Iterator

from hickoryreach.scheduling import advice_requests
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import preemption
from hickoryreach.scheduling import state
from hickoryreach.scheduling import wait_causes


def find(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    *,
    expired: list[str],
    count: int,
) -> Iterator[effects.Effect]:
    """Requests tickets or further advice; preempts runs for the first rank.

    Args:
        cell: State of the cell.
        step: The step.
        available: Free capacity.
        usable: Minions that its tasks may use.
        expired: Those with free capacity for which the step lacks a ticket.
        count: Number of tasks that wait.
    """
    if expired:
        step.wait_cause = wait_causes.WaitCause.TICKETS
        if free_capacity.claim_request(cell, step, available):
            yield from advice_requests.refresh_tickets(cell, step, expired)
        return
    step.wait_cause = wait_causes.WaitCause.CAPACITY
    yield from advice_requests.ask_about_unknown(cell, step, available)
    if step.rank == ordering.FIRST_RANK:
        yield from preemption.preempt_for_tasks(
            cell, step, available, usable, count
        )
