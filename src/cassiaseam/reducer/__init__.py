"""Reducer over events, with its node state and effects; see docs/design.md."""
