"""What the daemon's subcommands do, free of argument parsing."""
