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
        CRASH_UNCERTAIN: A crash under a member of the gang is in doubt, or not
            stored yet.
        SUSPECT_RUNS: Another suspect of its job has just started, or suspects
            run on many minions.
        SUSPECT_CAPACITY: No minion without suspects has capacity for it.
        EMPTY_MINION: A task must run alone, and no minion is empty.
        RESERVATION: A task must run alone, and too many minions are kept for
            others that must.
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
    CRASH_UNCERTAIN = "crash_uncertain"
    SUSPECT_RUNS = "suspect_runs"
    SUSPECT_CAPACITY = "suspect_capacity"
    EMPTY_MINION = "empty_minion"
    RESERVATION = "reservation"
