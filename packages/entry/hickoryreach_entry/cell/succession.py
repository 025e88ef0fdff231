"""Order in which the followers of an owner take over from it."""

import time

from hickoryreach.wire import frames
from hickoryreach_entry import clock
from hickoryreach_entry.cell import election

MAX_PEERS = 6
STORE_CONTACT_MAX_AGE_S = 2.2  # longer than one watch call of an idle entry


def list_peers(member) -> list[frames.PeerInfo]:
    """Returns the followers in the order in which they take over.

    Followers that reach the store and are not silent come first, and among
    them those with the most processor time. Those that are about to stop are
    left out.

    Args:
        member: The owner's entry as a member of the cell.
    """
    now = time.monotonic()
    booted_s = clock.boot_s()
    return [
        peer.peer
        for peer in sorted(
            (
                each
                for name, each in member.followers.items()
                if name not in member.leaving_followers
            ),
            key=lambda peer: (
                now - member.store_served_at.get(peer.peer.name, 0.0)
                > STORE_CONTACT_MAX_AGE_S,
                booted_s - peer.last_received_at > election.SILENCE_LIMIT_S,
                -peer.peer.processor,
                peer.peer.name,
            ),
        )
    ]
