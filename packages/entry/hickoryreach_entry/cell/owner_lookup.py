"""Asks other entries who owns the cell."""

from collections.abc import Iterable
import logging

import gevent

from hickoryreach.wire import frames
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

ASK_TIMEOUT_S = 0.4
PEERS_LIMIT = 12


class OwnerLookup:
    """Asks the entries that this one knows of.

    Attributes:
        member: This entry as a member of the cell.
        addresses: Addresses of other entries by name, the newest last.
    """

    def __init__(self, *, member) -> None:
        """Creates an inquiry that knows of nobody."""
        self.member = member
        self.addresses: dict[str, str] = {}

    def record_peers(self, peers: Iterable[frames.PeerInfo]) -> None:
        """Notes entries that live."""
        for peer in peers:
            self.addresses.pop(peer.name, None)
            if peer.name != self.member.me.name:
                self.addresses[peer.name] = peer.address
        while len(self.addresses) > PEERS_LIMIT:
            del self.addresses[next(iter(self.addresses))]

    def ask(self, addresses: Iterable[str]) -> list[frames.OwnerReport]:
        """Returns what the entries at some addresses answer in time."""
        asked = [gevent.spawn(self._ask_one, each) for each in addresses]
        gevent.joinall(asked, timeout=ASK_TIMEOUT_S)
        return [each.value for each in asked if each.value is not None]

    def query_peers_about(
        self, found: records.Ownership
    ) -> list[frames.OwnerReport]:
        """Asks the others whether they hear an owner."""
        return self.ask(
            address
            for name, address in self.addresses.items()
            if name != found.name
        )

    def find_owner(self) -> records.Ownership | None:
        """Returns the newest owner that another entry hears, or None."""
        own = self.member.me
        known = {*self.addresses.values(), *self.member.settings.seeds}
        heard = [
            report
            for report in self.ask(known - {own.address})
            if report.heard and report.owner and report.owner.name != own.name
        ]
        if not heard:
            return None
        newest = max(heard, key=lambda report: report.epoch)
        return records.Ownership(
            name=newest.owner.name,
            address=newest.owner.address,
            epoch=newest.epoch,
        )

    def _ask_one(self, address: str) -> frames.OwnerReport | None:
        try:
            peer = channel.connect(address, self.member.handle)
        except OSError as error:
            log.info(
                "peer_unreachable",
                extra={"address": address, "reason": str(error)},
            )
            return None
        try:
            return peer.call(
                ASK_TIMEOUT_S, owner_question=frames.OwnerQuestion()
            )
        finally:
            peer.close("asked")
