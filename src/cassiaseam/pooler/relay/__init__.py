"""Relay of sessions to another VM while this VM reaches no majority of a group."""
