"""Benchmarks; the function main of each module bench_NAME runs one."""
