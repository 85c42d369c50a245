"""Public names of this package."""
