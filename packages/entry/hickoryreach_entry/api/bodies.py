"""Bodies of calls: bounded, read within a deadline, and checked."""

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
    """Returns the body, or the refusal of a huge or slow one."""
    if (req.content_length or 0) > LIMIT_BYTES:
        return _refuse_size()
    try:
        with gevent.Timeout(READ_TIMEOUT_S, TimeoutError()):
            body = req.bounded_stream.read(LIMIT_BYTES + 1)
    except (TimeoutError, OSError):
        return result.Failure(
            problems.Problem(
                status=408,
                reason="body_too_slow",
                detail=f"Send the whole body within {READ_TIMEOUT_S:.0f} s.",
            )
        )
    if len(body) > LIMIT_BYTES:
        return _refuse_size()
    if req.content_length and len(body) < req.content_length:
        return result.Failure(
            problems.Problem(
                status=400,
                reason="body_cut",
                detail="The body ended early; send the call again.",
            )
        )
    return result.Success(body)


def _refuse_size() -> result.Result[bytes, problems.Problem]:
    return result.Failure(
        problems.Problem(
            status=413,
            reason="body_too_large",
            detail=f"Send at most {LIMIT_BYTES} bytes.",
        )
    )


def parse(model: type[M], body: bytes) -> result.Result[M, problems.Problem]:
    """Returns the checked body, or every fault of it."""
    try:
        return result.Success(model.model_validate_json(body))
    except pydantic.ValidationError as error:
        return result.Failure(
            problems.Problem(
                status=400,
                reason="malformed",
                detail="Correct what `faults` lists.",
                extra={"faults": describe_faults(error)},
            )
        )


def describe_faults(error: pydantic.ValidationError) -> list[str]:
    """Returns a line for each fault, without quoting what was sent."""
    return [
        ": ".join(
            part
            for part in (".".join(str(p) for p in row["loc"]), row["msg"])
            if part
        )
        for row in error.errors(include_input=False, include_url=False)
    ]
