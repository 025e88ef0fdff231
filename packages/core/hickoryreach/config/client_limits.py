"""Limits on what clients may take of a process, declared once."""

import pydantic

DEFAULT_MEMORY_MB = 300
DEFAULT_MAX_FDS = 4_100
FILE_DESCRIPTORS = 200
BYTES_PER_MB = 1_000_000
MEMORY_DIVISOR = 8
BYTES_PER_CONNECTION = 48 * 1024  # buffers of the process and the kernel
LEAST_CONNECTIONS = 4
CALLER_DIVISOR = 6
CHECK_DIVISOR = 64
NEWCOMER_DIVISOR = 16


class ClientLimits(pydantic.BaseModel):
    """Limits of one process, most of them per connection.

    An eighth of the memory is for the connections themselves, and another for
    requests that are being read or answered.
    """

    memory_mb: int = pydantic.Field(
        default=DEFAULT_MEMORY_MB,
        ge=1,
        description="Memory that the process may use, in MB; connections of "
        "clients take a quarter at most.",
    )
    max_fds: int = pydantic.Field(
        default=DEFAULT_MAX_FDS,
        ge=1,
        description="Descriptors that the process may open, 200 of them for "
        "files.",
    )
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

    @property
    def max_held_bytes(self) -> int:
        """Most bytes of requests that are being read or answered."""
        return self.memory_mb * BYTES_PER_MB // MEMORY_DIVISOR

    @property
    def max_caller_connections(self) -> int:
        """Most connections of callers at a time."""
        fitting = self.max_held_bytes // BYTES_PER_CONNECTION
        return max(
            LEAST_CONNECTIONS, min(self._sockets // CALLER_DIVISOR, fitting)
        )

    @property
    def max_check_connections(self) -> int:
        """Most connections for readiness checks, and most for metrics."""
        return max(LEAST_CONNECTIONS, self._sockets // CHECK_DIVISOR)

    @property
    def max_new_peers(self) -> int:
        """Most connections of entries that have not introduced themselves."""
        return max(LEAST_CONNECTIONS, self._sockets // NEWCOMER_DIVISOR)

    @property
    def _sockets(self) -> int:
        return max(0, self.max_fds - FILE_DESCRIPTORS)
