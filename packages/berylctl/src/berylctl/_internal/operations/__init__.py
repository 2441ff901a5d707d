"""The work of the commands, without output to a terminal."""
