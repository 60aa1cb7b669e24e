"""Adapter to the platform: names, formats and API calls, without any decision logic.

All names and formats of the platform are decoded here into types of `cassiaseam.pooler`.
"""
