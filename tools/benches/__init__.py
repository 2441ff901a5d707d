"""Benchmarks; the main function of each module bench_NAME runs one."""
