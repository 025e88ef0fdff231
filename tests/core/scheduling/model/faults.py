"""Faults of the model, drawn at random."""

from __future__ import annotations

from hickoryreach.scheduling import events
from tests.core.scheduling.model import workers

REGISTRATION_MS = (1_500, 3_000)
RETURN_MS = (1_000, 4_000)
DOOM_MS = (100, 900)
LEAVE_MS = (2_500, 6_000)
OUTAGE_MS = (1_400, 4_000)
REGISTERED_AFTER_MS = (0, 0, 200, 1_500)
UNREACHABLE_MS = (0, 0, 300, 2_000)


def cancel_jobs(model) -> None:
    """Cancels half of the jobs that the owner knows."""
    for job_id in list(model.cell.jobs):
        if model.draw.random() < model.scenario.cancelled_share:
            model.apply(events.JobCancelled(job_id=job_id))


def change_limit(model) -> None:
    """Puts another limit of one workspace in force."""
    workspace = model.draw.choice(sorted(model.limits.choices_cpu))
    amount = model.draw.choice(model.limits.choices_cpu[workspace])
    model.limits.change(workspace, amount, model.now_ms)
    model.later(model.draw.choice((0, 50, 300)), model.configure)


def cut_minions(model) -> None:
    """Cuts some minions off, which run on."""
    present = list_up(model)
    for minion in model.draw.sample(
        present, min(len(present), model.draw.randint(1, 3))
    ):
        minion.reachable_ms = model.now_ms + model.draw.randint(200, 7_000)


def restart_minion(model) -> None:
    """Lets a minion crash and start again under its id."""
    present = list_up(model)
    if present:
        minion = model.draw.choice(present)
        minion.restart()
        register_life(model, minion)


def change_kind(model) -> None:
    """Lets a minion crash and return under its id, of any kind.

    Its outage is long enough for a poll to fail. The owner may poll the new
    life before it has read its registration, or read that first.
    """
    present = [each for each in list_up(model) if not each.draining]
    if not present:
        return
    minion = model.draw.choice(present)
    minion.lose_power()

    def come_back() -> None:
        minion.restart()
        kind = model.draw.choice(model.scenario.kinds)
        model.kind_changes += kind != minion.kind
        minion.kind = kind
        minion.reachable_ms = model.now_ms + model.draw.choice(UNREACHABLE_MS)
        model.later(
            model.draw.choice(REGISTERED_AFTER_MS),
            lambda: register_life(model, minion),
            owned=False,
        )

    model.later(model.draw.randint(*OUTAGE_MS), come_back, owned=False)


def register_life(model, minion: workers.Minion) -> None:
    """Lets a minion register its present life, and the owner read that."""
    minion.write_registration()
    read_registration(model, minion)


def crash_minion(model) -> None:
    """Lets a minion lose power; its machine comes back under another id."""
    present = list_up(model)
    if present:
        lose_power(model, model.draw.choice(present))


def crash_rack(model) -> None:
    """Lets all minions of a rack lose power at the same time."""
    present = list_up(model)
    if not present:
        return
    rack = model.draw.choice(present).rack
    return_ms = model.draw.randint(*RETURN_MS)
    for minion in present:
        if minion.rack == rack:
            lose_power(model, minion, return_ms)


def drain_minion(model) -> None:
    """Lets a minion announce that it leaves, and leave."""
    present = [each for each in list_up(model) if not each.draining]
    if not present:
        return
    minion = model.draw.choice(present)
    left_ms = model.draw.randint(*LEAVE_MS)
    minion.draining = True
    minion.leaves_ms = model.now_ms + left_ms
    model.later(100, lambda: read_registration(model, minion), owned=False)
    model.later(left_ms + 200, lambda: lose_power(model, minion), owned=False)


def kill_entry(model) -> None:
    """Kills an entry that makes calls for advice."""
    name = model.draw.choice(sorted(model.advice.entries)[1:])
    entry = model.advice.entries[name]
    entry.down_until_ms = model.now_ms + model.draw.randint(1_000, 4_000)


def disturb_advice(model) -> None:
    """Lets calls for advice fail for a while."""
    model.advice.failure_share = 0.5

    def recover() -> None:
        model.advice.failure_share = 0.0

    model.later(model.draw.randint(500, 3_000), recover, owned=False)


def take_over(model) -> None:
    """Replaces the owner."""
    model.take_over()


def lose_owner(model) -> None:
    """Ends the owner; another one takes over after a while."""
    model.lose_owner(model.now_ms + model.draw.randint(200, 3_000))


def list_up(model) -> list[workers.Minion]:
    """Returns the minions with power."""
    return [each for each in model.minions.values() if each.up]


def lose_power(
    model, minion: workers.Minion, return_ms: int | None = None
) -> None:
    """Ends a minion; its machine comes back later as another minion."""
    if not minion.up:
        return
    minion.lose_power()
    gone_ms = 0 if minion.draining else model.draw.randint(*REGISTRATION_MS)
    model.later(gone_ms, lambda: remove(model, minion), owned=False)
    if return_ms is None:
        return_ms = model.draw.randint(*RETURN_MS)
    model.later(return_ms, lambda: replace(model, minion), owned=False)


def remove(model, minion: workers.Minion) -> None:
    """Removes a registration."""
    minion.registered = False
    model.owner.unregister(minion)


def replace(model, minion: workers.Minion) -> None:
    """Lets a machine come back under another id."""
    newcomer = model.add_minion(minion.rack)
    read_registration(model, newcomer)


def read_registration(model, minion: workers.Minion) -> None:
    """Lets the owner read a registration."""
    if minion.registered:
        model.owner.register(minion)


def doom(model, minion: workers.Minion, run: workers.Run) -> None:
    """Lets a run crash its minion soon, if its job is of that kind."""
    chance = model.crash_chances.get(run.key.job_id, 0.0)
    if model.calm or model.draw.random() >= chance:
        return

    def crash() -> None:
        if not model.calm and minion.runs.get(run.key) is run:
            lose_power(model, minion)

    model.later(model.draw.randint(*DOOM_MS), crash, owned=False)


def strike(model) -> None:
    """Submits jobs, and lets things fail, each with its probability."""
    for probability, fault in model.scenario.faults:
        if model.draw.random() < probability:
            fault(model)


def calm_down(model) -> None:
    """Ends all trouble: cuts, failing calls and entries that are down."""
    model.calm = True
    for workspace, choices in model.limits.choices_cpu.items():
        model.limits.change(workspace, max(choices), model.now_ms)
    model.configure()
    model.advice.failure_share = 0.0
    for entry in model.advice.entries.values():
        entry.down_until_ms = min(entry.down_until_ms, model.now_ms)
    for minion in model.minions.values():
        minion.reachable_ms = min(minion.reachable_ms, model.now_ms)
        for run in minion.runs.values():
            if run.stalls:
                run.stalls = False
                run.ends_ms = max(run.ends_ms, model.now_ms + 1_000)
