"""Settings of one daemon: validated models and the YAML loader."""
