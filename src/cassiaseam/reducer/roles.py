"""Imports the role packages, which registers their handlers.

Handlers of one event type run in the order of these imports: the owner role decides on state that
the group role has already updated.
"""

from cassiaseam.configuration import distribution
from cassiaseam.group import handlers as group_handlers
from cassiaseam.membership import detector, vm_list
from cassiaseam.owner import handlers as owner_handlers

ROLES = (distribution, group_handlers, detector, vm_list, owner_handlers)
