"""Check of a configuration file of the pooler role before operators put it in force."""
