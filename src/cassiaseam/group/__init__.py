"""Monitoring of a database group: primary, term, quorum positions, replica ages and failover."""
