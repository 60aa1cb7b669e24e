"""Package `cassiaseam.configuration`; see docs/design.md."""
