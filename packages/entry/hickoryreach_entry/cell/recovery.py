"""Takes a cell over: reads what is kept, and asks every minion."""

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
from hickoryreach_entry.cell import clock
from hickoryreach_entry.cell import links
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

RETRY_S = 0.1
FIRST_POLLS_TIMEOUT_S = 0.6
LOOKS_POLL_S = 0.01
LAPSE_SLACK_MS = 1_500
RECALL_MS = 150


def recover_cell(owner) -> None:
    """Fills an owner's state; returns when it may place tasks."""
    owner.state.now_ms = clock.now_ms()
    owner.state.wall_ms = clock.wall_ms()
    if owner.configuration is not None:
        owner.apply(
            events.ConfigurationChanged(configuration=owner.configuration)
        )
    fleet = gevent.spawn(read_fleet, owner)
    known_minions = gevent.spawn(owner.known_minions.read)
    progress = gevent.spawn(
        read_until_done, owner.client, records.PROGRESS_PREFIX
    )
    jobs = read_until_done(owner.client, records.JOBS_PREFIX).unwrap()
    gevent.joinall([fleet, progress, known_minions])
    kept = progress.value.unwrap()
    owner.jobs_watcher.revision = jobs.revision
    deadline = time.monotonic() + FIRST_POLLS_TIMEOUT_S
    wait_for(lambda: has_asked_all(owner), deadline)
    unconfirmed_until_ms = get_uncertain_until_ms(owner)
    if owner.may_recall_advice:
        owner.state.earlier_advice_until_ms = clock.now_ms() + RECALL_MS
    recover_jobs(owner, jobs, kept, unconfirmed_until_ms)
    owner.fleet.watcher.start()
    if unconfirmed_until_ms:
        log.warning(
            "takeover_in_doubt",
            extra={
                "silent": ",".join(list_silent(owner)),
                "until_ms": unconfirmed_until_ms,
            },
        )
        gevent.spawn(end_uncertainty, owner, unconfirmed_until_ms)
    else:
        owner.known_minions.forget()


def get_uncertain_until_ms(owner) -> int:
    """Returns until when runs of an earlier owner may be unknown; 0 for none.

    A minion that does not answer may run what an earlier owner started, for
    as long as that owner told, or for a whole lease.
    """
    silent = list_silent(owner)
    if owner.epoch == 1 or not silent:
        return 0
    whole_ms = links.PREVIOUS_OWNER_LEASE_MS + LAPSE_SLACK_MS
    left_ms = max(owner.silent.get(name, whole_ms) for name in silent)
    return clock.now_ms() + left_ms if left_ms else 0


def read_fleet(owner) -> None:
    """Reads the registrations and makes a link to each minion."""
    read = read_until_done(owner.client, documents.MINIONS_PREFIX)
    owner.fleet.watcher.accept(read.unwrap())


def read_until_done(
    client: store.Store, prefix: str
) -> result.Result[store.Page, store.StoreFailure]:
    """Reads a prefix, again and again until the store answers."""
    while True:
        read = client.get_prefix(prefix)
        if isinstance(read, result.Success):
            return read
        log.warning(
            "takeover_read_failed",
            extra={"prefix": prefix, "reason": read.failure().reason},
        )
        gevent.sleep(RETRY_S)


def recover_jobs(
    owner,
    jobs: store.Page,
    kept: store.Page,
    unconfirmed_until_ms: int,
) -> None:
    """Applies what was kept of each job."""
    wanted = list(decode_jobs(owner, jobs))
    ends: dict[str, list[events.RecordedEnd]] = {}
    cancelled: set[str] = set()
    for item in kept.items:
        rows = records.decode_rows(item.data or b"")
        if isinstance(rows, result.Failure):
            log.error(
                "progress_unreadable",
                extra={"key": item.key, "reason": rows.failure()},
            )
            continue
        owner.retention.record_part(item.key, rows.unwrap())
        for row in rows.unwrap():
            if row.end is None:
                cancelled.add(row.job_id)
            else:
                ends.setdefault(row.job_id, []).append(row.end)
    log.info(
        "jobs_restored",
        extra={
            "jobs": len(jobs.items),
            "unfinished": len(wanted),
            "parts": len(kept.items),
            "revision": jobs.revision,
        },
    )
    for job in wanted:
        owner.published_states.record_job(job, quiet=True)
        event = events.JobRecovered(
            job=job,
            ends=tuple(ends.get(job.job_id, ())),
            cancelled=job.job_id in cancelled,
            unconfirmed_until_ms=unconfirmed_until_ms,
        )
        owner.execute(reducer.reduce(owner.state, event, clock.now_ms()))


def decode_jobs(owner, jobs: store.Page) -> Iterator[steps.Job]:
    """Yields the unfinished jobs; notes the others as they ended."""
    for item in jobs.items:
        kept = decode_item(item)
        if isinstance(kept, records.FinalRecord):
            job_id = item.key.removeprefix(records.JOBS_PREFIX)
            owner.record_final(job_id, kept)
            owner.retention.mark_stored(job_id)
        elif kept is not None:
            yield kept


def decode_item(item: store.Item) -> steps.Job | records.FinalRecord | None:
    """Returns the job that an item holds, or None if it can't be read."""
    decoded = records.decode_stored_job(item.data or b"")
    if isinstance(decoded, result.Failure):
        log.error(
            "job_unreadable",
            extra={"key": item.key, "reason": decoded.failure()},
        )
        return None
    return decoded.unwrap()


def has_asked_all(owner) -> bool:
    """Returns whether every minion has answered or failed to."""
    return all(
        link.poll_attempted.is_set() for link in owner.fleet.links.values()
    )


def has_heard_all(owner) -> bool:
    """Returns whether every minion has listed what runs on it."""
    return not list_silent(owner)


def list_silent(owner) -> list[str]:
    """Returns the minions that have not listed what runs on them.

    One whose registration is gone may still run what it was given.
    """
    return owner.known_minions.list_unlinked() + [
        name
        for name, link in owner.fleet.links.items()
        if not link.polled.is_set()
    ]


def wait_for(is_done: Callable[[], bool], deadline: float) -> None:
    """Waits until something holds, or until a deadline of the steady clock."""
    while not is_done() and time.monotonic() < deadline:
        gevent.sleep(LOOKS_POLL_S)


def end_uncertainty(owner, until_ms: int) -> None:
    """Ends the doubt once no run of an earlier owner can be unknown."""
    while not owner.stopped:
        if clock.now_ms() >= until_ms or has_heard_all(owner):
            owner.known_minions.forget()
            owner.emit(events.EarlierRunsConfirmed())
            return
        gevent.sleep(RETRY_S)
