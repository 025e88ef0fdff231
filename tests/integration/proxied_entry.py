"""Runs an entry that advertises the proxy's port to the other entries."""

from gevent import monkey

monkey.patch_all()

import dataclasses  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

from hickoryreach_entry import __main__ as entry_main  # noqa: E402
from hickoryreach_entry import membership  # noqa: E402
from standins import cell  # noqa: E402


def install() -> None:
    """Puts the advertised address into this entry's member record."""
    advertised = os.environ[cell.ADVERTISE_VARIABLE]
    create = membership.Membership.__init__

    def create_advertised(self, *, me: membership.Member, **fields) -> None:
        me = dataclasses.replace(me, peer_address=advertised)
        create(self, me=me, **fields)

    membership.Membership.__init__ = create_advertised


def main() -> int:
    """Runs the entry binary."""
    install()
    return entry_main.main()


if __name__ == "__main__":
    sys.exit(main())
