"""Admission: the order in which statements wait, what is refused, and what is retried where."""
