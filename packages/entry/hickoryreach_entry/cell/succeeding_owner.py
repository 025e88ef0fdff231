"""Creation of the owner that follows on an earlier one."""

from hickoryreach_entry.cell import follower_quorum
from hickoryreach_entry.cell import owner as owner_module
from hickoryreach_entry.cell import owner_status
from hickoryreach_entry.cell import records


def build_owner(
    *,
    member,
    ownership: records.Ownership,
    revision: int,
    previous: records.Ownership | None,
    last_status: owner_status.OwnerStatus,
) -> owner_module.Owner:
    """Returns an owner that is not started yet.

    Args:
        member: This entry as a member of the cell.
        ownership: The new ownership.
        revision: Revision of the owner's key; the fencing token.
        previous: The latest ownership that was known before, or None.
        last_status: What the previous owner reported last.
    """
    quorum = follower_quorum.build_successor_quorum(
        epoch=ownership.epoch,
        own_name=ownership.name,
        previous_name=previous.name if previous else "",
        last_status=last_status,
    )
    return owner_module.Owner(
        settings=member.settings,
        client=member.client,
        epoch=ownership.epoch,
        revision=revision,
        configuration=member.configuration,
        configuration_source=member.configuration_source,
        local_advisor=member.advisor,
        get_channels=lambda: member.followers,
        quorum=quorum,
        silent=last_status.get_silent_minions(ownership.epoch),
        get_wall_ms=member.cell_clock.now_ms,
        may_recall_advice=last_status.epoch == ownership.epoch - 1,
        on_deposed=member.end_deposed,
    )
