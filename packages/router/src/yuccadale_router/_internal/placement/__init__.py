"""Decides which server of a group owns each slot."""
