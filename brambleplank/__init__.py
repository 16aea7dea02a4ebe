"""A balancer for long-lived connections: decisions, their interface, and the hosts that carry them."""
