"""Resources that workspaces are entitled to."""

import dataclasses

from hickoryreach.structure import resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entitlement:
    """Resources that one workspace may use in this shard.

    Attributes:
        workspace: Name of the workspace.
        share: Weight in the division of a full cell, above 0.
        limit: Maximum resources of its running tasks in this shard; None for
            no limit. A component of 0 means that none may be used.
        fleet_limit: Maximum resources of its running tasks in all shards
            together; None if `limit` applies to all shards.
        queued_limit: Maximum number of its waiting tasks in this shard.
    """

    workspace: str
    share: float = 1.0
    limit: resources.Resources | None = None
    fleet_limit: resources.Resources | None = None
    queued_limit: int = 100_000
