"""Administration API (JSON over HTTP)."""
