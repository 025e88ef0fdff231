"""Execution of an owner's effects by the model's minions and store."""

from __future__ import annotations

import collections

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import predecessors
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling.model import advice
from tests.core.scheduling.model import faults
from tests.core.scheduling.model import workers

STOP_MS = 300
ORDER_TIMEOUT_MS = 800
LOST = minions.OrderFailure(reason="no_answer", effect_unknown=True)
NOT_CONTACTED = minions.OrderFailure(reason="not_contacted")
UNKNOWN = minions.OrderFailure(reason="minion_unknown")


def execute(model, effect: effects.Effect) -> None:
    """Executes an effect."""
    match effect:
        case effects.StartTask():
            send_start(model, effect)
        case effects.StopTask():
            send_stop(model, effect)
        case effects.AskAdvice():
            model.advice.ask(effect)
        case effects.ReorderAdvice():
            model.advice.reorder(effect)
        case effects.AcknowledgeEnd():
            model.write(lambda: acknowledge(model, effect))
        case effects.JobChanged() if effect.state.is_final:
            record_final(model, effect)
        case effects.FindStoredJob():
            delay_ms = model.draw.choice((50, 800))
            model.later(delay_ms, lambda: find_job(model, effect.job_id))
        case effects.RecordCrash():
            model.write(lambda: record_crash(model, effect))


def send_start(model, effect: effects.StartTask) -> None:
    """Carries a start out, now or late, answered or not.

    An order that a minion holds back is gone with its life.
    """
    minion = model.minions[effect.minion_id]
    epoch, incarnation = model.epoch, minion.incarnation

    def begin_late() -> None:
        if minion.up and minion.incarnation == incarnation:
            begin(model, effect, epoch)

    if effect.contact_first and minion.is_reachable(model.now_ms):
        contacted = events.StartContacted(
            key=effect.key, number=effect.number, minion_id=effect.minion_id
        )
        model.later(0, lambda: model.apply(contacted))
    chance = model.draw.random()
    late_share = 0.0 if model.calm else model.scenario.late_share
    lost_share = 0.0 if model.calm else model.scenario.lost_share
    if effect.minion_id not in model.owner.links:
        failure = UNKNOWN
    elif not minion.is_reachable(model.now_ms):
        failure = NOT_CONTACTED if effect.contact_first else LOST
    elif chance < late_share:
        model.later(model.draw.randint(100, 5_000), begin_late, owned=False)
        failure = LOST
    elif chance < late_share + lost_share:
        begin(model, effect, epoch)
        failure = LOST
    else:
        failure = begin(model, effect, epoch)
    answered = events.StartAnswered(
        key=effect.key,
        number=effect.number,
        minion_id=effect.minion_id,
        failure=failure,
    )
    is_late = failure in (LOST, NOT_CONTACTED)
    delay_ms = ORDER_TIMEOUT_MS if is_late else 0
    model.later(delay_ms, lambda: model.apply(answered))


def begin(
    model, effect: effects.StartTask, epoch: int
) -> minions.OrderFailure | None:
    """Lets a minion begin a run, unless it has to refuse it."""
    job = model.jobs[effect.key.job_id]
    step = job.steps[effect.key.step]
    minion = model.minions[effect.minion_id]
    if job.queue.advice is not None and not advice.is_valid(
        effect.ticket,
        minions.format_step(job.job_id, effect.key.repeat, effect.key.step),
        minion.incarnation,
        model.now_ms,
    ):
        model.refused_tickets += 1
        return workers.refuse(minions.Refusal.INVALID_TICKET)
    length_ms = model.scenario.draw_length_ms(model.draw, step)
    endless = step.lasting or step.gang
    run = workers.Run(
        key=effect.key,
        number=effect.number,
        begun_ms=model.now_ms,
        ends_ms=workers.NEVER_MS if endless else model.now_ms + length_ms,
        lasting=step.lasting,
        stalls=not model.calm
        and not step.gang
        and model.draw.random() < model.scenario.stall_share,
    )
    failure = minion.begin(run, epoch, effect.valid_until_ms, model.now_ms)
    if failure is None:
        model.starts += 1
        present = list_runs(model)
        model.judge.check(effect.key, run.number, present, model.now_ms)
        model.judge.check_route(effect.key, minion)
        faults.doom(model, minion, run)
    return failure


def list_runs(model) -> list[workers.Run]:
    """Returns all runs on minions."""
    return [
        run for minion in model.minions.values() for run in minion.runs.values()
    ]


def advance_runs(model) -> None:
    """Ends what has ended by now on the minions."""
    for minion in model.minions.values():
        minion.advance(model.now_ms)
    end_broken_gangs(model)


def end_broken_gangs(model) -> None:
    """Lets complete gangs work; ends those that lost a member or wait for one.

    The members of a gang end their work together.
    """
    for name, present in list_gangs(model).items():
        step = model.jobs[name[0]].steps[name[1]]
        if len(present) == step.count:
            if name not in model.complete_gangs:
                model.complete_gangs.add(name)
                length_ms = model.scenario.draw_length_ms(model.draw, step)
                for _, run in present:
                    run.ends_ms = model.now_ms + length_ms
            continue
        for minion, run in present:
            if name in model.complete_gangs:
                minion.end(run, minions.EndKind.GANG_MEMBER_ENDED)
            elif model.now_ms > run.begun_ms + workers.GANG_WAIT_MS:
                minion.end(run, minions.EndKind.GANG_TIMED_OUT)


def list_gangs(
    model,
) -> dict[tuple[str, int, int], list[tuple[workers.Minion, workers.Run]]]:
    """Returns the present members of each gang."""
    members = collections.defaultdict(list)
    for minion in model.minions.values():
        for run in minion.runs.values():
            if model.jobs[run.key.job_id].steps[run.key.step].gang:
                name = (run.key.job_id, run.key.step, run.number)
                members[name].append((minion, run))
    return members


def send_stop(model, effect: effects.StopTask) -> None:
    """Stops a run, or bars one that has not begun."""
    minion = model.minions[effect.minion_id]
    if effect.minion_id not in model.owner.links:
        return
    confirmed = minion.is_reachable(model.now_ms)
    if confirmed:
        minion.stop(effect.key, effect.number, model.now_ms + STOP_MS)
    answered = events.StopAnswered(
        key=effect.key,
        number=effect.number,
        minion_id=effect.minion_id,
        confirmed=confirmed,
    )
    model.later(0, lambda: model.apply(answered))


def acknowledge(model, effect: effects.AcknowledgeEnd) -> None:
    """Stores an end and acknowledges it to its minion."""
    end = effect.end
    if effect.must_store:
        recorded = events.RecordedEnd(
            key=end.key, number=end.run, kind=end.kind, checkpoint=""
        )
        model.rows.setdefault(end.key.job_id, []).append(recorded)
        if end.kind is minions.EndKind.DONE:
            model.judge.done.add(end.key)
    minion = model.minions[effect.minion_id]
    if minion.incarnation == effect.incarnation:
        minion.ends = [
            each for each in minion.ends if each.number != end.number
        ]
        if end.kind is minions.EndKind.DONE and minion.counts(end):
            model.judge.check_done(end.key, end.run)


def record_crash(model, effect: effects.RecordCrash) -> None:
    """Stores a crash, or its retraction."""
    kind = minions.EndKind.LEASE_EXPIRED
    if effect.retracted:
        kind = minions.EndKind.STOPPED
    row = events.RecordedEnd(
        key=effect.key,
        number=effect.number,
        kind=kind,
        checkpoint="",
        proven=effect.proven,
    )
    model.rows.setdefault(effect.key.job_id, []).append(row)
    model.apply(events.CrashStored(key=effect.key, number=effect.number))


def record_final(model, effect: effects.JobChanged) -> None:
    """Stores the final state of a job, its cancellation before that."""
    job = model.jobs[effect.job_id]
    if effect.state is state.JobState.CANCELLED:
        model.write(lambda: model.cancelled.add(effect.job_id))
    if effect.reason == "crashes":
        model.lost.check_given_up(job)
    completed = effect.state is state.JobState.COMPLETED
    ended = predecessors.EndedJob(
        workspace=job.workspace,
        step_sizes=tuple(
            steps.StepSize(count=each.count, need=each.need)
            for each in (() if completed else job.steps)
        ),
    )

    def store() -> None:
        model.finals[effect.job_id] = ended
        model.outcomes[effect.job_id] = effect.reason

    model.write(store)


def find_job(model, job_id: str) -> None:
    """Tells the owner whether a job is stored."""
    job = model.jobs.get(job_id)
    if job is None or job_id in model.finals:
        model.apply(events.JobNotFound(job_id=job_id))
    else:
        model.apply(events.JobAccepted(job=job))
