"""Command line interface `cassiaseam`, a client of the administration API."""
