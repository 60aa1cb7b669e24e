"""Entry point of `python -m cassiaseam.cli`, for source trees that are not installed."""

from cassiaseam.cli.main import main

main()
