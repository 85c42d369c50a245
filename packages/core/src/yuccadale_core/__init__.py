"""Models, interfaces and messages shared by yuccadale's packages.

Each public module re-exports the names of one private module, so that a
command imports only what it needs.
"""
