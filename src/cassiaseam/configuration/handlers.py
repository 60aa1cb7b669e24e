"""Importing this module registers every handler of the configuration role.

The membership handlers come first, because both roles handle heartbeats and ticks.
"""

from cassiaseam.configuration import distribution
from cassiaseam.membership import handlers as membership_handlers

HANDLER_MODULES = (*membership_handlers.HANDLER_MODULES, distribution)
