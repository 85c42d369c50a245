"""Who owns a slot, who may send to a server, and how that changes."""
