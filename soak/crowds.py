"""Crowds of clients as a fault, and the judge of the entry they meet."""

from soak import faults
from standins.crowds import gauge
from standins.crowds import kinds
from standins.crowds import launch
from standins.users import cell

LIMITS = cell.Limits(memory_mb=300, max_fds=4_100)
MEMORY_BYTES = LIMITS.memory_mb * 1_000_000
LEAST_CONNECTIONS = 1
MOST_CONNECTIONS = 400
LEAST_S = 1.0
MOST_S = 4.0
PORTS = (
    cell.FRONT_PORT,
    cell.READY_PORT,
    cell.METRICS_PORT,
    cell.CONTROL_PORT,
)


@faults.register
def meet_crowd(trouble: faults.Trouble) -> None:
    """Lets a drawn crowd meet an entry, which must bear it."""
    draw = trouble.generator
    kind = draw.choice(sorted(kinds.kinds))
    connections = draw.randint(LEAST_CONNECTIONS, MOST_CONNECTIONS)
    port = draw.choice(PORTS)
    with trouble.take(trouble.pick_entry()) as entries:
        for entry in entries:
            judge = gauge.Gauge(pid=entry.process.pid, host=entry.host)
            crowd = launch.start(
                kind, entry, connections=connections, seconds=MOST_S, port=port
            )
            trouble.wait(LEAST_S, MOST_S)
            launch.end(crowd)
            judge.stop()
            trouble.found += (
                f"{entry.name} {found} under {connections} of {kind} at {port}"
                for found in find_excesses(entry, judge)
            )


def find_excesses(entry: cell.Entry, judge: gauge.Gauge) -> list[str]:
    """Returns what an entry must not have done under a crowd."""
    found = []
    if entry.process.poll() is not None:
        found.append("ended")
    if judge.peak_memory_bytes > MEMORY_BYTES:
        found.append(f"took {judge.peak_memory_bytes} bytes of memory")
    if judge.peak_descriptors > LIMITS.max_sockets:
        found.append(f"opened {judge.peak_descriptors} descriptors")
    return found
