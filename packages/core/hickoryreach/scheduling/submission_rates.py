"""Shares of hand-ins: a workspace's share is a rate of jobs a second."""

from hickoryreach.scheduling import state

BURST_S = 2.0


def take(cell: state.CellState, workspace: str) -> bool:
    """Counts a job; returns whether it is within its workspace's share."""
    configuration = cell.configuration
    known = configuration and configuration.workspaces.get(workspace)
    if not known:
        return True
    most = max(1.0, known.share * BURST_S)
    allowance = cell.allowances.get(workspace)
    if allowance is None:
        allowance = state.Allowance(jobs=most, at_ms=cell.now_ms)
        cell.allowances[workspace] = allowance
    passed_s = (cell.now_ms - allowance.at_ms) / 1000
    allowance.jobs = min(most, allowance.jobs + passed_s * known.share)
    allowance.at_ms = cell.now_ms
    if allowance.jobs < 1:
        return False
    allowance.jobs -= 1
    return True
