"""Upper limits of workspaces."""

from hickoryreach.decisions import records
from hickoryreach.structure import resources


def has_room(
    workspace: records.WorkspaceRecord, need: resources.Resources
) -> bool:
    """Returns whether the workspace may have `need` more running.

    What an earlier owner may have left running, and what its gangs have
    reserved, count as running. An earlier owner may have given its tasks more
    than they declare, so while some may run unseen, only what needs nothing
    but slots starts; slots are never given beyond the declared size.
    """
    if not workspace.allowed:
        return False
    limit = workspace.entitlement.limit
    if limit is None:
        return True
    used = workspace.used
    claimed = workspace.claimed
    doubt = workspace.doubt
    if (doubt.cpu_millis or doubt.memory_mb) and (
        need.cpu_millis or need.memory_mb
    ):
        return False
    return (
        used.cpu_millis
        + claimed.cpu_millis
        + doubt.cpu_millis
        + need.cpu_millis
        <= limit.cpu_millis
        and used.memory_mb
        + claimed.memory_mb
        + doubt.memory_mb
        + need.memory_mb
        <= limit.memory_mb
        and used.accelerators
        + claimed.accelerators
        + doubt.accelerators
        + need.accelerators
        <= limit.accelerators
        and used.slots + claimed.slots + doubt.slots + need.slots <= limit.slots
    )


def can_ever_hold(
    workspace: records.WorkspaceRecord, need: resources.Resources
) -> bool:
    """Returns whether `need` alone keeps within the limit of the fleet."""
    entitlement = workspace.entitlement
    limit = entitlement.fleet_limit or entitlement.limit
    return limit is None or need.fits_in(limit)
