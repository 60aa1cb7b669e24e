"""Package `cassiaseam.platform`; see docs/design.md."""
