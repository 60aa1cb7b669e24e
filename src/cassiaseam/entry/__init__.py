"""Package `cassiaseam.entry`; see docs/design.md."""
