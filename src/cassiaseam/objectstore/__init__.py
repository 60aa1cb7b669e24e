"""Client of the platform's object store (docs/design.md)."""
