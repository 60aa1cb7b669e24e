"""Target adapter: runs statements on targets and reads their status."""
