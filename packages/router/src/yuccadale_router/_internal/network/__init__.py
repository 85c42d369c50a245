"""Peer links and the HTTP APIs of callers and operators."""
