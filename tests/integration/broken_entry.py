"""Runs an entry with one protection taken out: `broken_entry NAME serve ...`.

The switch is this module; the product has none.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Callable  # noqa: E402
import dataclasses  # noqa: E402
import math  # noqa: E402
import sys  # noqa: E402

from hickoryreach.decisions import ledger  # noqa: E402
from hickoryreach.decisions import limits  # noqa: E402
from hickoryreach.decisions import registry  # noqa: E402
from hickoryreach.lists import heads  # noqa: E402
from hickoryreach.trial import instances  # noqa: E402
from hickoryreach_entry import __main__ as entry_main  # noqa: E402
from hickoryreach_entry import lists  # noqa: E402
from hickoryreach_entry import minions  # noqa: E402
from hickoryreach_entry import server  # noqa: E402
from hickoryreach_entry.api import access  # noqa: E402
from hickoryreach_entry.owner import carriers  # noqa: E402
from hickoryreach_entry.owner import roster  # noqa: E402
from tests.integration import proxied_entry  # noqa: E402

removals: registry.Registry[str, Callable[[], None]] = registry.Registry(
    title="protections that can be taken out"
)


@removals.register("capacity")
def remove_capacity() -> None:
    """Placements take no room from their worker."""
    hold, release = ledger.hold, ledger.release

    def hold_nothing(shard, worker, attempt):
        free = worker.free
        hold(shard, worker, attempt)
        worker.free = free
        ledger.refresh(shard, worker)

    def release_nothing(shard, attempt):
        worker = shard.workers.get(attempt.worker_id)
        free = worker.free if worker else None
        release(shard, attempt)
        if worker:
            worker.free = free
            ledger.refresh(shard, worker)

    ledger.hold, ledger.release = hold_nothing, release_nothing


@removals.register("holds")
def remove_holds() -> None:
    """A new owner starts restored work before leases must have lapsed."""
    roster.Roster.get_hold_end = lambda self: -math.inf


@removals.register("keys")
def remove_keys() -> None:
    """The first workspace stands in for a key that is not granted."""
    find_caller = access.Access.find_caller

    def find_any_caller(self, req):
        plan = self.lists.plans.plans[0]
        anyone = access.Caller(workspace=plan.workspace, plan=plan.plan)
        return find_caller(self, req).lash(
            lambda _: access.result.Success(anyone)
        )

    access.Access.find_caller = find_any_caller


@removals.register("news")
def remove_news() -> None:
    """An entry takes no lists from its peers, and minds no list's age."""
    lists.Lists.take_heads = lambda self, rows: None
    lists.Lists.fresh_s = lambda self: 0.0


@removals.register("limits")
def remove_limits() -> None:
    """Every workspace always has room."""
    limits.has_room = lambda workspace, need: True


@removals.register("whole")
def remove_whole_answers() -> None:
    """What came of a body counts as all of it."""

    def read_part(response) -> bytes:
        try:
            return bytes(response.read())
        except OSError:
            return b""

    minions.read_whole = read_part


@removals.register("truth")
def remove_truth() -> None:
    """An unclear end is told as not run."""
    minions.unknown = minions.not_run


@removals.register("intents")
def remove_intents() -> None:
    """Non-idempotent work is sent without a kept intent."""
    carriers.record_intent = lambda owner, effect, send: send(owner, effect)


@removals.register("departing")
def remove_departing() -> None:
    """Departing workers are taken for live ones."""
    parse = instances._parse_worker
    instances._parse_worker = lambda row: dataclasses.replace(
        parse(row), departing=False
    )


@removals.register("drain")
def remove_drain() -> None:
    """A stop waits for nobody."""
    server.EntryServer.drain = lambda self: self.stopped.set()


@removals.register("revisions")
def remove_revisions() -> None:
    """A list of any revision is put in force."""
    take_head = lists.Lists.take_head

    def take_any(self, name, head, flat=None):
        if head.revision != self.revisions[name]:
            self.revisions[name] = 0
            self.heads[name] = heads.Head()
            self.flats[name] = {}
        return take_head(self, name, head, flat)

    def take_value(self, name, value):
        head = heads.parse_head(value.data) if value else heads.Head()
        return self.take_head(name, head)

    lists.Lists.take_head = take_any
    lists.Lists.take_value = take_value


def main() -> int:
    """Takes the named protection out and runs the entry binary."""
    proxied_entry.install()
    removals.find(sys.argv.pop(1))()
    return entry_main.main()


if __name__ == "__main__":
    sys.exit(main())
