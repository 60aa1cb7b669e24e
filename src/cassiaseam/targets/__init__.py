"""Package `cassiaseam.targets`; see docs/design.md."""
