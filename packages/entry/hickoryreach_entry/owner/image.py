"""What a shard's journal tells, kept up to date record by record.

The image knows in which segment each job begins. The oldest segments are
freed by writing what they tell of live jobs into the newest one.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from hickoryreach.decisions import registry
from hickoryreach.structure import jobs
from hickoryreach_entry.owner import records

RECORD_BYTES = 500


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """What the journal tells of one job.

    Attributes:
        job: The job, once its acceptance was read; None when finished.
        done: Indexes that succeeded.
        failed: Indexes that ended otherwise.
        intents: Attempts about to be sent, by index.
        finished: Its final record, if any.
        base: Number of the oldest segment that tells of it.
    """

    job: jobs.Job | None = None
    done: set[int] = dataclasses.field(default_factory=set)
    failed: set[int] = dataclasses.field(default_factory=set)
    intents: dict[int, records.IntentRecorded] = dataclasses.field(
        default_factory=dict
    )
    finished: records.JobFinished | None = None
    base: int = 0

    def estimate_bytes(self) -> int:
        """Returns the rough size of the record that tells all of it."""
        if self.finished is not None:
            return RECORD_BYTES + len(self.finished.answer)
        if self.job is None:
            return 0
        return RECORD_BYTES + sum(len(text) for text in self.job.arguments)


class Image:
    """The state that replaying the journal gives.

    Attributes:
        jobs: Progress of every job, by id.
        by_base: Ids of the jobs that begin in each segment.
        segments: Size of each segment that stands, in bytes, by number, the
            oldest first.
        total_bytes: Size of all segments that stand.
        live_bytes: Rough size of what they tell that is still needed.
        worker_ids: The journaled worker set.
        workers_base: Segment that tells the worker set.
        owner: Last owner, or empty once it released the shard.
        term: Highest term.
        remembered: Finished jobs by id, the oldest first.
    """

    def __init__(self) -> None:
        """Creates the image of an empty journal."""
        self.jobs: dict[str, Progress] = {}
        self.by_base: dict[int, dict[str, None]] = {}
        self.segments: dict[int, int] = {}
        self.total_bytes = 0
        self.live_bytes = 0
        self.worker_ids: tuple[str, ...] = ()
        self.workers_base = 0
        self.owner = ""
        self.term = 0
        self.remembered: dict[str, None] = {}

    def take_segment(
        self, sequence: int, segment: records.Segment, size: int
    ) -> None:
        """Takes in one segment that is kept."""
        self.segments[sequence] = size
        self.total_bytes += size
        self.term = max(self.term, segment.term)
        for record in segment.records:
            replay.find(type(record))(self, record, sequence)

    def open_job(self, job_id: str, sequence: int) -> Progress:
        """Returns the progress of a job, begun here if it is new."""
        progress = self.jobs.get(job_id)
        if progress is None:
            progress = Progress(base=sequence)
            self.jobs[job_id] = progress
            self.by_base.setdefault(sequence, {})[job_id] = None
        return progress

    def rebase(self, job_id: str, sequence: int) -> None:
        """Notes that a later segment tells all of a job."""
        progress = self.jobs[job_id]
        self.by_base.get(progress.base, {}).pop(job_id, None)
        progress.base = sequence
        self.by_base.setdefault(sequence, {})[job_id] = None

    def forget(self, job_id: str) -> None:
        """Forgets a job."""
        progress = self.jobs.pop(job_id, None)
        self.remembered.pop(job_id, None)
        if progress is not None:
            self.live_bytes -= progress.estimate_bytes()
            self.by_base.get(progress.base, {}).pop(job_id, None)

    def forget_before(self, finished_ms: int) -> list[str]:
        """Forgets the jobs that finished earlier; returns their ids."""
        old = []
        for job_id in self.remembered:
            finished = self.jobs[job_id].finished
            if finished.finished_ms >= finished_ms:
                break
            old.append(job_id)
        for job_id in old:
            self.forget(job_id)
        return old

    def trim(self, limit: int) -> list[str]:
        """Forgets idempotent finished jobs above a count; returns their ids.

        A non-idempotent one is kept for its whole time, since a repeat of
        its request id must not run again.
        """
        surplus = len(self.remembered) - limit
        if surplus <= 0:
            return []
        idempotent = (
            job_id
            for job_id in self.remembered
            if self.jobs[job_id].finished.idempotent
        )
        old = [job_id for job_id, _ in zip(idempotent, range(surplus))]  # noqa: B905
        for job_id in old:
            self.forget(job_id)
        return old

    def surplus_bytes(self, floor: int) -> int:
        """Returns the bytes of segments above what is worth keeping.

        Half of what stands may be of no use any more, so that each record is
        written again about once.
        """
        return self.total_bytes - max(floor, 2 * self.live_bytes)

    def keep_oldest(
        self, surplus: int, bytes_limit: int
    ) -> Iterator[records.Record]:
        """Yields records that free the oldest segments.

        Args:
            surplus: Bytes of segments to free.
            bytes_limit: Rough bytes of records to yield.
        """
        left = bytes_limit
        for sequence, size in tuple(self.segments.items())[:-1]:
            if surplus <= 0:
                return
            surplus -= size
            if self.worker_ids and self.workers_base == sequence:
                yield records.WorkersChanged(worker_ids=self.worker_ids)
            for job_id in tuple(self.by_base.get(sequence, ())):
                if left <= 0:
                    return
                kept = keep(self.jobs[job_id])
                left -= len(records.encode(kept))
                yield kept

    def list_free(self, limit: int) -> list[int]:
        """Returns oldest segments that tell nothing any more."""
        free = []
        newest = next(reversed(self.segments), None)
        for sequence in self.segments:
            needed = (
                sequence == newest
                or self.by_base.get(sequence)
                or (self.worker_ids and self.workers_base == sequence)
            )
            if needed or len(free) == limit:
                break
            free.append(sequence)
        return free

    def drop_segments(self, sequences: Iterable[int]) -> None:
        """Notes that segments were deleted."""
        for sequence in sequences:
            self.total_bytes -= self.segments.pop(sequence, 0)
            self.by_base.pop(sequence, None)


replay: registry.Registry = registry.Registry(title="journal records")


@replay.register(records.OwnerTook)
def replay_took(image: Image, record: records.OwnerTook, sequence: int) -> None:
    """Notes an owner."""
    image.owner = record.owner
    image.term = max(image.term, record.term)


@replay.register(records.OwnerProved)
def replay_proved(
    image: Image, record: records.OwnerProved, sequence: int
) -> None:
    """Tells nothing that must last."""


@replay.register(records.OwnerReleased)
def replay_released(
    image: Image, record: records.OwnerReleased, sequence: int
) -> None:
    """Notes that the shard was handed over."""
    image.owner = ""


@replay.register(records.WorkersChanged)
def replay_workers(
    image: Image, record: records.WorkersChanged, sequence: int
) -> None:
    """Notes the worker set."""
    image.worker_ids = record.worker_ids
    image.workers_base = sequence


@replay.register(records.JobAccepted)
def replay_accepted(
    image: Image, record: records.JobAccepted, sequence: int
) -> None:
    """Notes a new job."""
    progress = image.open_job(record.job.job_id, sequence)
    progress.job = record.job
    image.live_bytes += progress.estimate_bytes()


@replay.register(records.IntentRecorded)
def replay_intent(
    image: Image, record: records.IntentRecorded, sequence: int
) -> None:
    """Notes an attempt about to be sent."""
    progress = image.jobs.get(record.key.job_id)
    if progress is not None:
        progress.intents[record.key.index] = record


@replay.register(records.IntentVoided)
def replay_voided(
    image: Image, record: records.IntentVoided, sequence: int
) -> None:
    """Notes that an attempt was not carried out."""
    progress = image.jobs.get(record.key.job_id)
    if progress is None:
        return
    intent = progress.intents.get(record.key.index)
    if intent is not None and intent.key == record.key:
        del progress.intents[record.key.index]


@replay.register(records.TaskSettled)
def replay_settled(
    image: Image, record: records.TaskSettled, sequence: int
) -> None:
    """Notes the final result of one index."""
    progress = image.jobs.get(record.key.job_id)
    if progress is None:
        return
    index = record.key.index
    progress.intents.pop(index, None)
    if record.result is jobs.TaskResult.SUCCEEDED:
        progress.done.add(index)
    else:
        progress.failed.add(index)


@replay.register(records.JobFinished)
def replay_finished(
    image: Image, record: records.JobFinished, sequence: int
) -> None:
    """Notes the end of a job; its progress is not needed any more."""
    progress = image.open_job(record.job_id, sequence)
    image.live_bytes -= progress.estimate_bytes()
    progress.finished = record
    progress.job = None
    image.live_bytes += progress.estimate_bytes()
    progress.done.clear()
    progress.failed.clear()
    progress.intents.clear()
    image.remembered[record.job_id] = None
    image.rebase(record.job_id, sequence)


@replay.register(records.JobKept)
def replay_kept(image: Image, record: records.JobKept, sequence: int) -> None:
    """Replaces the progress of a job."""
    job_id = record.job.job_id if record.job else record.finished.job_id
    progress = image.open_job(job_id, sequence)
    image.live_bytes -= progress.estimate_bytes()
    progress.job = record.job
    progress.done = set(spread(record.done))
    progress.failed = set(spread(record.failed))
    progress.intents = {intent.key.index: intent for intent in record.intents}
    progress.finished = record.finished
    image.live_bytes += progress.estimate_bytes()
    if record.finished is not None:
        image.remembered[job_id] = None
    image.rebase(job_id, sequence)


def keep(progress: Progress) -> records.JobKept:
    """Returns the record that tells all of a job."""
    return records.JobKept(
        job=progress.job,
        done=tuple(group(progress.done)),
        failed=tuple(group(progress.failed)),
        intents=tuple(progress.intents.values()),
        finished=progress.finished,
    )


def group(indexes: Iterable[int]) -> Iterator[tuple[int, int]]:
    """Yields ranges, from first to past the last, that cover indexes."""
    first = last = None
    for index in sorted(indexes):
        if first is None:
            first = last = index
        elif index == last + 1:
            last = index
        else:
            yield first, last + 1
            first = last = index
    if first is not None:
        yield first, last + 1


def spread(ranges: Iterable[tuple[int, int]]) -> Iterator[int]:
    """Yields each index in ranges."""
    for first, end in ranges:
        yield from range(first, end)
