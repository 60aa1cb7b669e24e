"""Runs the command line with `python -m cassiaseam.cli`, for a tree that is not installed."""

from cassiaseam.cli.main import main

main()
