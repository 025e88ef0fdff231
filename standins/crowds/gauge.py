"""Memory and descriptors of a process, as its machine counts them."""

import os
import pathlib
import re
import socket
import struct

import gevent

SAMPLE_PAUSE_S = 0.1
KIB = 1024
TCP_TABLE = pathlib.Path("/proc/net/tcp")


class Gauge:
    """Samples one process until it is stopped.

    Attributes:
        peak_memory_bytes: Most memory at a time, with what has been received
            and not read yet.
        peak_descriptors: Most open descriptors at a time.
    """

    def __init__(self, *, pid: int, host: str) -> None:
        """Begins to sample.

        Args:
            pid: Id of the process.
            host: Address that only this process listens at.
        """
        self.pid = pid
        self.host = host
        self.peak_memory_bytes = 0
        self.peak_descriptors = 0
        self.greenlet = gevent.spawn(self.sample_forever)

    def sample_forever(self) -> None:
        """Samples at a steady pace."""
        while self.sample():
            gevent.sleep(SAMPLE_PAUSE_S)

    def sample(self) -> bool:
        """Takes one sample; returns whether the process lives."""
        try:
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return False
        resident = read_kib(status, "VmRSS") + count_unread_bytes(self.host)
        peak = max(resident, read_kib(status, "VmHWM"))
        self.peak_memory_bytes = max(self.peak_memory_bytes, peak)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        return True

    def stop(self) -> None:
        """Ends the sampling after a last sample."""
        self.greenlet.kill()
        self.sample()


def read_kib(status: str, name: str) -> int:
    """Returns a field of a process's status page, in bytes."""
    found = re.search(rf"^{name}:\s+(\d+) kB$", status, re.MULTILINE)
    return int(found.group(1)) * KIB if found else 0


def count_unread_bytes(host: str) -> int:
    """Returns the bytes that wait in the sockets at a local IPv4 address."""
    local = f"{struct.unpack('<I', socket.inet_aton(host))[0]:08X}:"
    total = 0
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        is_listening = fields[3] == "0A"
        if fields[1].startswith(local) and not is_listening:
            total += int(fields[4].split(":")[1], 16)
    return total
