"""The operators' program: check, publish, status, explain, vms."""
