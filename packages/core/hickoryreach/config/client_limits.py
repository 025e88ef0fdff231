"""Limits on what clients may take of a process, declared once."""

import pydantic


class ClientLimits(pydantic.BaseModel):
    """Limits of each connection."""

    max_head_bytes: int = pydantic.Field(
        default=32_768,
        ge=1_024,
        description="Longest head of a request, in bytes.",
    )
    head_timeout_s: float = pydantic.Field(
        default=60.0,
        gt=0,
        description="Longest time for the head of a request, in s.",
    )
    body_timeout_s: float = pydantic.Field(
        default=60.0,
        gt=0,
        description="Longest time for the body of a request, in s.",
    )
    answer_timeout_s: float = pydantic.Field(
        default=60.0,
        gt=0,
        description="Longest time a client takes to accept an answer, in s.",
    )
    idle_timeout_s: float = pydantic.Field(
        default=600.0,
        gt=0,
        description="Longest time between two requests of a connection, in s.",
    )
