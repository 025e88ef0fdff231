"""The operators' lists as this entry has them in force."""

import logging

import gevent
import orjson
from returns import result

from hickoryreach.lists import allowances
from hickoryreach.lists import plans
from hickoryreach.platform import store
from hickoryreach.structure import workspaces

log = logging.getLogger(__name__)

PREFIX = "hickoryreach/lists/"
WATCH_WAIT_S = 30.0
RETRY_S = 0.5


class Lists:
    """Both lists, followed through a watch.

    Attributes:
        plans: The plans in force.
        allowances: The allowances in force.
        revisions: Revision in force of each list.
        listeners: Called without arguments after a change.
    """

    def __init__(self, *, client: store.Store) -> None:
        """Creates empty lists."""
        self.client = client
        self.plans = plans.Plans()
        self.allowances = allowances.Allowances()
        self.revisions = {"plans": 0, "allowances": 0}
        self.listeners: list = []

    def start(self) -> None:
        """Begins to follow the lists."""
        gevent.spawn(self.watch_forever)

    def watch_forever(self) -> None:
        """Applies each higher revision."""
        index = 0
        while True:
            read = self.client.watch(
                PREFIX, index=index, wait_s=WATCH_WAIT_S, recurse=True
            )
            if isinstance(read, result.Failure):
                gevent.sleep(RETRY_S)
                continue
            snapshot = read.unwrap()
            index = snapshot.index
            for value in snapshot.values:
                name = value.key.removeprefix(PREFIX)
                self.apply(name, orjson.loads(value.data))

    def apply(self, name: str, head: dict) -> None:
        """Puts a list in force if its revision is higher."""
        if head["revision"] <= self.revisions[name]:
            return
        if name == "plans":
            self.plans = plans.Plans.model_validate(head["document"])
        else:
            self.allowances = allowances.Allowances.model_validate(
                head["document"]
            )
        self.revisions[name] = head["revision"]
        log.info(
            "list_applied", extra={"list": name, "revision": head["revision"]}
        )
        for listener in self.listeners:
            listener()

    def get_entitlements(self) -> tuple[workspaces.Entitlement, ...]:
        """Returns the entitlement of every workspace."""
        by_plan = {row.plan: row for row in self.allowances.allowances}
        return tuple(
            build_entitlement(plan.workspace, by_plan[plan.plan])
            for plan in self.plans.plans
            if plan.plan in by_plan
        )


def build_entitlement(
    workspace: str, allowance: allowances.Allowance
) -> workspaces.Entitlement:
    """Returns what a workspace may use under its plan."""
    limit = allowance.limit
    return workspaces.Entitlement(
        workspace=workspace,
        share=allowance.share,
        limit=limit.to_resources() if limit else None,
    )
