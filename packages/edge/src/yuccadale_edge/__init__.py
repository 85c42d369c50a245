"""Request router; its instances share key ownership through a store."""
