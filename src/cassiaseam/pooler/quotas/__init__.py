"""Quotas: limits of the operations that all VMs together run for a client account."""
