"""Jobs that are submitted to the model."""

from __future__ import annotations

from collections.abc import Sequence

from hickoryreach.scheduling import events
from hickoryreach.structure import resources
from hickoryreach.structure import steps

BURST = 6
DOOMED_SHARE = 0.08
DOOMED_CHANCE = 0.8
MAX_LASTING = 3


def submit(model, queue: str, wanted: Sequence[steps.Step]) -> None:
    """Stores a job; the owner learns of it soon."""
    job = steps.Job(
        job_id=f"{next(model.job_numbers):016x}",
        workspace=model.draw.choice(sorted(model.limits.choices_cpu)),
        queue=model.limits.build_configuration().queues[queue],
        payload="",
        steps=tuple(wanted),
        accepted_ms=model.now_ms,
    )
    model.jobs[job.job_id] = job
    accepted = events.JobAccepted(job=job)
    delay_ms = model.draw.choice((0, 0, 100, 600))
    model.later(delay_ms, lambda: model.apply(accepted))
    if model.scenario.dooms and model.draw.random() < DOOMED_SHARE:
        model.crash_chances[job.job_id] = DOOMED_CHANCE


def submit_plain(model) -> None:
    """Submits a job of one step without advice."""
    gang = model.draw.random() < 0.2
    step = steps.Step(
        count=model.draw.randint(1, 5),
        need=resources.Resources(
            cpu_millis=model.draw.choice((500, 1_000, 2_500))
        ),
        estimate_ms=1_000,
        gang=gang,
        saves=not gang and model.draw.random() < 0.5,
    )
    submit(model, model.draw.choice(("runs", "runs", "checks")), (step,))


def submit_check(model) -> None:
    """Submits a short job of the first rank."""
    need = resources.Resources(cpu_millis=1_400, memory_mb=700)
    count = model.draw.randint(1, 2)
    step = steps.Step(count=count, need=need, estimate_ms=1_000)
    submit(model, "checks", (step,))


def submit_labelled(model) -> None:
    """Submits a job for minions of one kind, a few tasks on each of them."""
    gang = model.draw.random() < 0.25
    lasting = (
        not gang
        and not has_enough_lasting(model)
        and model.draw.random() < 0.05
    )
    step = steps.Step(
        count=model.draw.randint(1, 4),
        need=resources.Resources(
            cpu_millis=model.draw.choice((980, 2_000, 4_000)), memory_mb=900
        ),
        estimate_ms=0 if lasting else 1_500,
        gang=gang,
        lasting=lasting,
        saves=model.draw.random() < 0.3,
        label=model.draw.choice(model.scenario.kinds),
        minion_limit=model.draw.choice((0, 1, 2)),
    )
    queue = model.draw.choice(("checks", "transfers", "annual", "open", "open"))
    submit(model, queue, (step,))


def submit_transfer(model) -> None:
    """Submits a job of many small tasks."""
    need = resources.Resources(
        cpu_millis=model.draw.choice((650, 980, 2_000)), memory_mb=900
    )
    first = steps.Step(
        count=model.draw.randint(3, 10),
        need=need,
        estimate_ms=2_200,
        saves=True,
    )
    later = steps.Step(count=2, need=need, estimate_ms=1_000, after=(0,))
    wanted = (first, later) if model.draw.random() < 0.3 else (first,)
    submit(model, "transfers", wanted)


def build_gang(model, after: tuple[int, ...] = ()) -> steps.Step:
    """Returns a step of large tasks that run together."""
    cpu_millis, memory_mb = model.draw.choice(
        ((5_100, 10_448), (5_550, 7_280), (3_300, 6_000), (7_600, 4_000))
    )
    return steps.Step(
        count=model.draw.choice((1, 2, 2, 3, 4)),
        need=resources.Resources(cpu_millis=cpu_millis, memory_mb=memory_mb),
        estimate_ms=model.draw.choice((1_500, 3_000)),
        gang=True,
        after=after,
        same_rack=model.draw.random() < 0.3,
    )


def submit_annual(model) -> None:
    """Submits a job of one or two gangs."""
    wanted = [build_gang(model)]
    if model.draw.random() < 0.4:
        wanted.append(build_gang(model, after=(0,)))
    submit(model, "annual", wanted)


def burst(model) -> None:
    """Submits several jobs of gangs at once."""
    for _ in range(BURST):
        submit_annual(model)


def has_enough_lasting(model) -> bool:
    """Returns whether no further job whose tasks last is to be submitted."""
    lasting = [job for job in model.jobs.values() if job.steps[0].lasting]
    return len(lasting) >= MAX_LASTING


def submit_lasting(model) -> None:
    """Submits a job whose tasks last, unless there are enough of them."""
    if has_enough_lasting(model):
        return
    step = steps.Step(
        count=model.draw.randint(1, 3),
        need=resources.Resources(cpu_millis=1_500, memory_mb=1_000),
        lasting=True,
        away_limit=1,
    )
    submit(model, model.draw.choice(("portal", "open")), (step,))
