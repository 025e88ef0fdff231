"""Entitlements of workspaces."""

import dataclasses

from hickoryreach.structure import resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entitlement:
    """What one workspace may use in this shard.

    Attributes:
        workspace: Name of the workspace.
        share: Weight when the cell is full; above 0.
        limit: Most it may have running here; None for no limit. A
            component of 0 in a limit means that none may be used.
        fleet_limit: Most it may have running in all shards together; None
            when `limit` is that.
        queued_limit: Most tasks it may have waiting here.
    """

    workspace: str
    share: float = 1.0
    limit: resources.Resources | None = None
    fleet_limit: resources.Resources | None = None
    queued_limit: int = 100_000
