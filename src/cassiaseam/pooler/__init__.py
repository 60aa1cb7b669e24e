"""Pooler role: a daemon that routes callers directly to the targets; see docs/platform.md."""
