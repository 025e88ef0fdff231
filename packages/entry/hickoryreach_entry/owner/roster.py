"""The workers of a shard: their links, the journaled set, and holds."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging
import time

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.structure import workers
from hickoryreach.trial import workers as platform_workers
from hickoryreach_entry import metrics
from hickoryreach_entry.owner import grants
from hickoryreach_entry.owner import journal
from hickoryreach_entry.owner import link
from hickoryreach_entry.owner import records

log = logging.getLogger(__name__)

UNLISTED_S = 30.0
LIST_TRUST_S = 600.0
CUT_S = 5.0
PROOF_PART = 3


class Roster:
    """Links to the workers of one shard.

    Attributes:
        links: Links by worker id.
        authority: The owner's right to act.
        unlisted_since: When a linked worker left the instance list, in s.
        members: The journaled worker set.
        make_client: Opens a client of a worker.
        changing: Whether a change of the set is under way.
        cleared: Whether nothing of an earlier owner can run unseen.
        taken_at: When the journal was taken, in s.
    """

    def __init__(
        self,
        *,
        shard: int,
        owner: str,
        log_book: journal.Journal,
        lengths: link.Lengths,
        emit: Callable[[events.Event], None],
        on_reply: Callable[[link.WorkerLink], None],
        may_lose: Callable[[str], bool],
        name_request: Callable[[str], jobs.TaskKey],
    ) -> None:
        """Creates a roster without links."""
        self.shard = shard
        self.owner = owner
        self.journal = log_book
        self.lengths = lengths
        self.emit = emit
        self.on_link_reply = on_reply
        self.may_lose = may_lose
        self.name_request = name_request
        self.authority = grants.Authority(grant_s=lengths.grant_s)
        self.links: dict[str, link.WorkerLink] = {}
        self.unlisted_since: dict[str, float] = {}
        self.members: frozenset[str] = frozenset()
        self.stale_terms: dict[str, int] = {}
        self.make_client = connect
        self.changing = False
        self.checking = False
        self.cleared = False
        self.taken_at = 0.0

    def begin(self, worker_ids: Iterable[str], now: float) -> None:
        """Starts from the worker set of the journal."""
        self.taken_at = now
        self.members = frozenset(worker_ids)
        self.authority.settle(self.members, now)
        if not self.members:
            self.authority.majority_since = 0.0

    def stop(self) -> None:
        """Ends every link."""
        for worker_link in self.links.values():
            worker_link.stop()

    def take_list(self, listed: tuple[workers.Worker, ...], now: float) -> None:
        """Takes in the platform's list, which may be stale, empty or wrong."""
        for worker in listed:
            self.unlisted_since.pop(worker.worker_id, None)
            self.open_link(worker)
        unlisted = set(self.links) - {worker.worker_id for worker in listed}
        if is_doubtful(len(unlisted), len(self.links)):
            log.warning(
                "instance_list_doubtful",
                extra={"shard": self.shard, "unlisted": len(unlisted)},
            )
        else:
            for worker_id in unlisted:
                self.unlisted_since.setdefault(worker_id, now)
                known = self.links[worker_id]
                known.change_worker(
                    dataclasses.replace(known.worker, departing=True)
                )
        self.change_members(now)

    def open_link(self, worker: workers.Worker) -> None:
        """Opens a link to a worker, or takes in its new description."""
        known = self.links.get(worker.worker_id)
        if known is not None:
            known.change_worker(worker)
            return
        opened = link.WorkerLink(
            worker=worker,
            owner=self.owner,
            term=self.journal.term,
            lengths=self.lengths,
            authority=self.authority,
            emit=self.emit,
            on_stale=lambda term: self.take_stale(worker.worker_id, term),
            on_reply=self.take_reply,
            may_lose=self.may_lose,
            name_request=self.name_request,
            leases_until=0.0,
            make_client=self.make_client,
        )
        self.links[worker.worker_id] = opened
        opened.start()

    def change_members(self, now: float) -> None:
        """Journals a change of the worker set, one at a time."""
        if self.changing:
            return
        linked = frozenset(self.links)
        gone = {
            worker_id
            for worker_id in self.members | linked
            if self.is_gone(worker_id, now)
        }
        if self.members and not self.authority.majority_since and not gone:
            return
        wanted = (linked | self.members) - gone
        if wanted == self.members:
            return
        self.changing = True
        self.authority.propose(wanted)
        self.journal.append(
            records.WorkersChanged(worker_ids=tuple(sorted(wanted))),
            lambda kept: self.settle_members(wanted) if kept else None,
        )

    def is_gone(self, worker_id: str, now: float) -> bool:
        """Returns whether a worker may leave the set.

        An owner that never held a majority can't know that an earlier one
        has stopped, so it goes by the platform's list alone, and waits long.
        """
        since = self.unlisted_since.get(worker_id)
        worker_link = self.links.get(worker_id)
        if worker_link is None:
            since = self.taken_at
        if since is None:
            return False
        if not self.authority.majority_since:
            return now - since > LIST_TRUST_S
        if now - since <= UNLISTED_S or now <= self.get_hold_end():
            return False
        if worker_link is None or not worker_link.reachable:
            return worker_link is None or worker_link.lost
        return not worker_link.running and not worker_link.requests

    def settle_members(self, members: frozenset[str]) -> None:
        """Counts on a set that is journaled."""
        self.changing = False
        self.members = members
        self.authority.settle(members, time.monotonic())
        for worker_id in set(self.links) - members:
            dropped = self.links.pop(worker_id)
            self.unlisted_since.pop(worker_id, None)
            dropped.lose("left the instance list")
            dropped.stop()
        metrics.workers_in_set.labels(str(self.shard)).set(len(members))
        log.info(
            "workers_changed",
            extra={"shard": self.shard, "workers": len(members)},
        )

    def withdraw_unsent(self) -> list[jobs.TaskKey]:
        """Takes back every start that was never sent; returns their keys."""
        return [
            key
            for worker_link in self.links.values()
            for key in worker_link.commands.withdraw_unsent()
        ]

    def wake(self, worker_id: str) -> None:
        """Asks a worker for its list soon."""
        worker_link = self.links.get(worker_id)
        if worker_link is not None:
            worker_link.wake.set()

    def take_reply(self, worker_link: link.WorkerLink) -> None:
        """Looks after holds once a worker has answered."""
        self.stale_terms.pop(worker_link.worker.worker_id, None)
        self.on_link_reply(worker_link)
        self.clear_holds(time.monotonic())

    def clear_holds(self, now: float) -> None:
        """Ends the holds once no earlier owner's task can run unseen."""
        if self.cleared or not self.authority.holds(now):
            return
        unheard = [
            worker_id
            for worker_id in self.members
            if worker_id not in self.links or not self.links[worker_id].joined
        ]
        if unheard and now < self.get_hold_end():
            return
        self.cleared = True
        metrics.takeover_seconds.labels("cleared").observe(now - self.taken_at)
        log.info(
            "holds_cleared",
            extra={
                "shard": self.shard,
                "unheard": len(unheard),
                "after_ms": int((now - self.taken_at) * 1000),
            },
        )
        self.emit(events.HoldsCleared())

    def get_hold_end(self) -> float:
        """Returns when an earlier owner's leases have lapsed, in s.

        It could act for one grant after it lost the journal and its last
        majority, whichever came later, and its tasks run on for one lease.
        """
        began = max(self.taken_at, self.authority.majority_since)
        return (
            began
            + grants.lengthen(self.lengths.grant_s)
            + grants.lengthen(self.lengths.task_lease_s)
        )

    def is_cut(self, now: float) -> bool:
        """Returns whether no worker has answered for a while.

        Such an owner can do nothing, so another one can do no worse.
        """
        if not self.members or now - self.taken_at < CUT_S:
            return False
        newest = max(self.authority.granted_until.values(), default=0.0)
        return now > newest

    def tick(self, now: float) -> None:
        """Proves ownership through the journal while grants are missing."""
        self.clear_holds(now)
        metrics.grants_held.labels(str(self.shard)).set(
            self.authority.count_grants(now)
        )
        if not self.authority.majority_since or not self.journal.healthy:
            return
        margin = self.lengths.grant_s / PROOF_PART
        if self.authority.until(now) - now < margin and not (
            self.journal.waiting
        ):
            self.journal.append(records.OwnerProved())

    def take_stale(self, worker_id: str, term: int) -> None:
        """Checks the ownership after a worker named a higher term.

        Another owner shows in the journal. Without one, either the worker
        is wrong, or the store was restored to a state with lower terms.
        """
        self.stale_terms[worker_id] = term
        if self.checking:
            return
        self.checking = True
        self.journal.append(
            records.OwnerProved(), lambda kept: self.finish_check(kept)
        )

    def finish_check(self, kept: bool) -> None:
        """Raises the term when most workers name a higher one."""
        self.checking = False
        if not kept or 2 * len(self.stale_terms) <= len(self.members):
            return
        highest = max(self.stale_terms.values())
        if highest < self.journal.term:
            return
        log.error(
            "term_raised",
            extra={
                "shard": self.shard,
                "from": self.journal.term,
                "above": highest,
                "reason": "workers know a term that the store does not",
            },
        )
        metrics.store_restored.inc()
        self.stale_terms.clear()
        self.journal.raise_term(highest, self.use_term)

    def use_term(self, kept: bool) -> None:
        """Goes on under a raised term."""
        if not kept:
            return
        for worker_link in self.links.values():
            worker_link.term = self.journal.term


def connect(worker: workers.Worker) -> platform_workers.WorkerClient:
    """Returns a client of a worker."""
    return platform_workers.WorkerClient(address=worker.address)


def is_doubtful(unlisted: int, known: int) -> bool:
    """Returns whether a list leaves out too many to be believed."""
    return unlisted > 1 and 2 * unlisted >= known
