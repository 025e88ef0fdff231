"""What each workspace may use, as the decisions need it."""

from hickoryreach.lists import allowances
from hickoryreach.lists import plans
from hickoryreach.structure import workspaces


def build(
    listed: plans.Plans, allowed: allowances.Allowances
) -> tuple[workspaces.Entitlement, ...]:
    """Returns the entitlement of every workspace whose plan is known."""
    by_plan = {row.plan: row for row in allowed.allowances}
    return tuple(
        build_entitlement(row.workspace, by_plan[row.plan])
        for row in listed.plans
        if row.plan in by_plan
    )


def build_entitlement(
    workspace: str, allowance: allowances.Allowance
) -> workspaces.Entitlement:
    """Returns what a workspace may use under its plan."""
    limit = allowance.limit
    return workspaces.Entitlement(
        workspace=workspace,
        share=allowance.share,
        limit=limit.to_resources() if limit else None,
    )
