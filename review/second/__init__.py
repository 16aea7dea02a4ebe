"""Stand-ins and helpers of the second review's cases; standard library only."""
