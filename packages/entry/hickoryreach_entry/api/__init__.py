"""HTTP resources for callers, operators and the load balancer."""
