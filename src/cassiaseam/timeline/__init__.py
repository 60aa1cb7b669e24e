"""Time line of decisions: hybrid logical clock, bounded buffer, merge and output."""
