"""Package `cassiaseam.reducer`; see docs/design.md."""
