"""Slot ownership: leaders of groups, their leases and grants to servers."""
