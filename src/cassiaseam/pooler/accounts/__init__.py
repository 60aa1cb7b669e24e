"""Client accounts: who a caller is, and which connections may carry its statements."""
