"""The proxy on sockets: it translates between lines and the decisions, and times; it decides nothing."""
