"""Package `cassiaseam.settings`; see docs/design.md."""
