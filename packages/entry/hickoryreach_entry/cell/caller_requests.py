"""Deadline of a caller's request."""

import falcon

DEADLINE_HEADER = "Request-Deadline-Ms"
DEADLINE_DEFAULT_MS = 3_000
MAX_DEADLINE_DIGITS = 12


def get_deadline_s(req: falcon.Request) -> float:
    """Returns the time until the caller's deadline, in s.

    A header that holds no whole number of that many digits counts as absent.
    """
    text = req.get_header(DEADLINE_HEADER) or ""
    is_whole = text.isascii() and text.isdigit()
    if is_whole and len(text) <= MAX_DEADLINE_DIGITS:
        return int(text) / 1000
    return DEADLINE_DEFAULT_MS / 1000
