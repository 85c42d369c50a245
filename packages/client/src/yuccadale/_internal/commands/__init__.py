"""The commands, one in each module."""
