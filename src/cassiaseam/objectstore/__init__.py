"""Package `cassiaseam.objectstore`; see docs/design.md."""
