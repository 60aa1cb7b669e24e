"""Settings of one daemon: validated models and YAML loader."""
