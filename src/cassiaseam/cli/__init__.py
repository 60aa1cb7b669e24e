"""Package `cassiaseam.cli`; see docs/design.md."""
