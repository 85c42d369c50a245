"""Links to peers, and the HTTP interfaces of callers and operators."""
