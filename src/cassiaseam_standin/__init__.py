"""Stand-ins for a database group and for the platform, used by tests and the demo."""
