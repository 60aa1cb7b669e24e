"""Database proxy with session consistency."""
