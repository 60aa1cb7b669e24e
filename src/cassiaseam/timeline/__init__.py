"""Timeline of decisions: hybrid logical clock, ring buffer, merge and rendering."""
