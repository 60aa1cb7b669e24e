"""Configuration change plans: made from an operator's intent and applied on confirmation."""
