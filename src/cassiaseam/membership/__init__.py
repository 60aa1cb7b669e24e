"""Package `cassiaseam.membership`; see docs/design.md."""
