"""Leader election, budget leases granted by the leader, and counts that it aggregates."""
