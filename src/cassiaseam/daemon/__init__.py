"""Package `cassiaseam.daemon`; see docs/design.md."""
