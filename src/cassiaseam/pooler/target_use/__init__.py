"""Counts of the status polls and connections of one VM at the targets, by cause."""
