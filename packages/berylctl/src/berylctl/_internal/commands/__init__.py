"""One module per subcommand; each registers itself on the application."""
