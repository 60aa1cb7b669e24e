"""Package `cassiaseam.observability`; see docs/design.md."""
