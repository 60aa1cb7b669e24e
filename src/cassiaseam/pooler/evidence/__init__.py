"""What the statuses of targets prove."""
