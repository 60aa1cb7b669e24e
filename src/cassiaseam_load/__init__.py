"""Open-loop load generator and bench."""
