"""Check of serialized frames against the bytes that they have.

The thrift library decodes as many elements as a container states, also past the
end of the data. A frame of a few bytes could so take minutes. The check takes
time in proportion to the bytes of a frame, whatever they state.
"""

import struct

from thriftpy2 import thrift

from hickoryreach import exceptions

MAX_DEPTH = 16  # of values within one another
END_OF_STRUCT = 0
FIXED_SIZES = {
    thrift.TType.BOOL: 1,
    thrift.TType.BYTE: 1,
    thrift.TType.DOUBLE: 8,
    thrift.TType.I16: 2,
    thrift.TType.I32: 4,
    thrift.TType.I64: 8,
}
FIELD_ID_BYTES = 2
SIZE = struct.Struct(">i")
LIST_HEADER = struct.Struct(">bi")
MAP_HEADER = struct.Struct(">bbi")


class FrameChecker:
    """Walks through one serialized frame.

    Attributes:
        data: The frame.
        position: Where the walk has come to.
    """

    def __init__(self, *, data: bytes) -> None:
        """Begins at the start of the frame."""
        self.data = data
        self.position = 0

    def check_struct(self, depth: int) -> None:
        """Walks through the fields of a struct."""
        while (kind := self.read_byte()) != END_OF_STRUCT:
            self.advance(FIELD_ID_BYTES)
            self.check_values((kind,), 1, depth)

    def check_values(
        self, kinds: tuple[int, ...], count: int, depth: int
    ) -> None:
        """Walks through the values of a container, or of one field.

        Args:
            kinds: Types of the values of one element.
            count: Number of elements.
            depth: Number of values around them.
        """
        sizes = [FIXED_SIZES.get(kind) for kind in kinds]
        if None not in sizes:
            self.advance(count * sum(sizes))
            return
        if not 0 <= count <= len(self.data) - self.position:
            raise exceptions.MalformedFrameError(
                f"a container of {count} elements"
            )
        for _ in range(count):
            for kind in kinds:
                self.check_value(kind, depth + 1)

    def check_value(self, kind: int, depth: int) -> None:
        """Walks through one value; each takes at least one byte."""
        if depth > MAX_DEPTH:
            raise exceptions.MalformedFrameError("values are nested too deeply")
        if kind in FIXED_SIZES:
            self.advance(FIXED_SIZES[kind])
        elif kind == thrift.TType.STRING:
            (size,) = self.read(SIZE)
            self.advance(size)
        elif kind == thrift.TType.STRUCT:
            self.check_struct(depth)
        elif kind == thrift.TType.MAP:
            key_kind, value_kind, count = self.read(MAP_HEADER)
            self.check_values((key_kind, value_kind), count, depth)
        elif kind in (thrift.TType.LIST, thrift.TType.SET):
            value_kind, count = self.read(LIST_HEADER)
            self.check_values((value_kind,), count, depth)
        else:
            raise exceptions.MalformedFrameError(f"a value of type {kind}")

    def read_byte(self) -> int:
        """Reads one byte."""
        self.advance(1)
        return self.data[self.position - 1]

    def read(self, layout: struct.Struct) -> tuple[int, ...]:
        """Reads numbers."""
        start = self.position
        self.advance(layout.size)
        return layout.unpack_from(self.data, start)

    def advance(self, size: int) -> None:
        """Goes on by some bytes, which the frame must have."""
        if not 0 <= size <= len(self.data) - self.position:
            raise exceptions.MalformedFrameError(f"{size} bytes past its end")
        self.position += size


def check(data: bytes) -> None:
    """Checks that a serialized frame holds all that it states.

    Raises:
        exceptions.MalformedFrameError: It does not, or goes on after its end.
    """
    checker = FrameChecker(data=data)
    checker.check_struct(0)
    if checker.position != len(data):
        raise exceptions.MalformedFrameError("bytes after its end")
