"""Randomized soak test: real daemon processes under injected faults."""
