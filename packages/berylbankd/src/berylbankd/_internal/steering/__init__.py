"""Pure decisions: where a request goes, who waits, who is refused, how releases move."""
