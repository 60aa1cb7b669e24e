"""Package `cassiaseam.admin`; see docs/design.md."""
