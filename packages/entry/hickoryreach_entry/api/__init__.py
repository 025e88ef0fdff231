"""HTTP resources for callers, operators and the balancer."""
