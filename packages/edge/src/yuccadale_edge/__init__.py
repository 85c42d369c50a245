"""The router on instances that share ownership through the store."""
