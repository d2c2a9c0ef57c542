"""The load tool: sends requests, checks each answer, and sums up."""
