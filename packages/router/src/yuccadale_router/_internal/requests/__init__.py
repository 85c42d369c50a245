"""Routing of requests from callers to servers and of the answers back."""
