"""Command line `cassiaseam`, a client of the administration API."""
