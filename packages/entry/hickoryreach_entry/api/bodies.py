"""Reads and validates request bodies, bounded in size and time."""

from typing import TypeVar

import falcon
import gevent
import pydantic
from returns import result

from hickoryreach_entry.api import problems

LIMIT_BYTES = 1_000_000
READ_TIMEOUT_S = 10.0

M = TypeVar("M", bound=pydantic.BaseModel)


def read(req: falcon.Request) -> result.Result[bytes, problems.Problem]:
    """Returns the body, or a problem if it is too large, slow or truncated."""
    if req.get_header("Transfer-Encoding"):
        return _fail(411, "length_required", "Send a Content-Length.")
    length = req.content_length or 0
    if length > LIMIT_BYTES:
        return _fail(
            413, "body_too_large", f"Send at most {LIMIT_BYTES} bytes."
        )
    try:
        with gevent.Timeout(READ_TIMEOUT_S, TimeoutError()):
            body = req.bounded_stream.read(length)
    except TimeoutError:
        return _fail(
            408,
            "body_too_slow",
            f"Send the whole body within {READ_TIMEOUT_S:.0f} s.",
        )
    except OSError:
        body = b""
    if len(body) < length:
        return _fail(
            400, "body_cut", "The body ended early; send the call again."
        )
    return result.Success(body)


def _fail(
    status: int, reason: str, detail: str
) -> result.Result[bytes, problems.Problem]:
    return result.Failure(
        problems.Problem(status=status, reason=reason, detail=detail)
    )


def parse(model: type[M], body: bytes) -> result.Result[M, problems.Problem]:
    """Returns the validated body, or a problem that lists every fault."""
    try:
        return result.Success(model.model_validate_json(body))
    except pydantic.ValidationError as error:
        return result.Failure(
            problems.build_malformed_problem(
                "Correct what `faults` lists.", describe_faults(error)
            )
        )


def describe_faults(error: pydantic.ValidationError) -> list[str]:
    """Returns a line for each fault, without quoting the input."""
    return [
        ": ".join(
            part
            for part in (".".join(str(p) for p in row["loc"]), row["msg"])
            if part
        )
        for row in error.errors(include_input=False, include_url=False)
    ]
