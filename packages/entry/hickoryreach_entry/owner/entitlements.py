"""The lists' entitlements, as far as one shard may use them."""

from collections.abc import Callable

import gevent

from hickoryreach.decisions import events
from hickoryreach.structure import workspaces
from hickoryreach.trial import store
from hickoryreach_entry.owner import budgets
from hickoryreach_entry.owner import demands
from hickoryreach_entry.owner import journal

BALANCE_S = 0.5


class Entitlements:
    """Puts entitlements in force, and moves budget between the shards.

    Attributes:
        owner: The owner.
        get_entitlements: Returns every workspace, with limits of the fleet.
        budgets: This shard's parts of the upper limits.
    """

    def __init__(
        self,
        *,
        owner,
        client: store.Store,
        get_entitlements: Callable[[], tuple[workspaces.Entitlement, ...]],
    ) -> None:
        """Creates entitlements that are not in force yet."""
        self.owner = owner
        self.get_entitlements = get_entitlements
        self.budgets = budgets.Budgets(
            client=client, shard=owner.shard, shards=owner.settings.shards
        )

    def change(self) -> None:
        """Puts newly accepted lists in force."""
        self.owner.call(lambda argument: self.apply(), None)

    def apply(self) -> None:
        """Puts the lists and this shard's budgets in force at once."""
        entitlements = self.budgets.limit(self.get_entitlements())
        self.owner.apply(events.EntitlementsChanged(entitlements=entitlements))

    def balance_forever(self) -> None:
        """Moves budget between this shard and the others."""
        settings = self.owner.settings
        writes = max(
            1,
            int(
                settings.store_writes_per_s
                * (1 - journal.WRITES_PART)
                * BALANCE_S
                / settings.shards
            ),
        )
        while not self.owner.stopped:
            raised = self.budgets.balance(
                self.get_entitlements(),
                lambda: demands.list_demands(self.owner.state),
                self.apply,
                writes,
            )
            if raised:
                self.change()
            gevent.sleep(BALANCE_S)
