"""Pooler role: a daemon that routes callers straight to the targets; see docs/platform.md."""
