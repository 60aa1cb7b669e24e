"""Plans: what an intent of an operator changes, and its confirmation."""
