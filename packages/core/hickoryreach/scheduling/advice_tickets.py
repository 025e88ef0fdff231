"""Tickets of the advice service."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Permission to start a step's tasks on one minion.

    Attributes:
        text: The ticket as a start carries it.
        until_ms: When it expires, on the owner's clock.
        incarnation: Incarnation of the minion that it was issued for.
    """

    text: str
    until_ms: int
    incarnation: int
