"""Tests of replies that list as many ends as fit, from link to reducer."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import events
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from hickoryreach_entry.cell import leases
from hickoryreach_entry.cell import links
from hickoryreach_entry.cell import ownership_scope
from tests.core.scheduling import cases


class EndPagesTest(cases.CellCase):
    """A minion has more unacknowledged ends than a reply lists."""

    minion_count = 1

    def setUp(self) -> None:
        """Starts a task, and opens a link to an address without a minion."""
        super().setUp()
        self.emitted: list[events.Event] = []
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.addCleanup(self.scope.close)
        self.link = links.MinionLink(
            scope=self.scope,
            minion=self.cell.minions["m0"].minion,
            get_terms=lambda: leases.Terms(
                token=1, lease_ms=1_000, hold_limit_ms=6_000
            ),
            emit=self.emitted.append,
            on_fenced=lambda minion_id: None,
            on_lapsed=lambda link: None,
        )
        self.addCleanup(self.link.close)
        self.submit(cases.build_step(cpu=4_000))
        (self.start,) = self.confirm_starts()

    def deliver(self, first: int, last: int, kind: str) -> None:
        """Delivers a reply that lists ends of the task by their numbers."""
        self.now_ms += 100
        del self.emitted[:]
        reply = minions.PollReply(
            incarnation=1,
            clock_ms=self.now_ms,
            running=(),
            ends=tuple(self.build_end(n, kind) for n in range(first, last + 1)),
        )
        self.link.handle_poll_reply(reply, self.now_ms)
        (event,) = self.emitted
        self.apply(event)

    def build_end(self, number: int, kind: str) -> minions.TaskEnd:
        """Returns an end; those before the last are of a job without state."""
        key = steps.TaskKey(job_id="ended", repeat=0, step=0, index=0)
        run = number
        if kind == "done":
            key, run = self.start.key, self.start.number
        return minions.TaskEnd(
            number=number,
            key=key,
            run=run,
            kind=minions.EndKind(kind),
            checkpoint="",
        )

    def test_task_is_not_started_again_before_its_end_is_listed(self) -> None:
        self.apply(events.JobAlreadyEnded(job_id="ended"))
        limit = minions.MAX_LISTED_ENDS
        for _ in range(2):
            self.deliver(1, limit, "stopped")
            self.assertEqual(self.get_starts(), [])
            self.assertEqual(len(self.list_running("m0")), 1)
        self.deliver(limit + 1, limit + 1, "done")
        self.assertEqual(
            self.get_state(self.start.key.job_id).value, "completed"
        )
        self.assertEqual(self.cell.minions["m0"].used, resources.ZERO)
