"""What the clients of each kind of crowd send.

A kind is a function that yields the blocks of bytes of one connection. A
connection that has sent them all stays open without sending.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools
import struct

LINE_BYTES = 65_000
LINES_PER_HEAD = 99
BLOCK_BYTES = 65_536
DRIBBLE_PAUSE_S = 0.5
FRAME_BYTES = 3_900_000
SMALL_HEAD_BYTES = 7_000
JOB_PATH = "/runs/00000000000000aa"

START = b"GET /ready HTTP/1.1\r\nHost: a\r\n"
POST = f"POST {JOB_PATH} HTTP/1.1\r\n".encode()

Blocks = Callable[["Target"], Iterator[bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """The server that a crowd meets.

    Attributes:
        host: Value of the requests' `Host` header.
        authorization: Value of their `Authorization` header.
    """

    host: str = "a"
    authorization: str = ""

    def build_headers(self) -> bytes:
        """Returns the header lines of an ordinary request."""
        return (
            f"Host: {self.host}\r\nAuthorization: {self.authorization}\r\n"
        ).encode()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """One kind of crowd.

    Attributes:
        blocks: Yields what one connection sends.
        pause_s: Time between two blocks, in s.
    """

    blocks: Blocks
    pause_s: float = 0.0


kinds: dict[str, Kind] = {}


def register(*, pause_s: float = 0.0) -> Callable[[Blocks], Blocks]:
    """Returns a decorator that adds a kind under its function's name."""

    def add(blocks: Blocks) -> Blocks:
        kinds[blocks.__name__] = Kind(blocks=blocks, pause_s=pause_s)
        return blocks

    return add


def repeat(line: bytes) -> Iterator[bytes]:
    """Yields blocks of one line without end."""
    return itertools.repeat(line * max(1, BLOCK_BYTES // len(line)))


@register()
def long_header_lines(target: Target) -> Iterator[bytes]:
    """A head of long lines that isn't ended."""
    yield START
    for number in range(LINES_PER_HEAD - 1):
        yield b"X-%d: " % number + b"a" * LINE_BYTES + b"\r\n"


@register()
def short_header_lines(target: Target) -> Iterator[bytes]:
    """A head of short lines without end."""
    yield START
    yield from repeat(b"a: b\r\n")


@register()
def endless_header_line(target: Target) -> Iterator[bytes]:
    """A header line without end."""
    yield START + b"X-Line: "
    yield from repeat(b"a")


@register()
def endless_target(target: Target) -> Iterator[bytes]:
    """A request line without end."""
    yield b"GET /"
    yield from repeat(b"a")


@register()
def folded_lines(target: Target) -> Iterator[bytes]:
    """A folded header line without end."""
    yield START + b"X-Folded: a\r\n"
    yield from repeat(b" a\r\n")


@register()
def empty_lines(target: Target) -> Iterator[bytes]:
    """Empty lines without end before a request."""
    yield from repeat(b"\r\n")


@register()
def bare_line_feeds(target: Target) -> Iterator[bytes]:
    """Line feeds without end before a request."""
    yield from repeat(b"\n")


@register()
def empty_lines_between(target: Target) -> Iterator[bytes]:
    """A request, then empty lines without end."""
    yield START + b"\r\n"
    yield from repeat(b"\r\n")


@register()
def malformed_heads(target: Target) -> Iterator[bytes]:
    """A head of more lines than the library takes, over and over."""
    yield START + b"a: b\r\n" * (LINES_PER_HEAD + 10) + b"\r\n"


@register(pause_s=DRIBBLE_PAUSE_S)
def dribbled_heads(target: Target) -> Iterator[bytes]:
    """A head that never ends, a line at a time."""
    yield START
    yield from itertools.repeat(b"a: b\r\n")


@register(pause_s=DRIBBLE_PAUSE_S)
def dribbled_bodies(target: Target) -> Iterator[bytes]:
    """A body of the stated length, a byte at a time."""
    yield POST + target.build_headers() + b"Content-Length: 4000\r\n\r\n"
    yield from itertools.repeat(b"a")


@register()
def idle(target: Target) -> Iterator[bytes]:
    """Nothing at all."""
    return iter(())


@register()
def held_heads(target: Target) -> Iterator[bytes]:
    """A head just under the size of a small buffer, not ended."""
    yield START + b"X-Line: " + b"a" * SMALL_HEAD_BYTES


@register()
def unfinished_bodies(target: Target) -> Iterator[bytes]:
    """A body of the greatest size that lacks its last byte."""
    size = 262_144
    yield POST + target.build_headers()
    yield b"Content-Length: %d\r\n\r\n" % size
    yield b"a" * (size - 1)


@register()
def endless_bodies(target: Target) -> Iterator[bytes]:
    """A body of an immense stated length."""
    yield POST + target.build_headers()
    yield b"Content-Length: 1000000000000\r\n\r\n"
    yield from repeat(b"a")


@register()
def unasked_bodies(target: Target) -> Iterator[bytes]:
    """An immense body of a call that takes none."""
    yield START + b"Content-Length: 1000000000000\r\n\r\n"
    yield from repeat(b"a")


@register()
def tiny_chunks(target: Target) -> Iterator[bytes]:
    """A body of chunks of one byte without end."""
    yield POST + target.build_headers()
    yield b"Transfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"1\r\na\r\n")


@register()
def endless_chunk(target: Target) -> Iterator[bytes]:
    """A body of one chunk of an immense length."""
    yield START + b"Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n"
    yield from repeat(b"a")


@register()
def endless_trailers(target: Target) -> Iterator[bytes]:
    """A body in chunks with trailer lines without end."""
    yield POST + target.build_headers()
    yield b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
    yield from repeat(b"a: b\r\n")


@register()
def unread_answers(target: Target) -> Iterator[bytes]:
    """Requests one behind the other whose answers nobody reads."""
    yield from repeat(START + b"\r\n")


@register()
def unread_pages(target: Target) -> Iterator[bytes]:
    """Requests for a long page whose answers nobody reads."""
    yield from repeat(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")


@register()
def unfinished_frames(target: Target) -> Iterator[bytes]:
    """A long frame between entries that isn't ended."""
    yield struct.pack(">I", FRAME_BYTES)
    yield b"a" * (FRAME_BYTES - 1)


@register()
def endless_lists(target: Target) -> Iterator[bytes]:
    """Frames of a few bytes that state lists of more elements than follow."""
    nested = bytes.fromhex("0f00010f7fffffff0f7fffffff")
    yield from repeat(struct.pack(">I", len(nested)) + nested)


@register()
def foreign_frames(target: Target) -> Iterator[bytes]:
    """Frames between entries that can't be decoded, without end."""
    yield from repeat(struct.pack(">I", 4) + b"\r\n\r\n")
