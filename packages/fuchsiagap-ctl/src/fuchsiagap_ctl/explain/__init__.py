"""Diagnosis of one request from the collected log lines of many nodes."""
