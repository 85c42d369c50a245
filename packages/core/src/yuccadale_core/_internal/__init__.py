"""Implementation; import from the public package instead."""
