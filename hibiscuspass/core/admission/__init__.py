"""Admission control: concurrency, queues, deadlines, fairness."""
