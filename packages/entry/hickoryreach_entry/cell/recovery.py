"""Recovery of a cell's state by a new owner, at a takeover."""

from collections.abc import Callable
from collections.abc import Iterator
import logging
import time

import gevent
from returns import result

from hickoryreach.platform import documents
from hickoryreach.platform import store
from hickoryreach.scheduling import events
from hickoryreach.scheduling import reducer
from hickoryreach.structure import steps
from hickoryreach_entry import clock
from hickoryreach_entry.cell import links
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import store_reads

log = logging.getLogger(__name__)

RETRY_S = 0.1
FIRST_POLLS_TIMEOUT_S = 0.6
CHECK_INTERVAL_S = 0.01
LEASE_SLACK_MS = 1_500
EARLIER_ADVICE_WAIT_MS = 150


def recover_cell(owner) -> None:
    """Recovers the state of the cell for a new owner.

    Reads the stored jobs, their progress and the known minions, polls every
    minion, and returns once the owner may place tasks.

    Args:
        owner: The new owner.
    """
    owner.state.now_ms = clock.now_ms()
    owner.state.wall_ms = owner.get_wall_ms()
    if owner.configuration is not None:
        owner.apply(
            events.ConfigurationChanged(configuration=owner.configuration)
        )
    progress = owner.scope.spawn(
        store_reads.read_prefix, owner.client, records.PROGRESS_PREFIX
    )
    others = [
        owner.scope.spawn(read_configuration, owner),
        owner.scope.spawn(read_fleet, owner),
        owner.scope.spawn(owner.known_minions.read),
        owner.scope.spawn(owner.takeover_history.read),
    ]
    jobs = store_reads.read_prefix(owner.client, records.JOBS_PREFIX)
    owner.scope.join([progress, *others])
    kept = progress.value
    owner.stored_jobs.start_after(jobs.revision)
    deadline = time.monotonic() + FIRST_POLLS_TIMEOUT_S
    wait_until(lambda: has_attempted_all_polls(owner), deadline)
    unconfirmed_until_ms = get_uncertain_until_ms(owner)
    if owner.epoch > 1:
        owner.takeover_history.record(list_silent(owner), owner.get_wall_ms())
    if owner.may_recall_advice:
        owner.state.earlier_advice_until_ms = (
            clock.now_ms() + EARLIER_ADVICE_WAIT_MS
        )
    recover_jobs(owner, jobs, kept, unconfirmed=bool(unconfirmed_until_ms))
    if unconfirmed_until_ms:
        owner.apply(describe_unconfirmed(owner))
    owner.fleet.watcher.start()
    if unconfirmed_until_ms:
        log.warning(
            "takeover_in_doubt",
            extra={
                "silent": ",".join(list_silent(owner)),
                "owing_ends": ",".join(list_owing_ends(owner)),
                "until_ms": unconfirmed_until_ms,
            },
        )
        owner.scope.spawn(end_uncertainty, owner, unconfirmed_until_ms)
    else:
        owner.known_minions.drop_earlier()


def get_uncertain_until_ms(owner) -> int:
    """Returns until when runs of an earlier owner may be unconfirmed, in ms.

    Returns:
        The end of that time in ms, or 0 if every run is confirmed.
    """
    if owner.epoch == 1 or has_polled_all(owner):
        return 0
    unconfirmed = describe_unconfirmed(owner)
    return max([unconfirmed.elsewhere_until_ms, *unconfirmed.until_ms.values()])


def describe_unconfirmed(owner) -> events.EarlierRunsUnconfirmed:
    """Returns which minions may run tasks of earlier owners unseen.

    A minion that did not answer may still run what an earlier owner started:
    for as long as that owner reported, or else for a whole lease. So may one
    that the record of the known minions doesn't name because it is unreadable.
    One that has not listed all of its ends may hide some for no longer than a
    lease unless it goes on to answer.
    """
    now_ms = clock.now_ms()
    full_lease_ms = links.PREVIOUS_OWNER_LEASE_MS + LEASE_SLACK_MS
    left_ms = {
        name: owner.silent.get(name, full_lease_ms)
        for name in list_silent(owner)
    }
    left_ms |= dict.fromkeys(list_owing_ends(owner), full_lease_ms)
    complete = owner.known_minions.complete
    return events.EarlierRunsUnconfirmed(
        until_ms={
            name: now_ms + each for name, each in left_ms.items() if each
        },
        elsewhere_until_ms=0 if complete else now_ms + full_lease_ms,
    )


def read_fleet(owner) -> None:
    """Reads the registrations and creates a link to each minion."""
    page = store_reads.read_prefix(owner.client, documents.MINIONS_PREFIX)
    owner.fleet.watcher.accept(page)


def read_configuration(owner) -> None:
    """Reads the configuration, retrying until it works.

    The watch of an entry that was cut off from the store may lag behind.
    """
    while not owner.configuration_source.refresh():
        gevent.sleep(RETRY_S)


def look_up_job(owner, job_id: str) -> None:
    """Looks up whether a job that a minion lists is in the store.

    It is tried until it works, as nothing else ends the wait of the job's runs
    and ends.
    """
    while not owner.stopped:
        try:
            found = find_job(owner, job_id)
        except Exception:  # the next try may read something else
            log.exception("job_look_up_broken", extra={"job": job_id})
            found = None
        if found is not None:
            owner.emit(found)
            return
        gevent.sleep(RETRY_S)


def find_job(
    owner, job_id: str
) -> events.JobAccepted | events.JobNotFound | None:
    """Returns what the store tells of a job, or None if it doesn't answer."""
    read = owner.client.get(records.build_job_key(job_id))
    if isinstance(read, result.Failure):
        return None
    item = read.unwrap()
    job = decode_item(item) if item.data else None
    found = isinstance(job, steps.Job)
    log.info(
        "job_sought",
        extra={"job": job_id, "found": found, "revision": item.revision},
    )
    if found:
        return events.JobAccepted(job=job)
    return events.JobNotFound(job_id=job_id)


def recover_jobs(
    owner,
    jobs: store.Page,
    kept: store.Page,
    *,
    unconfirmed: bool,
) -> None:
    """Applies the stored jobs and their progress to the owner's state.

    Args:
        owner: The new owner.
        jobs: The stored jobs.
        kept: The stored parts of the progress.
        unconfirmed: Whether runs of an earlier owner may be unconfirmed.
    """
    unfinished = list(decode_jobs(owner, jobs))
    ends: dict[str, list[events.RecordedEnd]] = {}
    cancelled: set[str] = set()
    for row in decode_progress(owner, kept):
        if row.end is None:
            cancelled.add(row.job_id)
        else:
            ends.setdefault(row.job_id, []).append(row.end)
    log.info(
        "jobs_restored",
        extra={
            "jobs": len(jobs.items),
            "unfinished": len(unfinished),
            "parts": len(kept.items),
            "revision": jobs.revision,
        },
    )
    for job in unfinished:
        owner.published_states.record_job(job, quiet=True)
        event = events.JobRecovered(
            job=job,
            ends=tuple(ends.get(job.job_id, ())),
            cancelled=job.job_id in cancelled,
            unconfirmed=unconfirmed,
            hiding_epochs=owner.takeover_history.list_hiding(job.accepted_ms),
        )
        owner.execute(reducer.reduce(owner.state, event, clock.now_ms()))


def decode_progress(owner, kept: store.Page) -> Iterator[records.Row]:
    """Yields the readable rows of the progress.

    A part with an unreadable row is not recorded for removal.
    """
    for item in kept.items:
        decoded = records.decode_rows(item.data or b"")
        rows = [row.unwrap() for row in decoded if is_readable(item, row)]
        if len(rows) == len(decoded):
            owner.retention.record_part(item.key, rows)
        yield from rows


def is_readable(item: store.Item, row: result.Result[records.Row, str]) -> bool:
    """Returns whether a row of the progress is readable, and logs if not."""
    if isinstance(row, result.Failure):
        log.error(
            "progress_unreadable",
            extra={
                "key": item.key,
                "revision": item.revision,
                "reason": row.failure(),
            },
        )
        return False
    return True


def decode_jobs(owner, jobs: store.Page) -> Iterator[steps.Job]:
    """Yields the unfinished jobs; records the final state of the others."""
    for item in jobs.items:
        kept = decode_item(item)
        job_id = item.key.removeprefix(records.JOBS_PREFIX)
        if isinstance(kept, records.CancelledId):
            owner.cancelled_ids.record(job_id, item.revision)
        elif isinstance(kept, records.FinalRecord):
            owner.record_final(job_id, kept)
            owner.retention.mark_stored(job_id)
        elif kept is not None:
            yield kept


def decode_item(item: store.Item) -> records.StoredRecord | None:
    """Returns what an item holds for a job, or None if it is invalid."""
    decoded = records.decode_stored_job(item.data or b"").bind(
        lambda kept: check_key(item, kept)
    )
    if isinstance(decoded, result.Failure):
        log.error(
            "job_unreadable",
            extra={"key": item.key, "reason": decoded.failure()},
        )
        return None
    return decoded.unwrap()


def check_key(
    item: store.Item, kept: records.StoredRecord
) -> result.Result[records.StoredRecord, str]:
    """Returns a record, or a failure if it is a job of another key."""
    if isinstance(kept, steps.Job) and item.key != records.build_job_key(
        kept.job_id
    ):
        return result.Failure("the job has another id than its key")
    return result.Success(kept)


def has_attempted_all_polls(owner) -> bool:
    """Returns whether each minion's first poll was answered or has failed."""
    return all(
        link.poll_attempted.is_set() for link in owner.fleet.links.values()
    )


def has_polled_all(owner) -> bool:
    """Returns whether every minion that may run tasks has listed them all."""
    return not (
        list_silent(owner)
        or list_owing_ends(owner)
        or not owner.known_minions.complete
    )


def list_silent(owner) -> list[str]:
    """Returns ids of known minions that have not answered a poll yet.

    Includes minions whose registration is gone, as they may still run tasks.
    """
    return owner.known_minions.list_unlinked() + [
        name
        for name, link in owner.fleet.links.items()
        if not (link.polled.is_set() or link.owes_ends)
    ]


def list_owing_ends(owner) -> list[str]:
    """Returns ids of minions that answer and have never listed all ends."""
    return [name for name, link in owner.fleet.links.items() if link.owes_ends]


def wait_until(is_done: Callable[[], bool], deadline: float) -> None:
    """Waits until a condition holds or the monotonic clock is past a deadline.

    Args:
        is_done: Returns whether the condition holds.
        deadline: Latest end of the wait, in s.
    """
    while not is_done() and time.monotonic() < deadline:
        gevent.sleep(CHECK_INTERVAL_S)


def end_uncertainty(owner, until_ms: int) -> None:
    """Emits an event once no run of an earlier owner can be unconfirmed.

    Args:
        owner: The new owner.
        until_ms: When the last such run has ended for certain, in ms, but for
            those whose ends a minion that answers has yet to list.
    """
    while not owner.stopped:
        is_over = clock.now_ms() >= until_ms and not list_owing_ends(owner)
        if is_over or has_polled_all(owner):
            owner.known_minions.drop_earlier()
            owner.emit(events.EarlierRunsConfirmed())
            return
        gevent.sleep(RETRY_S)
