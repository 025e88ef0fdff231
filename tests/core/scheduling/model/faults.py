"""Faults of the model, drawn at random."""

from hickoryreach.scheduling import events
from hickoryreach.structure import resources
from hickoryreach.structure import steps


def submit(model) -> None:
    """Stores a job; the owner learns of it soon."""
    workspace = model.draw.choice(sorted(model.limits.choices_cpu))
    gang = model.draw.random() < 0.2
    job = steps.Job(
        job_id=f"{next(model.job_numbers):016x}",
        workspace=workspace,
        queue=model.limits.build_configuration().queues[
            model.draw.choice(("runs", "runs", "checks"))
        ],
        payload="",
        steps=(
            steps.Step(
                count=model.draw.randint(1, 5),
                need=resources.Resources(
                    cpu_millis=model.draw.choice((500, 1_000, 2_500))
                ),
                estimate_ms=1_000,
                gang=gang,
                saves=not gang and model.draw.random() < 0.5,
            ),
        ),
        accepted_ms=model.now_ms,
    )
    model.jobs[job.job_id] = job
    accepted = events.JobAccepted(job=job)
    delay_ms = model.draw.choice((0, 0, 100, 600))
    model.later(delay_ms, lambda: model.apply(accepted))


def cancel_jobs(model) -> None:
    """Cancels half of the jobs that the owner knows."""
    for job_id in list(model.cell.jobs):
        if model.draw.random() < 0.5:
            model.apply(events.JobCancelled(job_id=job_id))


def change_limit(model) -> None:
    """Puts another limit of one workspace in force."""
    workspace = model.draw.choice(sorted(model.limits.choices_cpu))
    amount = model.draw.choice(model.limits.choices_cpu[workspace])
    model.limits.change(workspace, amount, model.now_ms)
    model.later(model.draw.choice((0, 50, 300)), model.configure)


def cut_minions(model) -> None:
    """Cuts some minions off, which run on."""
    for minion in model.draw.sample(
        list(model.minions.values()), model.draw.randint(1, 3)
    ):
        minion.reachable_ms = model.now_ms + model.draw.randint(200, 7_000)


def restart_minion(model) -> None:
    """Lets a minion crash and start again under its id."""
    model.draw.choice(list(model.minions.values())).restart()


FAULTS = (
    (0.5, submit),
    (0.5, submit),
    (0.03, cancel_jobs),
    (0.03, change_limit),
    (0.04, cut_minions),
    (0.005, restart_minion),
    (0.015, lambda model: model.take_over()),
)


def strike(model) -> None:
    """Submits jobs, and lets things fail, each with its probability."""
    for probability, fault in FAULTS:
        if model.draw.random() < probability:
            fault(model)
