"""Role of the daemon that owns a database: routing, limits, acknowledgement and transactions."""
