"""Runs an entry of the users' cell with one protection taken out.

`broken_cell NAME cell`; the switch is this module, the product has none.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Callable  # noqa: E402
import sys  # noqa: E402

from hickoryreach.decisions import registry  # noqa: E402
from hickoryreach.scheduling import minion_records  # noqa: E402
from hickoryreach.scheduling import runs  # noqa: E402
from hickoryreach_entry import __main__ as entry_main  # noqa: E402
from hickoryreach_entry.cell import links  # noqa: E402
from hickoryreach_entry.cell import ownership_scope  # noqa: E402
from hickoryreach_entry.cell import progress  # noqa: E402
from hickoryreach_entry.cell import recovery  # noqa: E402

removals: registry.Registry[str, Callable[[], None]] = registry.Registry(
    title="protections that can be taken out"
)


@removals.register("kept")
def remove_kept() -> None:
    """Ends are acknowledged, and states shown, before they are kept."""
    append = progress.ProgressWriter.append

    def append_told(self, row, kept=None, finals=None):
        if kept is not None:
            kept()
        append(self, row, None, finals)

    progress.ProgressWriter.append = append_told


@removals.register("looks")
def remove_looks() -> None:
    """A new owner starts what is kept before any minion has listed its runs."""
    recovery.FIRST_POLLS_TIMEOUT_S = 0.0
    recovery.get_uncertain_until_ms = lambda owner: 0


@removals.register("incarnations")
def remove_incarnations() -> None:
    """A registration counts for whichever incarnation answers polls."""
    minion_records.MinionRecord.is_registration_current = True
    links.MinionLink.may_have_restarted = lambda self, incarnation: False


@removals.register("scope")
def remove_scope() -> None:
    """What an ownership has started goes on when it ends."""
    ownership_scope.OwnershipScope.close = lambda self: None


@removals.register("room")
def remove_room() -> None:
    """Runs take up no room."""
    add, free = runs.add, runs.free

    def add_nothing(cell, minion, run):
        used = minion.used
        add(cell, minion, run)
        minion.used = used

    def free_nothing(cell, run):
        minion = cell.minions.get(run.minion_id)
        used = minion.used if minion else None
        free(cell, run)
        if minion:
            minion.used = used

    runs.add, runs.free = add_nothing, free_nothing


def main() -> None:
    """Takes out the protection that is named first, then runs the rest."""
    removals.find(sys.argv.pop(1))()
    sys.exit(entry_main.main())


if __name__ == "__main__":
    main()
