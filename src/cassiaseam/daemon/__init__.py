"""Daemon process: startup, shutdown, timers and I/O around the reducer; see docs/design.md."""
