"""The way of a request from its caller to its server and back."""
