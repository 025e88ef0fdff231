"""What ran where in a demo, by the workers' own records."""

import collections
from collections.abc import Iterator
import time

from hickoryreach.runbooks import steps
from hickoryreach_entry.api import job_ids
from standins import cell
from standins import scenarios

POLL_S = 0.1
POLL_TIMEOUT_S = 12.0
SHARDS = 1
BEGINNINGS = ("start", "request")
ENDINGS = ("end", "answer")


def check(whole: cell.Cell, work: tuple[scenarios.Work, ...]) -> Iterator[str]:
    """Prints what ran where by the workers' records; yields the faults."""
    wait_for_ends(whole, work)
    places = read_places(whole, BEGINNINGS)
    ends = read_places(whole, ENDINGS)
    print(f"{'work':<22}{'kind':<9}{'ran':>4}  where")
    for row in work:
        found = places.pop(get_job_id(row), collections.Counter())
        where = ", ".join(
            f"{name} x{count}" if count > 1 else name
            for name, count in sorted(found.items())
        )
        name = f"{row.system}/{row.reference}"
        print(f"{name:<22}{row.kind:<9}{found.total():>4}  {where}")
        if found.total() != row.starts:
            yield f"{name}: {found.total()} starts, not {row.starts}"
        ended = ends[get_job_id(row)]
        if ended != found:
            yield f"{name}: begun at {dict(found)}, ended at {dict(ended)}"
    for job_id in places:
        yield f"nobody asked for {job_id}, which ran"


def get_job_id(work: scenarios.Work) -> str:
    """Returns the job id of a reference."""
    return job_ids.make(
        work.workspace,
        steps.make_request_id(work.system, work.reference),
        SHARDS,
    )


def wait_for_ends(whole: cell.Cell, work: tuple[scenarios.Work, ...]) -> None:
    """Waits until the workers have ended as much as they had to begin."""
    wanted = sum(row.starts for row in work)
    deadline = time.monotonic() + POLL_TIMEOUT_S
    while time.monotonic() < deadline:
        places = read_places(whole, ENDINGS)
        if sum(found.total() for found in places.values()) >= wanted:
            return
        time.sleep(POLL_S)


def read_places(
    whole: cell.Cell, kinds: tuple[str, ...]
) -> dict[str, collections.Counter]:
    """Returns how often each worker recorded a kind of line for each job."""
    places: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for worker in whole.workers:
        _, record = cell.call("GET", f"{worker.url}/history")
        for line in record["history"]:
            if line["what"] in kinds:
                job_id = line.get("piece") or line["key"]["job_id"]
                places[job_id][worker.name] += 1
    return places
