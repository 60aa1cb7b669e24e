"""Package `cassiaseam.timeline`; see docs/design.md."""
