"""Distribution of the database configuration in shards; see docs/design.md."""
