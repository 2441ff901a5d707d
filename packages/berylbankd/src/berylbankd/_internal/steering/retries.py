"""Limits how many requests are retried on another backend server.

When servers fail or shed load, unlimited retries would multiply the load. Each VM earns retry
credit from its own requests, so that the limit holds without exchanging messages.
"""

# Share of the permitted ratio and slack that is used: credit is earned when a request arrives,
# before it is known whether a server sheds its first attempt.
USED_BUDGET_SHARE = 0.5
MIN_RETRY_CREDIT_LIMIT = 1.0


class RetryBudget:
    """The retries that one VM may make for one service."""

    def __init__(self, ratio: float, slack: float) -> None:
        self.ratio = ratio * USED_BUDGET_SHARE
        self.slack = slack * USED_BUDGET_SHARE
        self.credit = MIN_RETRY_CREDIT_LIMIT

    def record_request(self, vms: int) -> None:
        """Earn credit for a request; the slack is divided among all VMs."""
        credit_limit = max(MIN_RETRY_CREDIT_LIMIT, self.slack / max(1, vms))
        self.credit = min(credit_limit, self.credit + self.ratio)

    def has_credit(self) -> bool:
        """Tell whether there is credit for a retry."""
        return self.credit >= 1

    def take(self) -> bool:
        """Spend credit for one retry; return False if there is none."""
        if not self.has_credit():
            return False
        self.credit -= 1
        return True
