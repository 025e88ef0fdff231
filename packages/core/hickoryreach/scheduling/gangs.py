"""Placement of gangs, whose tasks all start together or not at all."""

from collections.abc import Iterator

from hickoryreach.scheduling import advice_requests
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import orders
from hickoryreach.scheduling import preemption
from hickoryreach.scheduling import reservations
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.scheduling import suspects
from hickoryreach.scheduling import wait_causes
from hickoryreach.scheduling import workspace_limits
from hickoryreach.structure import cells

LATE_CALL_INTERVAL_MS = 2_000

Plan = list[tuple[str, int]]


def place(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    terms: cells.AdviceTerms | None,
) -> Iterator[effects.Effect]:
    """Starts a gang if all of its tasks fit, else reserves capacity for it.

    Capacity that is still occupied is reserved only for gangs that can finish
    in time. Free capacity that a gang fits into is also reserved for a limited
    number of late gangs while they request tickets, unless the calls fail.
    """
    if step.runs or len(step.waiting) < step.step.count:
        step.wait_cause = (
            wait_causes.WaitCause.EARLIER_RUN
            if step.runs
            else wait_causes.WaitCause.CRASH_UNCERTAIN
        )
        return
    if not free_capacity.has_headroom(cell, step, available, step.step.count):
        step.wait_cause = wait_causes.WaitCause.LIMIT
        yield from workspace_limits.await_headroom(cell, step, available)
        return
    if suspects.has_suspects(step):
        yield from _place_suspects(cell, step, available, usable, terms)
        return
    plan = None
    if terms is not None:
        ticketed = [
            minion_id
            for minion_id in usable
            if eligibility.has_ticket(cell, step, minion_id)
        ]
        plan = _plan_by_rack(cell, step, available, ticketed)
    plan = plan or _plan_by_rack(cell, step, available, usable)
    if plan is None:
        step.wait_cause = wait_causes.WaitCause.CAPACITY
        yield from _reserve_capacity(cell, step, available, usable, terms)
        return
    may_reserve = _may_reserve(cell, step, available)
    if not free_capacity.may_start(cell, step, available, step.step.count):
        step.wait_cause = wait_causes.WaitCause.URGENT_CAPACITY
        if ordering.is_in_time(cell, step):
            _reserve_plan(step, available, plan)
        return
    if not _has_tickets(cell, step, plan):
        yield from _renew_tickets(cell, step, available, plan, may_reserve)
        return
    yield from _start_members(cell, step, available, plan, list(step.waiting))


def _renew_tickets(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    plan: Plan,
    may_reserve: bool,
) -> Iterator[effects.Effect]:
    """Requests the tickets that a plan lacks, and reserves its capacity."""
    step.wait_cause = wait_causes.WaitCause.TICKETS
    if may_reserve or free_capacity.claim_request(cell, step, available):
        planned_ids = [minion_id for minion_id, _ in plan]
        yield from advice_requests.refresh_tickets(cell, step, planned_ids)
    if may_reserve and not step.advice_call.failed:
        _reserve_plan(step, available, plan)


def _place_suspects(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    terms: cells.AdviceTerms | None,
) -> Iterator[effects.Effect]:
    """Starts a gang under whose members minions have crashed, if it fits."""
    if suspects.awaits_sibling(cell, step, available):
        step.wait_cause = wait_causes.WaitCause.SUSPECT_RUNS
        return
    solitary = solitude.list_solitary_tasks(step)
    reserved = reservations.open_minions(cell, step, available)
    candidates = list(dict.fromkeys([*usable, *reserved]))
    plan = _plan_suspects(cell, step, available, candidates, solitary)
    if solitude.may_join_others(cell, step) and (
        plan is None or not _has_tickets(cell, step, plan)
    ):
        solitary = []
        plan = _plan_suspects(cell, step, available, candidates, solitary)
    if plan is None:
        yield from _await_suspect_room(
            cell, step, available, candidates, solitary
        )
        yield from _reserve_capacity(cell, step, available, candidates, terms)
    elif not _has_tickets(cell, step, plan):
        step.wait_cause = wait_causes.WaitCause.TICKETS
        planned_ids = [minion_id for minion_id, _ in plan]
        yield from advice_requests.refresh_tickets(cell, step, planned_ids)
        if not step.advice_call.failed:
            _reserve_plan(step, available, plan)
    else:
        yield from _start_suspects(cell, step, available, plan, solitary)
    reservations.close(available, reserved)


def _plan_suspects(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    candidates: list[str],
    solitary: list[int],
) -> Plan | None:
    """Returns a plan for a gang with suspects, on minions with tickets first.

    Args:
        cell: State of the cell.
        step: The gang.
        available: Free capacity.
        candidates: Minions that it may use.
        solitary: Members that are to start alone.
    """
    ticketed = [
        minion_id
        for minion_id in candidates
        if eligibility.has_ticket(cell, step, minion_id)
    ]
    for minion_ids in (ticketed, candidates):
        plan = suspects.plan_gang(
            cell, step, available, minion_ids, len(solitary)
        )
        if plan is not None and reservations.may_close_for(
            cell, step, available, plan, len(solitary)
        ):
            return plan
    return None


def _has_tickets(
    cell: state.CellState, step: state.StepRecord, plan: Plan
) -> bool:
    """Returns whether a gang holds all tickets that a plan needs."""
    return eligibility.get_advice_terms(cell, step) is None or all(
        eligibility.has_ticket(cell, step, minion_id) for minion_id, _ in plan
    )


def _await_suspect_room(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    candidates: list[str],
    solitary: list[int],
) -> Iterator[effects.Effect]:
    """Notes why a gang with suspects waits, and has minions emptied for it.

    None are if the whole gang fits on no minions that it may use.
    """
    if free_capacity.plan_slots(available, step, candidates, step.step.count):
        solitude.note_wait(cell, step)
    if not solitary:
        step.wait_cause = wait_causes.WaitCause.SUSPECT_CAPACITY
        return
    if _plan_after_ends(cell, step, available, candidates) is None:
        step.wait_cause = wait_causes.WaitCause.CAPACITY
        reservations.drop(cell, step)
        return
    step.wait_cause = suspects.get_cause_alone(cell, step, available)
    yield from reservations.reserve(
        cell, step, available, candidates, len(solitary)
    )


def _start_suspects(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    plan: Plan,
    solitary: list[int],
) -> Iterator[effects.Effect]:
    """Starts a gang with suspects, and isolates those that are to be alone."""
    planned_ids = [minion_id for minion_id, _ in plan]
    if solitary != solitude.list_solitary_tasks(step) or any(
        suspects.has_suspect(cell, minion_id) for minion_id in planned_ids
    ):
        yield from solitude.log_given_up(cell, step, planned_ids)
    else:
        solitude.end_wait(step, step.step.count)
    available.crowded.clear()
    others = [each for each in step.waiting if each not in solitary]
    yield from _start_members(cell, step, available, plan, solitary + others)
    for index in solitary:
        run = step.runs[index]
        solitude.isolate(cell, step, index, run.number, run.minion_id)
        reservations.close(available, [run.minion_id])


def _may_reserve(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> bool:
    """Returns whether a gang may reserve the free capacity that it fits."""
    if ordering.is_in_time(cell, step):
        return True
    available.late_reservations += 1
    return available.late_reservations <= cell.settings.late_reservations_limit


def _start_members(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    plan: Plan,
    order: list[int],
) -> Iterator[effects.Effect]:
    """Starts all tasks of a gang, in an order, under one run number."""
    number = runs.get_next_run_number(cell, step)
    indexes = iter(order)
    for minion_id, count in plan:
        for _ in range(count):
            yield from orders.start(
                cell, step, next(indexes), cell.minions[minion_id], number
            )
            available.allocate(minion_id, step.need)


def _plan_by_rack(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
) -> Plan | None:
    """Returns a plan for all tasks, on one rack if that is faster."""
    if step.step.same_rack:
        racks: dict[str, list[str]] = {}
        for minion_id in usable:
            rack = cell.minions[minion_id].minion.labels[-1:]
            racks.setdefault(rack[0] if rack else "", []).append(minion_id)
        for members in racks.values():
            plan = free_capacity.plan_slots(
                available, step, members, step.step.count
            )
            if plan is not None:
                return plan
    return free_capacity.plan_slots(available, step, usable, step.step.count)


def _reserve_plan(
    step: state.StepRecord, available: free_capacity.FreeCapacity, plan: Plan
) -> None:
    """Reserves the capacity of a plan."""
    for minion_id, count in plan:
        available.reserve(minion_id, step.need.times(count))


def _reserve_capacity(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    terms: cells.AdviceTerms | None,
) -> Iterator[effects.Effect]:
    """Reserves occupied minions for a gang until it fits on them."""
    settings = cell.settings
    plan = _plan_after_ends(cell, step, available, usable)
    if terms is not None and (
        plan is None
        or _has_capacity_elsewhere(cell, step, available, usable)
        or _is_late_call_due(cell, step)
    ):
        yield from advice_requests.ask_about_unknown(cell, step, available)
    if plan is None or not ordering.is_in_time(cell, step):
        return
    size_cpu = step.need.cpu_millis * step.step.count
    share = settings.reserved_fraction * available.total_cpu
    if (
        available.claims >= settings.reservations_limit
        or available.reserved_cpu + size_cpu > share
    ):
        return
    available.claims += 1
    _reserve_plan(step, available, plan)
    yield from preemption.preempt_for_gang(cell, step, plan)


def _is_late_call_due(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether a gang that is late may ask about any further minion.

    Runs on the minions that it may use may last, so that it can't wait for
    them alone.
    """
    return not ordering.is_in_time(cell, step) and (
        cell.now_ms >= step.advice_call.asked_ms + LATE_CALL_INTERVAL_MS
    )


def _has_capacity_elsewhere(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
) -> bool:
    """Returns whether minions without advice are likely to hold the rest now.

    Without this check a gang would wait for the few minions that its first
    advice allowed, however many others are free.
    """
    count = step.step.count
    unknown = eligibility.list_unknown_minions(cell, step, available)
    fraction = eligibility.get_allowed_fraction(cell, step)
    usable_slots = sum(
        free_capacity.count_slots(available, step, each, count)
        for each in usable
    )
    unknown_slots = sum(
        free_capacity.count_slots(available, step, each, count)
        for each in unknown
    )
    return usable_slots + fraction * unknown_slots >= count


def _plan_after_ends(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
) -> Plan | None:
    """Returns a plan that fits once other runs have ended, or None.

    Minions that lack the least processor capacity per task come first.
    """
    remaining = step.step.count
    options = []
    for minion_id in usable:
        room = available.free.get(minion_id)
        if room is None:
            continue
        capacity = cell.minions[minion_id].minion.capacity
        slots = free_capacity.apply_minion_limit(
            step, minion_id, runs.count_fitting(capacity, step.need, remaining)
        )
        if slots:
            shortage = step.need.cpu_millis * slots - room.cpu_millis
            options.append((shortage / slots, minion_id, slots))
    options.sort()
    plan: Plan = []
    for _, minion_id, slots in options:
        count = min(slots, remaining)
        plan.append((minion_id, count))
        remaining -= count
        if not remaining:
            return plan
    return None


def stop_partial_gangs(cell: state.CellState) -> Iterator[effects.Effect]:
    """Stops gangs of which only some tasks run, as can follow a takeover."""
    for step in list(cell.ready.values()):
        if step.step.gang and step.runs and step.waiting:
            if step.job.unconfirmed:
                continue
            yield from preemption.stop_gang(cell, step)
