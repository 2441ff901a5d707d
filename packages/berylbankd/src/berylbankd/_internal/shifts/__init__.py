"""Traffic shifts: shares of requests, evidence of failures, and when to advance or undo a shift."""
