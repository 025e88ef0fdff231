"""Causes for which a step that waits does not start."""

import enum


class WaitCause(enum.StrEnum):
    """What kept a waiting step from starting when it was last considered.

    Attributes:
        NOT_CONSIDERED: No pass has considered it yet.
        UNCONFIRMED: Runs of an earlier owner may still execute.
        NOT_STORED: Its job is not in the store yet.
        ADVICE: It has no advice yet.
        TICKETS: Minions with free capacity lack a valid ticket.
        LIMIT: The limit of its workspace.
        URGENT_CAPACITY: Only tasks of the first rank may use what is free.
        CAPACITY: Its tasks don't fit on the minions that it may use.
        EARLIER_RUN: A run of the gang is not known to have ended.
        SOLITUDE: Minions have crashed under its tasks, which must run apart
            from others.
    """

    NOT_CONSIDERED = "not_considered"
    UNCONFIRMED = "unconfirmed"
    NOT_STORED = "not_stored"
    ADVICE = "advice"
    TICKETS = "tickets"
    LIMIT = "limit"
    URGENT_CAPACITY = "urgent_capacity"
    CAPACITY = "capacity"
    EARLIER_RUN = "earlier_run"
    SOLITUDE = "solitude"
