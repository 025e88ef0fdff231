"""Deadline and body of a caller's request."""

import logging

import falcon

log = logging.getLogger(__name__)

DEADLINE_HEADER = "Request-Deadline-Ms"
DEADLINE_DEFAULT_MS = 3_000
MAX_DEADLINE_DIGITS = 12
PIECE_BYTES = 1_024


def get_deadline_s(req: falcon.Request) -> float:
    """Returns the time until the caller's deadline, in s.

    A header that holds no whole number of that many digits counts as absent.
    """
    text = req.get_header(DEADLINE_HEADER) or ""
    is_whole = text.isascii() and text.isdigit()
    if is_whole and len(text) <= MAX_DEADLINE_DIGITS:
        return int(text) / 1000
    return DEADLINE_DEFAULT_MS / 1000


def read_body(req: falcon.Request, limit_bytes: int) -> bytes | None:
    """Returns the body, or None if it is too large.

    A body that comes in chunks has no stated length. One that is cut off or
    malformed counts as empty.
    """
    encoding = req.get_header("Transfer-Encoding") or ""
    try:
        if "chunked" in encoding.lower():
            return _read_pieces(req, limit_bytes)
        if (req.content_length or 0) > limit_bytes:
            return None
        return req.bounded_stream.read()
    except OSError as error:
        log.info("body_unreadable", extra={"reason": str(error)})
        return b""


def _read_pieces(req: falcon.Request, limit_bytes: int) -> bytes | None:
    """Returns a body that comes in chunks, or None if it is too large.

    Chunks are joined as they come, since small ones take far more memory
    than their content.
    """
    body = bytearray()
    while piece := req.stream.read(PIECE_BYTES):
        body += piece
        if len(body) > limit_bytes:
            return None
    return bytes(body)
