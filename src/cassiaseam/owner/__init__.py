"""Package `cassiaseam.owner`; see docs/design.md."""
