"""HTTP/JSON administration API."""
