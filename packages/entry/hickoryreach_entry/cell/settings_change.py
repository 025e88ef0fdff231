"""Application of settings that change while an entry runs."""

import dataclasses
import logging

from hickoryreach.platform import node
from hickoryreach.wire import frames
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import owner as owner_module

log = logging.getLogger(__name__)

FIXED_FIELDS = frozenset({"node", "listen"})  # only a start applies them


def keep_fixed(
    current: node.NodeSettings, loaded: node.NodeSettings
) -> node.NodeSettings:
    """Returns changed settings with those that only a start can apply kept."""
    fixed = FIXED_FIELDS.intersection(list_changes(current, loaded))
    if not fixed:
        return loaded
    log.error(
        "settings_need_restart", extra={"fields": ",".join(sorted(fixed))}
    )
    return loaded.model_copy(
        update={name: getattr(current, name) for name in fixed}
    )


def list_changes(
    current: node.NodeSettings, loaded: node.NodeSettings
) -> list[str]:
    """Returns the names of the fields that differ, in order."""
    return sorted(
        name
        for name in node.NodeSettings.model_fields
        if getattr(current, name) != getattr(loaded, name)
    )


def apply_to_member(
    member: member_module.Member, settings: node.NodeSettings
) -> None:
    """Applies settings to an entry as a member of its cell."""
    member.settings = settings
    member.client.change_address(settings.platform.address)
    member.advisor.change_address(settings.advice)
    if member.own_info.processor != settings.processor:
        _change_processor(member, settings.processor)
    if member.owner is not None:
        apply_to_owner(member.owner, settings)


def _change_processor(member: member_module.Member, processor: float) -> None:
    """Applies the processor time of an entry, and tells its owner."""
    member.own_info.processor = processor
    channel = member.election.owner_channel
    if channel is not None:
        channel.send(greeting=frames.Greeting(peer=member.own_info))


def apply_to_owner(
    owner: owner_module.Owner, settings: node.NodeSettings
) -> None:
    """Applies settings to the owner of the cell."""
    owner.settings = settings
    owner.state.settings = dataclasses.replace(
        owner.state.settings, stop_grace_ms=settings.bounds.stop_grace_ms
    )
    owner.retention.retention_s = settings.bounds.keep_state_s
    owner.cancelled_ids.retention_s = settings.bounds.keep_state_s
    owner.fleet.change_heartbeat(settings.heartbeat_ms)
