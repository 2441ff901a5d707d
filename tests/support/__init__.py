"""Simulations, fakes and fleets that the steps share."""
