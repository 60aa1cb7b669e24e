"""Importing this module registers every handler of the membership role."""

from cassiaseam.membership import detector, vm_list

HANDLER_MODULES = (detector, vm_list)
