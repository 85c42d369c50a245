"""Simulated platform and servers for tests, benchmarks and demonstrations."""
