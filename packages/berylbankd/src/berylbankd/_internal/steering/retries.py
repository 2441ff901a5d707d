"""Bounds how many requests are sent to a second backend server.

Load pattern answered: servers that fail or shed under load, where unbounded retries would multiply
the load. Each VM earns retries with its own requests, so the bound holds without messages.
"""

# Part of the permitted ratio and slack that is used; sheds of first attempts are not foreseen.
BUDGET_SHARE = 0.5
MIN_CREDIT_LIMIT = 1.0


class RetryBudget:
    """The retries that one VM may send to one service."""

    def __init__(self, ratio: float, slack: float) -> None:
        self.ratio = ratio * BUDGET_SHARE
        self.slack = slack * BUDGET_SHARE
        self.credit = MIN_CREDIT_LIMIT

    def record_request(self, vms: int) -> None:
        """Earn credit for a request; the slack is shared by all VMs."""
        credit_limit = max(MIN_CREDIT_LIMIT, self.slack / max(1, vms))
        self.credit = min(credit_limit, self.credit + self.ratio)

    def has_credit(self) -> bool:
        """Tell whether a retry could be spent now."""
        return self.credit >= 1

    def take(self) -> bool:
        """Spend credit for one retry."""
        if not self.has_credit():
            return False
        self.credit -= 1
        return True
