"""Entitlements of workspaces, derived from both lists."""

from hickoryreach.lists import allowances
from hickoryreach.lists import plans
from hickoryreach.structure import workspaces


def build(
    listed: plans.Plans, allowed: allowances.Allowances
) -> tuple[workspaces.Entitlement, ...]:
    """Returns the entitlements of all workspaces whose plan has an allowance.

    Args:
        listed: The list of plans.
        allowed: The list of allowances.
    """
    allowances_by_plan = {row.plan: row for row in allowed.allowances}
    return tuple(
        build_entitlement(row.workspace, allowances_by_plan[row.plan])
        for row in listed.plans
        if row.plan in allowances_by_plan
    )


def build_entitlement(
    workspace: str, allowance: allowances.Allowance
) -> workspaces.Entitlement:
    """Returns the entitlement that an allowance gives to a workspace."""
    limit = allowance.limit
    return workspaces.Entitlement(
        workspace=workspace,
        share=allowance.share,
        limit=limit.to_resources() if limit else None,
    )
