"""Budgets: ledger, grants, permits, settlement and billing."""
