"""Queries to the other entries of the cell about its owner."""

from collections.abc import Iterable
import logging

import gevent

from hickoryreach.wire import frames
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

QUERY_TIMEOUT_S = 0.4
MAX_PEERS = 12


class OwnerLookup:
    """Asks the known entries whether they hear the owner.

    Attributes:
        member: This entry as a member of the cell.
        addresses: Addresses of other entries by name, the newest last.
    """

    def __init__(self, *, member) -> None:
        """Starts without any known entry."""
        self.member = member
        self.addresses: dict[str, str] = {}

    def record_peers(self, peers: Iterable[frames.PeerInfo]) -> None:
        """Records addresses of entries, and drops the oldest over the limit."""
        for peer in peers:
            self.addresses.pop(peer.name, None)
            if peer.name != self.member.own_info.name:
                self.addresses[peer.name] = peer.address
        while len(self.addresses) > MAX_PEERS:
            del self.addresses[next(iter(self.addresses))]

    def query_addresses(
        self, addresses: Iterable[str]
    ) -> list[frames.OwnerReport]:
        """Returns the answers of entries that arrive within the timeout."""
        queries = [
            gevent.spawn(self._query_address, each) for each in addresses
        ]
        gevent.joinall(queries, timeout=QUERY_TIMEOUT_S)
        return [each.value for each in queries if each.value is not None]

    def query_peers_about(
        self, found: records.Ownership
    ) -> list[frames.OwnerReport]:
        """Asks the known entries, except the owner, whether they hear it."""
        return self.query_addresses(
            address
            for name, address in self.addresses.items()
            if name != found.name
        )

    def find_owner(self) -> records.Ownership | None:
        """Returns the owner of the highest epoch that a peer hears, or None.

        The entries in the settings' seeds are asked as well.
        """
        own = self.member.own_info
        known = {*self.addresses.values(), *self.member.settings.seeds}
        heard = [
            report
            for report in self.query_addresses(known - {own.address})
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

    def _query_address(self, address: str) -> frames.OwnerReport | None:
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
                QUERY_TIMEOUT_S, owner_question=frames.OwnerQuestion()
            )
        finally:
            peer.close("asked")
