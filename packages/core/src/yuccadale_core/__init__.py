"""Models, interfaces and messages shared by yuccadale's packages.

Each public module re-exports names of the private package, so that a command
imports only the modules that it needs.
"""
