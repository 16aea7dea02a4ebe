"""The line protocol: one OPEN line, one answer to it, then lines in both directions."""
