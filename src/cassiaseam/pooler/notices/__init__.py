"""Notices between VMs about promotions that rely on fences, and about lifted fences."""
