"""Adapter to the users' platform: names, formats and calls, and nothing that decides.

Everything that the platform spells is decoded here into types of `cassiaseam.pooler`.
"""
