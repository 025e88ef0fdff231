"""Sizes and run times learned from reported use."""

from collections.abc import Collection
import statistics

from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

MARGIN_CAP_PERCENT = 150
CPU_STEP_MILLIS = 50
MEMORY_STEP_MB = 50
POOL_FACTOR = 2


def get_profile(shard: state.ShardState, job: jobs.Job) -> records.Profile:
    """Returns what is known about a job's command in its workspace."""
    key = (job.workspace, job.command)
    profile = shard.profiles.get(key)
    if profile is None:
        profile = shard.profiles[key] = records.Profile()
        if job.command:
            _join_pool(shard, profile, job.command)
    return profile


def _join_pool(
    shard: state.ShardState, profile: records.Profile, command: str
) -> None:
    pool = shard.profiles.get(("", command))
    if pool is None:
        pool = shard.profiles[("", command)] = records.Profile()
    pool.members.append(profile)
    profile.pool = pool


def observe(
    profile: records.Profile, used: resources.Resources, run_ms: int
) -> None:
    """Takes in the peak use and run time of one attempt that ended."""
    if used.cpu_millis or used.memory_mb:
        profile.cpu_millis.append(used.cpu_millis)
        profile.memory_mb.append(used.memory_mb)
    if run_ms > 0:
        profile.run_ms.append(run_ms)


def learn(
    shard: state.ShardState,
    job: jobs.Job,
    used: resources.Resources,
    run_ms: int,
) -> None:
    """Takes in one attempt that ended and resizes what waits alike."""
    profile = get_profile(shard, job)
    if _take(profile, used, run_ms):
        shard.resized.append(profile)
    pool = profile.pool
    if pool is not None and _take(pool, used, run_ms):
        shard.resized.extend(
            member
            for member in pool.members
            if len(member.memory_mb) < shard.settings.learn_after
        )


def _take(
    profile: records.Profile, used: resources.Resources, run_ms: int
) -> bool:
    before = _get_peaks(profile)
    observe(profile, used, run_ms)
    return _get_peaks(profile) != before


def note_overrun(
    shard: state.ShardState, job: jobs.Job, used: resources.Resources
) -> None:
    """Takes in use above what was given, while attempts still run.

    Reports lag, so this is known well before the first attempts end.
    """
    profile = get_profile(shard, job)
    seen = resources.Resources(
        cpu_millis=used.cpu_millis, memory_mb=used.memory_mb
    )
    if not seen.fits_in(profile.overrun):
        profile.overrun = profile.overrun.elementwise_max(seen)
        shard.resized.append(profile)


def _get_peaks(profile: records.Profile) -> tuple[int, ...]:
    if not profile.memory_mb:
        return ()
    return (
        min(len(profile.memory_mb), profile.memory_mb.maxlen // 2),
        _estimate(profile.cpu_millis, CPU_STEP_MILLIS),
        _estimate(profile.memory_mb, MEMORY_STEP_MB),
    )


def correct(
    shard: state.ShardState,
    job: jobs.Job,
    used: resources.Resources,
    held: resources.Resources,
) -> resources.Resources:
    """Returns a peak use; at its cap, no less than another attempt's use."""
    if used.cpu_millis < held.cpu_millis:
        return used
    return used.elementwise_max(
        resources.Resources(
            cpu_millis=get_profile(shard, job).overrun.cpu_millis
        )
    )


def get_size(
    shard: state.ShardState,
    workspace: records.WorkspaceRecord,
    profile: records.Profile,
    job: jobs.Job,
) -> resources.Resources:
    """Returns what one task of a job is given.

    The highest of the last reported peaks, with a margin that grows with
    their spread, in place of the declared size, once enough were reported
    and where a worker and the workspace's limit can hold it.
    """
    if job.kind is jobs.Kind.REQUEST or not shard.settings.learning:
        return job.need
    source = _find_source(shard, profile)
    if source is not None:
        learned = resources.Resources(
            cpu_millis=_estimate(source.cpu_millis, CPU_STEP_MILLIS),
            memory_mb=_estimate(source.memory_mb, MEMORY_STEP_MB),
            accelerators=job.need.accelerators,
            slots=job.need.slots,
        )
    elif profile.overrun != resources.ZERO:
        learned = job.need.elementwise_max(profile.overrun)
    else:
        return job.need
    limit = workspace.entitlement.limit
    if limit is not None and not learned.times(_get_width(job)).fits_in(limit):
        return job.need
    if not fits_a_worker(shard, learned, job.service):
        return job.need
    return learned


def _find_source(
    shard: state.ShardState, profile: records.Profile
) -> records.Profile | None:
    """Returns the profile to learn from: its own, else all workspaces'."""
    enough = shard.settings.learn_after
    if len(profile.memory_mb) >= enough:
        return profile
    pool = profile.pool
    if pool is not None and len(pool.memory_mb) >= POOL_FACTOR * enough:
        return pool
    return None


def _get_width(job: jobs.Job) -> int:
    return job.tasks if job.kind is jobs.Kind.GANG else 1


def _estimate(peaks: Collection[int], step: int) -> int:
    """Returns the highest peak and half the spread, rounded up to a step."""
    highest = max(peaks)
    margin = (highest - min(peaks)) // 2
    wanted = min(highest + margin, highest * MARGIN_CAP_PERCENT // 100)
    return -(-wanted // step) * step


def get_run_ms(profile: records.Profile, job: jobs.Job) -> int:
    """Returns the run time to expect of one task, in ms; 0 when unknown."""
    if len(profile.run_ms) >= 3:
        return int(statistics.median(profile.run_ms))
    return job.run_time_ms


def fits_a_worker(
    shard: state.ShardState, need: resources.Resources, service: str
) -> bool:
    """Returns whether some worker is large enough when empty."""
    return any(
        need.fits_in(size) and (not service or service == offered)
        for size, offered in shard.capacities
    )
