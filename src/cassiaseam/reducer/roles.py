"""Imports the role packages, which registers their handlers in this order."""

from cassiaseam.group import handlers as group_handlers
from cassiaseam.owner import handlers as owner_handlers

ROLES = (group_handlers, owner_handlers)
