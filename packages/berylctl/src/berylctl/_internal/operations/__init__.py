"""What the commands do, without any terminal."""
