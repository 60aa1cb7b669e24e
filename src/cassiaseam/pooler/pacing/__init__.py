"""Pacing: how many statements a VM keeps in flight at each target."""
