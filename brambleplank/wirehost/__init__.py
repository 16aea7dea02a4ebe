"""The adapter between the simulator's wire protocol and the decisions; it translates and decides nothing."""
