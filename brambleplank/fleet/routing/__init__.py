"""The route table of a fleet: its rules, their lint, the table in force, and admission of requests by it."""
