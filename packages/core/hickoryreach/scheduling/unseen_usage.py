"""Use of limits that can't be counted, taken at its worst.

Any workspace may be the one whose tasks a run of unknown size belongs to, so
that no start may rely on the capacity that such a run can occupy.
"""

from hickoryreach.scheduling import state
from hickoryreach.structure import resources


def sum_unknown_sizes(cell: state.CellState) -> resources.Resources:
    """Returns the most that the runs of unknown size may occupy."""
    total = resources.ZERO
    for minion in cell.minions.values():
        if minion.orphan_count:
            left = minion.minion.capacity - minion.used
            total = total + left.elementwise_max(resources.ZERO)
    return total
