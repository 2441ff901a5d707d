"""One module per group of subcommands; each registers them on the application."""
