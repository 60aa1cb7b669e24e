"""Randomized soak: real daemons as processes, with faults injected from outside."""
