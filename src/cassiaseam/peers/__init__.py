"""Package `cassiaseam.peers`; see docs/design.md."""
