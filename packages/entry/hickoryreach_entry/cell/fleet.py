"""Registered minions and the links to them."""

from collections.abc import Callable
import logging
import time

from returns import result

from hickoryreach.platform import documents
from hickoryreach.platform import store
from hickoryreach.scheduling import events
from hickoryreach.structure import cells
from hickoryreach_entry.cell import leases
from hickoryreach_entry.cell import links
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import prefix_watcher

log = logging.getLogger(__name__)

WATCH_WAIT_S = 1.0
WATCH_PAUSE_S = 0.3
UNREGISTERED_GRACE_S = 2.5
PLANNED_LEAVE_HEARTBEATS = 2
REREGISTRATION_TIMEOUT_S = 2.2


class Fleet:
    """Watches registrations and maintains a link to each minion.

    Attributes:
        links: Links by minion id.
        registered_at: When each registration was last read as new, by minion
            id, on the monotonic clock in s.
        planned_leave_limit_s: Longest time from the last registration of a
            minion to its removal if the minion left as planned, in s.
    """

    def __init__(
        self,
        *,
        scope: ownership_scope.OwnershipScope,
        client: store.Store,
        get_terms: Callable[[], leases.Terms],
        emit: Callable[[events.Event], None],
        on_fenced: Callable[[str], None],
        heartbeat_ms: int,
    ) -> None:
        """Creates a fleet without minions; the watch is not started."""
        self.change_heartbeat(heartbeat_ms)
        self.scope = scope
        self.get_terms = get_terms
        self.emit = emit
        self.on_fenced = on_fenced
        self.links: dict[str, links.MinionLink] = {}
        self.registered_at: dict[str, float] = {}
        self.watcher = prefix_watcher.PrefixWatcher(
            client=client,
            prefix=documents.MINIONS_PREFIX,
            wait_s=WATCH_WAIT_S,
            pause_s=WATCH_PAUSE_S,
            on_item=self.handle_item,
            on_page=self.remove_unlisted,
            spawn=scope.spawn,
        )

    def change_heartbeat(self, heartbeat_ms: int) -> None:
        """Applies the time between two heartbeats of a minion."""
        self.planned_leave_limit_s = (
            PLANNED_LEAVE_HEARTBEATS * heartbeat_ms / 1000
        )

    def handle_item(self, item: store.Item) -> None:
        """Handles a registration or its removal."""
        if item.data is None:
            minion_id = item.key.removeprefix(documents.MINIONS_PREFIX)
            self.remove(minion_id, "unregistered")
        else:
            self.register(item)

    def remove_unlisted(self, page: store.Page, complete: bool) -> None:
        """Removes the minions that a page of all registrations lacks."""
        if not complete:
            return
        present = {
            item.key.removeprefix(documents.MINIONS_PREFIX)
            for item in page.items
        }
        for minion_id in set(self.links) - present:
            self.remove(minion_id, "not_listed")

    def register(self, item: store.Item) -> None:
        """Handles one registration.

        A minion whose registration can't be parsed is unregistered.
        """
        parsed = documents.parse_minion(item.key, item.data)
        minion_id = item.key.removeprefix(documents.MINIONS_PREFIX)
        if isinstance(parsed, result.Failure):
            log.warning(
                "registration_unusable",
                extra={
                    "minion": minion_id,
                    "revision": item.revision,
                    "reason": parsed.failure(),
                },
            )
            link = self.links.get(minion_id)
            if link is not None:
                self.unregister(link, "registration_unusable")
            return
        minion = parsed.unwrap()
        self.registered_at[minion_id] = time.monotonic()
        known = self.links.get(minion_id)
        if known is not None and known.minion == minion and not known.removed:
            return
        log.info(
            "minion_registered",
            extra={
                "minion": minion_id,
                "draining": minion.draining,
                "revision": item.revision,
            },
        )
        self.emit(events.MinionRegistered(minion=minion))
        self.connect(minion)

    def connect(self, minion: cells.Minion) -> None:
        """Creates a link to a minion, or a new one if its address changed."""
        known = self.links.get(minion.minion_id)
        if known is not None and known.minion.address == minion.address:
            known.minion = minion
            known.removed = False
            return
        if known is not None:
            known.close()
        self.links[minion.minion_id] = links.MinionLink(
            scope=self.scope,
            minion=minion,
            get_terms=self.get_terms,
            emit=self.emit,
            on_fenced=self.on_fenced,
            on_lapsed=self.handle_lapse,
            previous=known,
        )

    def remove(self, minion_id: str, reason: str) -> None:
        """Handles the removal of a minion's registration."""
        link = self.links.get(minion_id)
        if link is None:
            return
        if self.may_reregister(link):
            registered_at = self.registered_at.get(minion_id)
            self.scope.spawn_later(
                REREGISTRATION_TIMEOUT_S,
                self.remove_unless_reregistered,
                link,
                registered_at,
                reason,
            )
            return
        self.unregister(link, reason)

    def may_reregister(self, link: links.MinionLink) -> bool:
        """Returns whether a minion may register again shortly.

        Registrations expire while the store is unavailable, and are written
        again soon after it is back.
        """
        healthy_s = time.monotonic() - self.watcher.healthy_since
        return (
            healthy_s < REREGISTRATION_TIMEOUT_S
            and not link.silent
            and not link.minion.draining
        )

    def remove_unless_reregistered(
        self, link: links.MinionLink, registered_at: float | None, reason: str
    ) -> None:
        """Unregisters a minion that has not registered again.

        Args:
            link: Link to the minion.
            registered_at: Its entry in `self.registered_at` at the removal.
            reason: Cause of the removal, for logs.
        """
        minion_id = link.minion.minion_id
        if self.links.get(minion_id) is not link or link.removed:
            return
        if self.registered_at.get(minion_id) == registered_at:
            self.unregister(link, reason)

    def unregister(self, link: links.MinionLink, reason: str) -> None:
        """Excludes a minion from placement.

        Its link stays for as long as something may run there.
        """
        minion_id = link.minion.minion_id
        log.info("minion_gone", extra={"minion": minion_id, "cause": reason})
        self.emit(events.MinionUnregistered(minion_id=minion_id))
        link.removed = True
        if self.has_left_as_planned(link):
            link.report_expiry("left")
        self.scope.spawn_later(UNREGISTERED_GRACE_S, self.drop_expired, link)

    def has_left_as_planned(self, link: links.MinionLink) -> bool:
        """Returns whether a minion shut down as planned.

        It did if it was draining and its registration was removed sooner than
        missing heartbeats could have caused.
        """
        registered_at = self.registered_at.get(link.minion.minion_id, 0.0)
        return (
            link.minion.draining
            and link.silent
            and time.monotonic() - registered_at < self.planned_leave_limit_s
        )

    def handle_lapse(self, link: links.MinionLink) -> None:
        """Closes the link to a removed minion whose lease has expired.

        The owner forgets such a minion at once, so that nothing may be read
        from it before it registers again.
        """
        if link.removed and self.links.get(link.minion.minion_id) is link:
            self.drop(link)

    def drop(self, link: links.MinionLink) -> None:
        """Closes a link and forgets its minion."""
        minion_id = link.minion.minion_id
        del self.links[minion_id]
        self.registered_at.pop(minion_id, None)
        link.close()

    def drop_expired(self, link: links.MinionLink) -> None:
        """Closes the link to a removed minion once its lease has expired.

        Also closes it if the minion never answered; otherwise tries again
        later.
        """
        minion_id = link.minion.minion_id
        if self.links.get(minion_id) is not link or not link.removed:
            return
        if link.lapsed or (link.silent and not link.lease.is_known):
            self.drop(link)
            self.emit(events.LeaseExpired(minion_id=minion_id))
            self.emit(events.MinionRemoved(minion_id=minion_id))
            return
        self.scope.spawn_later(UNREGISTERED_GRACE_S, self.drop_expired, link)

    def list_silent(self) -> dict[str, int]:
        """Returns unresponsive minions, with ms until their leases expire."""
        return {
            minion_id: link.get_remaining_ms()
            for minion_id, link in self.links.items()
            if link.silent
        }

    def list_incarnations(self) -> dict[str, int]:
        """Returns the incarnations of the minions that have answered."""
        return {
            minion_id: link.incarnation
            for minion_id, link in self.links.items()
            if link.incarnation
        }

    def close(self) -> None:
        """Closes every link."""
        for link in self.links.values():
            link.close()
