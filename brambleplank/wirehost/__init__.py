"""The simulator's wire in front of the decisions: translation only, nothing is decided here."""
