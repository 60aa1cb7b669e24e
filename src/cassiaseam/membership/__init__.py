"""Membership of daemons: failure detector and ranking of owners; see docs/design.md."""
