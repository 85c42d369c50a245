"""The commands of the client, one in each module."""
